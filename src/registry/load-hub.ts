/**
 * A hub of loads: gateways tell it their work by datagrams, it tells the other
 * hubs the sum of that, and its gateways the totals of all. Every registry is
 * ready to be one; gateways choose one of their own zone, so that little crosses
 * between zones. The work of a hub grows with its gateways, a gateway's doesn't.
 */
import { randomInt } from 'node:crypto'
import { LoadBook, NoticeBook, NoticeTeller, PromptBook, PromptRelay, SumTeller } from '../core/index.js'
import type { BoxId, EndpointId, EndpointNotice, EndpointRecord, LoadTotals, ReadPrompt, ServiceName } from '../core/index.js'
import { decodeHubWord, decodeLoadWord, encodeHubWord, encodeNews, encodeNotices, encodeTotalsWord, isNewerWord, startLimit } from '../protocol/index.js'
import type { NoticeStatus, WordNumber } from '../protocol/index.js'
import { DatagramPort, Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the hub needs of its box. */
export interface LoadHubHost {
  readonly id: BoxId
  readonly log: EventLog
  now (): number
  /** Hosts of the other registries. */
  listOthers (): readonly string[]
  /** The service of an endpoint that is registered; undefined for another. */
  findService (endpoint: EndpointId): ServiceName | undefined
}

/** A gateway that tells this hub its work: its newest word, and where it came from. */
interface ReportingGateway extends WordNumber {
  readonly host: string
  readonly port: number
}

/** Another hub's newest word, and where it came from. */
interface PeerHub extends WordNumber {
  readonly host: string
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string, readonly port: number }
  | { readonly type: 'tick' }
  | { readonly type: 'tell' }

/** Totals are told no more often than this, ms: below what an engine reads a prompt in. */
const minIntervalMs = 10
/** Part of a core's time, in ms for each gateway and interval, that telling may take: about 1,000 datagrams a second in all. */
const intervalPerGatewayMs = 1
/**
 * The same for each endpoint in the totals, all of which every gateway decodes:
 * some 50 ms at the 67 endpoints of the grown sites, in place of 15.
 */
const intervalPerEndpointMs = 0.8
/** Totals older than this are worth little, ms. */
const maxIntervalMs = 300
/** Without a change words go out this often, ms: they are also the sign that the hub lives, for which a gateway waits some four of them. */
const heartbeatMs = 100
/** The same between hubs, ms: three fit into the time after which what waits no longer counts. */
const peerHeartbeatMs = 180
/** All hubs are told the whole sum this often, and gateways the speeds of engines, ms: hubs without gateways too, as one of them may be chosen at any time. */
const fullSumIntervalMs = 500
/** Datagrams that wait to be read; more are dropped, as the network may. */
const maxQueuedInputs = 5000

export class LoadHub {
  #host: LoadHubHost
  #datagrams: DatagramPort
  #inbox = new Inbox<Input>(maxQueuedInputs)
  #loads = new LoadBook()
  /** Prompts for the other hubs, of the own gateways, and for the own gateways, of all. */
  #promptsToPeers = new PromptRelay()
  #promptsToGateways = new PromptRelay()
  /** What engines hold, as all gateways told it. */
  readonly prompts = new PromptBook()
  /** What endpoints say of themselves, as all gateways told it. */
  readonly notices = new NoticeBook()
  #noticesToPeers = new NoticeTeller(this.notices)
  #noticesToGateways = new NoticeTeller(this.notices)
  #gateways = new Map<BoxId, ReportingGateway>()
  #peers = new Map<BoxId, PeerHub>()
  /** On which all hubs listen. */
  #port = 0
  #fullSumSentAt = -Infinity
  #gapsSentAt = -Infinity
  #incarnation = randomInt(startLimit)
  #sequence = 0
  /** When it was last looked at what is to be told. */
  #publishedAt = -Infinity
  #lastToGateways = new LastMessage(heartbeatMs)
  #lastToPeers = new LastMessage(peerHeartbeatMs)
  #sumEncoder = new SumTeller()
  #publishedEndpointCount = 0
  #isScheduled = false
  /** True where no gateway tells this hub its work, and the others know. */
  #isIdle = true
  #closed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadHubHost) {
    this.#host = host
    this.#datagrams = new DatagramPort({
      receive: (bytes, from, port) => this.#inbox.offer({ type: 'datagram', bytes, host: from, port }),
      noteFault: error => host.log.warn('load-port-fault', { error: error.message })
    })
    this.#inbox.run(input => this.#handle(input))
  }

  /** Begins to listen; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), heartbeatMs / 2)
    this.#port = port
    return this.#datagrams.open(host, port)
  }

  /** The work of all boxes, as it stands here. */
  sumLoads (): LoadTotals {
    const now = this.#host.now()
    return this.#loads.sumAll(this.#loads.sumOwn(now), now)
  }

  /** What endpoints say of themselves, for operators. */
  listNotices (): NoticeStatus[] {
    const now = this.#host.now()
    const backedOff = new Map(this.sumLoads().loads.filter(load => load.backedOff > 0).map(load => [load.endpoint, load.backedOff]))
    const known = new Map(this.notices.known.map(one => [one.notice.endpoint, one]))
    return [...new Set([...known.keys(), ...backedOff.keys()])].map(endpoint => {
      const { notice, at, from } = known.get(endpoint) ?? { notice: null, at: null, from: null }
      const ageMs = at === null ? null : Math.round(now - at)
      return { endpoint, service: this.#host.findService(endpoint) ?? '', limit: notice?.perSecond ?? null, isLeaving: notice?.isLeaving ?? false, ageMs, from, backedOff: backedOff.get(endpoint) ?? 0 }
    })
  }

  /** Ends the hub; a second call does nothing. */
  close (): void {
    if (this.#closed) return
    this.#closed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#datagrams.close()
  }

  get #intervalMs (): number {
    const loadDependentMs = Math.max(this.#gateways.size * intervalPerGatewayMs, this.#publishedEndpointCount * intervalPerEndpointMs)
    return Math.min(maxIntervalMs, Math.max(minIntervalMs, loadDependentMs))
  }

  #handle (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receive(input.bytes, input.host, input.port)
      case 'tick': return this.#tick()
      case 'tell': return this.#publish()
    }
  }

  #receive (bytes: Buffer, host: string, port: number): void {
    const report = decodeLoadWord(bytes)
    if (report === null) return this.#receivePeerSum(bytes, host)
    const { box, zone, start, number, load } = report
    if (!isNewerWord(report, this.#gateways.get(box))) return
    this.mergeNotices(report.notices, box)
    if (load === null) return this.#removeGateway(box)
    // Who is new knows no engine's speed.
    if (!this.#gateways.has(box)) this.#gapsSentAt = -Infinity
    this.#gateways.set(box, { host, port, start, number })
    this.#isIdle = false
    const now = this.#host.now()
    this.#loads.note(box, zone, load, now)
    this.#promptsToPeers.take(load.prompts, now)
    this.#mergePrompts(load.prompts, now)
    this.#schedulePublish()
  }

  // Another hub tells the box's work from now on: here it would count twice.
  #removeGateway (box: BoxId): void {
    if (!this.#gateways.delete(box)) return
    this.#loads.forget(box)
    this.#host.log.info('gateway-moved', { gateway: box })
    this.#schedulePublish()
  }

  #receivePeerSum (bytes: Buffer, host: string): void {
    const message = decodeHubWord(bytes)
    if (message === null || !isNewerWord(message, this.#peers.get(message.hub))) return
    const { hub, start, number, news: sum } = message
    // Who is new knows nothing of the words before.
    if (this.#peers.get(hub)?.start !== start) this.#fullSumSentAt = -Infinity
    this.#peers.set(hub, { start, number, host })
    const now = this.#host.now()
    this.#loads.noteSum(hub, sum, now)
    this.#mergePrompts(sum.prompts, now)
    this.mergeNotices(message.notices, hub)
    if (this.#gateways.size > 0) this.#schedulePublish()
  }

  /** Takes what endpoints say of themselves, as another box knows it. */
  mergeNotices (notices: readonly EndpointNotice[], from: BoxId): void {
    const now = this.#host.now()
    for (const notice of this.notices.merge(notices.filter(({ endpoint }) => this.#host.findService(endpoint) !== undefined), now, from)) {
      this.#noticesToPeers.note(notice, now)
      this.#noticesToGateways.note(notice, now)
      this.#schedulePublish()
    }
  }

  /** Forgets what endpoints said that are gone. */
  noteRecords (records: readonly EndpointRecord[]): void {
    for (const { id, stage } of records) if (stage === 'gone') this.notices.forget(id)
  }

  #mergePrompts (prompts: readonly ReadPrompt[], at: number): void {
    this.prompts.note(this.#promptsToGateways.take(prompts, at))
  }

  #tick (): void {
    const now = this.#host.now()
    for (const box of this.#loads.forgetSilent(now)) {
      this.#peers.delete(box)
      if (this.#gateways.delete(box)) this.#host.log.warn('gateway-silent', { gateway: box })
    }
    if (this.#lastToGateways.isDue(now) || this.#lastToPeers.isDue(now)) this.#publish()
  }

  // Changes of one interval share a datagram.
  #schedulePublish (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    const waitMs = Math.max(0, this.#publishedAt + this.#intervalMs - this.#host.now())
    setTimeout(() => this.#inbox.post({ type: 'tell' }), waitMs)
  }

  #publish (): void {
    this.#isScheduled = false
    if (this.#closed || this.#isIdle) return
    // Without gateways of its own the hub says so once.
    this.#isIdle = this.#gateways.size === 0
    const now = this.#host.now()
    this.#publishedAt = now
    const ownTotals = this.#loads.sumOwn(now)
    this.#sendToPeers({ ...ownTotals, prompts: this.#promptsToPeers.draw() }, now)
    const allTotals = this.#loads.sumAll(ownTotals, now)
    this.#publishedEndpointCount = allTotals.loads.length
    this.#sendToGateways({ ...allTotals, prompts: this.#promptsToGateways.draw() }, now)
  }

  #sendToGateways (totals: LoadTotals, now: number): void {
    const hasGaps = now - this.#gapsSentAt >= fullSumIntervalMs
    const encodedTotals = encodeNews({ ...totals, isWhole: true, gone: [], gaps: hasGaps ? totals.gaps : null })
    const notices = this.#noticesToGateways.draw(now)
    if (!this.#lastToGateways.update(encodedTotals, now, hasGaps || totals.prompts.length > 0 || notices.length > 0)) return
    if (hasGaps) this.#gapsSentAt = now
    const encodedNotices = encodeNotices(notices)
    const header = { start: this.#incarnation, number: this.#nextSequence(), intervalMs: this.#intervalMs }
    for (const { host, port, number } of this.#gateways.values()) {
      this.#datagrams.send(encodeTotalsWord({ ...header, ownNumber: number }, encodedTotals, encodedNotices), host, port)
    }
  }

  // Hubs that have gateways are told at once, the others now and then.
  #sendToPeers (ownTotals: LoadTotals, now: number): void {
    const isFull = now - this.#fullSumSentAt >= fullSumIntervalMs
    const notices = this.#noticesToPeers.draw(now)
    if (!this.#lastToPeers.update(encodeNews({ ...ownTotals, isWhole: true, gone: [] }), now, ownTotals.prompts.length > 0 || notices.length > 0) && !isFull) return
    if (isFull) this.#fullSumSentAt = now
    const hosts = isFull ? this.#host.listOthers() : [...this.#peers.values()].map(other => other.host)
    if (hosts.length === 0) return
    const bytes = encodeHubWord({ hub: this.#host.id, start: this.#incarnation, number: this.#nextSequence(), news: this.#sumEncoder.compose(ownTotals, isFull), notices })
    for (const host of hosts) this.#datagrams.send(bytes, host, this.#port)
  }

  #nextSequence (): number {
    this.#sequence += 1
    return this.#sequence
  }
}

/** What was last told to some, so that it is told again only once it has changed, or as a sign of life. */
class LastMessage {
  #maxSilenceMs: number
  #bytes: Buffer | null = null
  #sentAt = -Infinity

  /** `beatMs`: how often it is told at least. */
  constructor (maxSilenceMs: number) {
    this.#maxSilenceMs = maxSilenceMs
  }

  isDue (at: number): boolean { return at - this.#sentAt >= this.#maxSilenceMs }

  /** True where these bytes are to be told now; `hasNews`: even if they are the same. */
  update (bytes: Buffer, at: number, mustSend: boolean): boolean {
    if (!mustSend && !this.isDue(at) && this.#bytes?.equals(bytes) === true) return false
    this.#bytes = bytes
    this.#sentAt = at
    return true
  }
}
