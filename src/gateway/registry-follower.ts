/**
 * A gateway's side of the registries: it keeps a link to each of them, takes
 * the newest document and every change of the directory, and goes on with what
 * it has where none can be reached.
 */
import { parseAddress } from '../config/index.js'
import { DocumentPull } from '../coordination/index.js'
import type { HolderState, PullPatience, VersionedText } from '../coordination/index.js'
import { brandId, chooseByHash } from '../core/index.js'
import type { BoxId, CrashNews, EndpointNotice, EndpointRecord, ReadPrompt, ZoneName } from '../core/index.js'
import { LinkPool, unpackDocument } from '../protocol/index.js'
import type { Link, PackedDocument, RouteMessage } from '../protocol/index.js'
import { Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the follower needs of its box. */
export interface FollowerHost {
  readonly log: EventLog
  readonly secret: string | null
  readonly linkPort: number
  readonly id: BoxId
  readonly zone: ZoneName
  now (): number
  /** Parts registries that are alike, from 0 up to 1. */
  draw (): number
  takeDocument (document: VersionedText): void
  /** Takes which prompts engines hold. */
  takePrompts (prompts: readonly ReadPrompt[]): void
  takeRecords (records: readonly EndpointRecord[]): void
  /** Takes ends of endpoints and requests in quarantine. */
  takeCrashes (news: CrashNews): void
  /** What is known here of them, for a registry that may know nothing. */
  listCrashes (): CrashNews
  /** Takes how many gateways a registry is in touch with. */
  takeGatewayCount (count: number): void
  noteZone (zone: ZoneName): void
  /** Takes what endpoints say of themselves. */
  takeNotices (notices: readonly EndpointNotice[], registry: BoxId): void
  /** Takes an answer about permits. */
  takePermits (answer: PermitAnswer): void
}

/** An answer to a call for permits. */
export type PermitAnswer = Extract<RouteMessage, { type: 'permits' | 'permits-elsewhere' }>

/** A registry that can be reached. */
export interface ReachedRegistry {
  readonly host: string
  /** Null before it said so. */
  readonly zone: ZoneName | null
}

type Input =
  | { readonly type: 'message', readonly link: Link<RouteMessage>, readonly message: RouteMessage }
  | { readonly type: 'open', readonly link: Link<RouteMessage> }
  | { readonly type: 'closed', readonly link: Link<RouteMessage> }
  | { readonly type: 'tick' }

/** Heartbeats of links, ms: two of them missing show a cut zone. */
const heartbeat = { everyMs: 300, silentMs: 1500 }
const dialOptions = { connectMs: 500, longestRetryMs: 500 }
/** A registry that was silent for so long may be cut off, ms: two heartbeats and a little. */
const aliveWindowMs = 700
/** How often the follower looks at its links, ms. */
const tickMs = 100
/**
 * A registry that was asked for a document and lives is waited for so long. A
 * whole document of a few thousand routes, packed, takes a tenth of a second of
 * a gateway's link; a box that takes seconds over it is held up.
 */
const pullTimeouts: PullPatience = { firstMs: 1000, longestMs: 8000 }
/** At the start, documents are taken from a registry that isn't sure of them only after the others had so long to name a newer one, ms. */
const settleMs = 250
/** Without a document, the next registry is called after this: it takes a registry some tens of ms to name one, ms. */
const nextDialMs = 200
/** Prompts that engines hold are asked for again after this: the registry that was asked may know of none yet, or be gone, ms. */
const promptsRetryMs = 1500
/** They are asked for so often: there may be none. */
const maxPromptRequests = 4
/** Links to registries at most: one for each of a system of today's size. */
const maxLinks = 12
/** Messages that may wait; they are few, as registries send only changes. */
const maxQueuedInputs = 10_000

export class RegistryFollower {
  #host: FollowerHost
  #links: LinkPool<RouteMessage>
  #inbox = new Inbox<Input>(maxQueuedInputs)
  #hosts = new Set<string>()
  /** Those of them that are still to be called. */
  #undialed: string[] = []
  #lastDialAt = -Infinity
  #zones = new Map<Link<RouteMessage>, ZoneName>()
  #pull = new DocumentPull<Link<RouteMessage>>(pullTimeouts)
  #document: VersionedText | null = null
  /** What came last was told against the document held, yet could not be made out: the whole is asked for. */
  #needsFullDocument = false
  #documentRequestedAt = 0
  #promptsRequestedAt = -Infinity
  #promptRequests = 0
  #issuer: string | null = null
  #firstAnnouncedAt: number | null = null
  /** A registry that was sure of it has named the newest document. */
  #knowsNewest = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: FollowerHost) {
    this.#host = host
    this.#links = new LinkPool<RouteMessage>({
      id: host.id,
      secret: host.secret,
      pulse: heartbeat,
      clock: host.log.clock,
      receive: (link, message) => this.#inbox.post({ type: 'message', link, message }),
      noteOpen: link => this.#inbox.post({ type: 'open', link }),
      noteClosed: link => this.#inbox.post({ type: 'closed', link }),
      noteFault: (fault, peer) => host.log.warn('link-fault', { fault, peer })
    }, dialOptions)
    this.#inbox.run(input => this.#handleInput(input))
  }

  get #version (): number { return this.#document?.version ?? 0 }

  /** Registries in touch. */
  get linkCount (): number { return this.#links.dialed.length }

  /** Registries that were heard from just now. */
  listReachable (): ReachedRegistry[] {
    const since = this.#host.now() - aliveWindowMs
    return this.#links.listHeard(since).map(({ host, link }) => ({ host, zone: this.#zones.get(link) ?? null }))
  }

  start (seeds: readonly string[]): void {
    this.setSeeds(seeds)
    this.#dialNext()
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), tickMs)
  }

  /** Takes other seeds; registries known before stay known. */
  setSeeds (seeds: readonly string[]): void {
    for (const seed of seeds) this.#addRegistry(parseAddress(seed).host)
  }

  /** Tells every registry in touch. */
  broadcast (message: RouteMessage): void {
    for (const link of this.#links.dialed) link.send(message)
  }

  /** The link to a registry that is heard, of the own zone where there is one; the same until it is silent. Undefined where there is none. */
  findPreferredLink (): Link<RouteMessage> | undefined {
    const alive = this.#links.listHeard(this.#host.now() - aliveWindowMs)
    const local = alive.filter(({ link }) => this.#zones.get(link) === this.#host.zone)
    const preferred = local.length > 0 ? local : alive
    const host = chooseByHash('usage', preferred.map(one => one.host))
    return preferred.find(candidate => candidate.host === host)?.link
  }

  /** Takes which registry gives permits; null where that isn't known any more. */
  setIssuer (host: string | null): void { this.#issuer = host }

  /** Sends to the registry that gives permits, or to one that knows which does; false where none is heard. */
  sendToIssuer (message: RouteMessage): boolean {
    const alive = this.#links.listHeard(this.#host.now() - aliveWindowMs)
    const link = alive.find(({ host }) => host === this.#issuer)?.link ?? this.findPreferredLink()
    return link?.send(message) ?? false
  }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#links.close()
  }

  #addRegistry (host: string): void {
    if (this.#hosts.has(host) || this.#hosts.size >= maxLinks) return
    this.#hosts.add(host)
    this.#undialed.push(host)
  }

  // One registry after another, each gateway in an order of its own: hundreds that start together would keep every
  // registry busy with all of them, before the log has a leader. The next waits until there is a document, or a while.
  #dialNext (): void {
    const now = this.#host.now()
    const intervalMs = this.#document === null ? nextDialMs : tickMs
    if (this.#undialed.length === 0 || now - this.#lastDialAt < intervalMs) return
    const host = chooseByHash(this.#host.id, this.#undialed) ?? this.#undialed[0]
    this.#undialed = this.#undialed.filter(one => one !== host)
    this.#lastDialAt = now
    this.#links.dial(host, this.#host.linkPort)
  }

  #handleInput (input: Input): void {
    switch (input.type) {
      case 'open':
        input.link.send({ type: 'gateway-hello', gateway: this.#host.id, version: this.#version })
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
        this.#pull.noteNamed(link, message.version)
        if (message.version > 0) this.#firstAnnouncedAt ??= this.#host.now()
        if (message.version > 0 && message.isCurrent) this.#knowsNewest = true
        return this.#requestDocument()
      case 'document': return this.#receiveDocument(link, message.document)
      case 'endpoints': return this.#host.takeRecords(message.records)
      case 'crashes': return this.#host.takeCrashes(message.news)
      case 'notices': return this.#host.takeNotices(message.notices, brandId(link.peer))
      case 'permits':
      case 'permits-elsewhere': return this.#host.takePermits(message)
      case 'prompts':
        this.#promptRequests = maxPromptRequests
        return this.#host.takePrompts(message.prompts)
      case 'boxes':
        for (const host of message.registries) this.#addRegistry(host)
        return this.#host.takeGatewayCount(message.gateways)
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
    this.#host.takeDocument(document)
    this.#requestPrompts()
    this.broadcast({ type: 'gateway-hello', gateway: this.#host.id, version: document.version })
  }

  #tick (): void {
    for (const [link, zone] of this.#zones) {
      if (this.#host.now() - link.heardAt < 2 * heartbeat.everyMs) this.#host.noteZone(zone)
    }
    this.#dialNext()
    this.#requestDocument()
    this.#requestPrompts()
  }

  // Once there are routes: a few thousand prompts would keep the document waiting on a box's link.
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

  // At the start, before one of them is sure, the others may still name a newer version.
  #isSettling (now: number): boolean {
    if (this.#firstAnnouncedAt === null) return true
    if (this.#knowsNewest) return false
    return this.#document === null && this.#pull.namedCount < this.#hosts.size && now - this.#firstAnnouncedAt < settleMs
  }

  // Bytes between zones are dear.
  #describeHolder (link: Link<RouteMessage>, now: number): HolderState {
    return { isHeard: link.isOpen && now - link.heardAt < aliveWindowMs, isNear: this.#zones.get(link) === this.#host.zone }
  }
}
