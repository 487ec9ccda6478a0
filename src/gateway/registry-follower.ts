/**
 * A gateway's connection to the registries: keeps a link to each of them, and
 * receives the newest routing document and all changes of the endpoint directory.
 * While no registry is reachable, the gateway continues with what it has.
 */
import { parseAddress } from '../config/index.js'
import { DocumentPull, PeerList } from '../coordination/index.js'
import type { HolderState, PullTimeouts, VersionedText } from '../coordination/index.js'
import { VersionCoverage, brandId, chooseByHash, filterRecords } from '../core/index.js'
import type { BoxId, CrashUpdate, EndpointNotice, EndpointRecord, PromptReport, SeenVersions, ServiceName, ZoneName } from '../core/index.js'
import { LinkPool, unpackDocument } from '../protocol/index.js'
import type { Link, PackedDocument, RelayAddress, RouteMessage } from '../protocol/index.js'
import { Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the follower needs from its box. */
export interface FollowerHost {
  readonly log: EventLog
  readonly secret: string | null
  readonly linkPort: number
  readonly id: BoxId
  readonly zone: ZoneName
  /** The software versions that this box has seen, to which the registries' are added. */
  readonly versions: SeenVersions
  now (): number
  /** A random number, at least 0 and less than 1: chooses between equivalent registries. */
  draw (): number
  handleDocument (document: VersionedText): void
  /** Handles a report of which prompts engines hold. */
  handlePrompts (prompts: readonly PromptReport[]): void
  handleRecords (records: readonly EndpointRecord[]): void
  /** Handles a report of endpoint crashes and of requests in quarantine. */
  handleCrashes (update: CrashUpdate): void
  /** The crashes and quarantined requests known here, for a registry that may know nothing. */
  listCrashes (): CrashUpdate
  /** Handles the number of gateways connected to a registry. */
  handleGatewayCount (count: number): void
  noteZoneAlive (zone: ZoneName): void
  /** Handles notices of endpoints. */
  handleNotices (notices: readonly EndpointNotice[], registry: BoxId): void
  /** This box as a relay, and the services to which its paths are lost. */
  describePaths (): { readonly relay: RelayAddress | null, readonly lost: readonly ServiceName[] }
  /** Handles a list of relays. */
  handleRelays (relays: readonly RelayAddress[]): void
  /** Handles an answer to a permit call. */
  handlePermits (answer: PermitAnswer): void
  /** Handles an answer to a report about slots. */
  handleSlots (answer: SlotAnswer): void
  /** Handles an answer to a lookup of a stream. */
  handleStream (answer: Extract<RouteMessage, { type: 'stream-found' }>): void
}

/** An answer to a permit call. */
export type PermitAnswer = Extract<RouteMessage, { type: 'permits' | 'permits-elsewhere' }>

/** An answer to a report about slots. */
export type SlotAnswer = Extract<RouteMessage, { type: 'slots' | 'slots-elsewhere' }>

/** A registry that is reachable. */
export interface ReachableRegistry {
  readonly host: string
  /** Null until the registry has sent it. */
  readonly zone: ZoneName | null
}

/** A registry that is reachable, with its link. */
export interface LinkedRegistry extends ReachableRegistry {
  readonly link: Link<RouteMessage>
}

type Input =
  | { readonly type: 'message', readonly link: Link<RouteMessage>, readonly message: RouteMessage }
  | { readonly type: 'open', readonly link: Link<RouteMessage> }
  | { readonly type: 'closed', readonly link: Link<RouteMessage> }
  | { readonly type: 'tick' }

/** Heartbeats of links, ms: two missing heartbeats indicate that a zone is cut off. */
const heartbeat = { intervalMs: 300, timeoutMs: 1500 }
const dialOptions = { connectMs: 500, maxRetryMs: 500 }
/** A registry that is silent for this long may be cut off, ms: a little more than two heartbeats. */
const aliveWindowMs = 700
/** How often the follower checks its links, ms. */
const tickMs = 100
/**
 * Time-outs for a registry that was asked for a document and whose link is alive.
 * A full packed document of a few thousand routes takes a gateway's link 0.1 s; a
 * registry that takes seconds for it is overloaded or stuck.
 */
const pullTimeouts: PullTimeouts = { initialMs: 1000, maxMs: 8000 }
/** On start, a document of which its registry isn't sure that it is the newest is requested only after the other registries had this long to announce a newer one, ms. */
const settleMs = 250
/** Without a document, the next registry is dialled after this, ms: it takes a registry some tens of ms to announce one. */
const nextDialMs = 200
/** Interval of repeated requests for the prompts that engines hold, ms: the registry asked may not know of any yet, or may have gone. */
const promptsRetryMs = 1500
/** Number of such requests: there may be no prompts at all. */
const maxPromptRequests = 4
/** Maximum number of links to registries: one for each registry of a system of the supported size. */
const maxLinks = 12
/** A registry that no other one lists is forgotten after this long without a link, ms: longer than a restart. */
const forgetMs = 10_000
/** Size of the inbox; few messages are expected, as registries send only changes. */
const maxQueuedInputs = 10_000

export class RegistryFollower {
  #host: FollowerHost
  #links: LinkPool<RouteMessage>
  #inbox = new Inbox<Input>(maxQueuedInputs)
  #registries: PeerList
  /** Number of registries that are up, as last listed by one; Infinity before that. */
  #listedCount = Infinity
  /** Hosts that have not been dialled yet. */
  #undialed: string[] = []
  #lastDialAt = -Infinity
  #zones = new Map<Link<RouteMessage>, ZoneName>()
  #coverage: VersionCoverage
  #pull = new DocumentPull<Link<RouteMessage>>(pullTimeouts)
  #document: VersionedText | null = null
  /** The last delta was based on the current document but could not be applied: the full document is requested. */
  #needsFullDocument = false
  #documentRequestedAt = 0
  #promptsRequestedAt = -Infinity
  #promptRequests = 0
  #issuer: string | null = null
  #firstAnnouncedAt: number | null = null
  /** A registry that is sure of the newest version has announced it. */
  #knowsNewest = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: FollowerHost) {
    this.#host = host
    this.#coverage = new VersionCoverage(host.versions, host.now, false)
    this.#links = new LinkPool<RouteMessage>({
      id: host.id,
      secret: host.secret,
      heartbeat,
      clock: host.log.clock,
      receive: (link, message) => this.#inbox.post({ type: 'message', link, message }),
      noteOpen: link => this.#inbox.post({ type: 'open', link }),
      noteClosed: link => this.#inbox.post({ type: 'closed', link }),
      noteFault: (fault, peer) => host.log.warn('link-fault', { fault, peer })
    }, dialOptions)
    this.#registries = new PeerList(null, { forgetMs, mostPeers: maxLinks }, { dial: registry => this.#undialed.push(registry), disconnect: registry => this.#disconnect(registry) })
    this.#inbox.run(input => this.#handleInput(input))
  }

  get #version (): number { return this.#document?.version ?? 0 }

  /** Number of connected registries. */
  get linkCount (): number { return this.#links.dialed.length }

  /** Registries that have been heard from recently. */
  listReachable (): LinkedRegistry[] {
    const since = this.#host.now() - aliveWindowMs
    return this.#links.listActive(since).map(({ host, link }) => ({ host, zone: this.#zones.get(link) ?? null, link }))
  }

  /** True if all software versions are known at which streams may have begun that can still be taken up, also those that only one of the registries knows. */
  get knowsAllVersions (): boolean { return this.#coverage.isComplete && this.listReachable().length >= Math.min(this.#listedCount, maxLinks) }

  start (seeds: readonly string[]): void {
    this.setSeeds(seeds)
    this.#dialNext()
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), tickMs)
  }

  /** Replaces the seeds; registries that are known stay known while they are up. */
  setSeeds (seeds: readonly string[]): void {
    this.#registries.setSeeds(seeds.map(seed => parseAddress(seed).host), this.#host.now())
  }

  /** Sends to every connected registry. */
  broadcast (message: RouteMessage): void {
    for (const link of this.#links.dialed) link.send(message)
  }

  /** The link to a reachable registry, of the same zone if there is one. The choice is stable while that registry is reachable. Undefined if none is reachable. */
  findPreferredLink (): Link<RouteMessage> | undefined {
    const alive = this.#links.listActive(this.#host.now() - aliveWindowMs)
    const local = alive.filter(({ link }) => this.#zones.get(link) === this.#host.zone)
    const preferred = local.length > 0 ? local : alive
    const host = chooseByHash('usage', preferred.map(one => one.host))
    return preferred.find(candidate => candidate.host === host)?.link
  }

  /** Sets the registry that issues permits; null if it is no longer known. */
  setIssuer (host: string | null): void { this.#issuer = host }

  /** Sends to the registry that issues permits, or to one that knows which does; false if none is reachable. */
  sendToIssuer (message: RouteMessage): boolean {
    const alive = this.#links.listActive(this.#host.now() - aliveWindowMs)
    const link = alive.find(({ host }) => host === this.#issuer)?.link ?? this.findPreferredLink()
    return link?.send(message) ?? false
  }

  /** Requests relays from a registry; false if none is reachable. */
  askRelays (): boolean { return this.findPreferredLink()?.send({ type: 'ask-relays', zone: this.#host.zone }) ?? false }

  /** Reports this box and its paths to every connected registry. */
  sendHello (): void { this.broadcast(this.#composeHello()) }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#links.close()
  }

  #disconnect (host: string): void {
    this.#undialed = this.#undialed.filter(one => one !== host)
    this.#links.disconnect(host, this.#host.linkPort)
    this.#host.log.info('registry-forgotten', { host })
  }

  // Dials one registry at a time, each gateway in its own order: hundreds of gateways that start together would otherwise
  // keep every registry busy before the log has a leader. The next one is dialled once there is a document, or after a delay.
  #dialNext (): void {
    const now = this.#host.now()
    const intervalMs = this.#document === null ? nextDialMs : tickMs
    if (this.#undialed.length === 0 || now - this.#lastDialAt < intervalMs) return
    const host = chooseByHash(this.#host.id, this.#undialed) ?? this.#undialed[0]
    this.#undialed = this.#undialed.filter(one => one !== host)
    this.#lastDialAt = now
    this.#links.dial(host, this.#host.linkPort)
  }

  #composeHello (): RouteMessage { return { type: 'gateway-hello', gateway: this.#host.id, version: this.#version, ...this.#host.describePaths() } }

  #handleInput (input: Input): void {
    switch (input.type) {
      case 'open':
        input.link.send(this.#composeHello())
        input.link.send({ type: 'crashes', news: this.#host.listCrashes() })
        this.#host.log.info('registry-met', { registry: input.link.peer })
        return
      case 'closed':
        this.#zones.delete(input.link)
        this.#pull.forget(input.link)
        if (input.link.peer !== '') this.#host.log.warn('registry-lost', { registry: input.link.peer, left: this.linkCount })
        return
      case 'message': return this.#receive(input.link, input.message)
      case 'tick': return this.#tick()
    }
  }

  #receive (link: Link<RouteMessage>, message: RouteMessage): void {
    switch (message.type) {
      case 'registry-hello':
        this.#zones.set(link, brandId(message.zone))
        return
      case 'version':
        this.#pull.noteAdvertised(link, message.version)
        if (message.version > 0) this.#firstAnnouncedAt ??= this.#host.now()
        if (message.version > 0 && message.isCurrent) this.#knowsNewest = true
        return this.#requestDocument()
      case 'document': return this.#receiveDocument(link, message.document)
      case 'endpoints':
        if (message.versions !== undefined) this.#coverage.note(message.versions, message.isComplete === true)
        return this.#host.handleRecords(filterRecords(message.records, (endpoint, field) => this.#host.log.warn('record-dropped', { endpoint, field })))
      case 'crashes': return this.#host.handleCrashes(message.news)
      case 'notices': return this.#host.handleNotices(message.notices, brandId(link.peer))
      case 'slots':
      case 'slots-elsewhere': return this.#host.handleSlots(message)
      case 'relays': return this.#host.handleRelays(message.relays)
      case 'permits':
      case 'permits-elsewhere': return this.#host.handlePermits(message)
      case 'stream-found': return this.#host.handleStream(message)
      case 'prompts':
        this.#promptRequests = maxPromptRequests
        return this.#host.handlePrompts(message.prompts)
      case 'boxes':
        this.#listedCount = message.registries.length
        this.#registries.noteListed(message.registries, this.#host.now())
        return this.#host.handleGatewayCount(message.gateways)
      default: return this.#host.log.error('violation', { rule: 'messages-for-gateways', detail: message.type })
    }
  }

  #receiveDocument (link: Link<RouteMessage>, packed: PackedDocument): void {
    const { version, base, steps } = packed
    const document = unpackDocument(packed, this.#document)
    const ms = Math.round(this.#host.now() - this.#documentRequestedAt)
    this.#host.log.info('document-received', { version, base, registry: link.peer, bytes: steps.length, ms, usable: document !== null })
    this.#pull.noteAnswer()
    this.#needsFullDocument = document === null && base === this.#version
    if (document !== null && version > this.#version) this.#applyDocument(document)
    this.#requestDocument()
  }

  #applyDocument (document: VersionedText): void {
    this.#document = document
    this.#host.handleDocument(document)
    this.#requestPrompts()
    this.sendHello()
  }

  #tick (): void {
    for (const [link, zone] of this.#zones) {
      if (this.#host.now() - link.lastReceivedAt < 2 * heartbeat.intervalMs) this.#host.noteZoneAlive(zone)
    }
    this.#registries.check(this.#links.connectedHosts, this.#host.now())
    this.#dialNext()
    this.#requestDocument()
    this.#requestPrompts()
  }

  // Only after the document has arrived: a few thousand prompts would delay it on the link.
  #requestPrompts (): void {
    const now = this.#host.now()
    if (this.#document === null || this.#promptRequests >= maxPromptRequests || now - this.#promptsRequestedAt < promptsRetryMs) return
    const link = this.findPreferredLink()
    if (link?.send({ type: 'ask-prompts' }) !== true) return
    this.#promptsRequestedAt = now
    this.#promptRequests += 1
  }

  #requestDocument (): void {
    const now = this.#host.now()
    if (this.#isSettling(now)) return
    const choice = this.#pull.choose(this.#version, now, this.#host.draw(), link => this.#describeHolder(link, now))
    if (choice === null) return
    const { holder, version, why } = choice
    const held = this.#needsFullDocument ? 0 : this.#version
    this.#documentRequestedAt = now
    this.#host.log.info('document-asked', { version, held, registry: holder.peer, why })
    holder.send({ type: 'ask-document', held })
  }

  // On start, until a registry is sure of the newest version, another may still announce a newer one.
  #isSettling (now: number): boolean {
    if (this.#firstAnnouncedAt === null) return true
    if (this.#knowsNewest) return false
    return this.#document === null && this.#pull.advertisedCount < this.#registries.hosts.length && now - this.#firstAnnouncedAt < settleMs
  }

  // Registries of the same zone are preferred, as traffic between zones is expensive.
  #describeHolder (link: Link<RouteMessage>, now: number): HolderState {
    return { isResponsive: link.isOpen && now - link.lastReceivedAt < aliveWindowMs, isNear: this.#zones.get(link) === this.#host.zone }
  }
}
