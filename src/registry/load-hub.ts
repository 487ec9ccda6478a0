/**
 * Aggregates load reports: gateways report their load to a hub by datagram, the
 * hub sends its subtotal to the other hubs and the overall totals to its gateways.
 * Every registry can act as a hub; gateways choose one in their own zone to reduce
 * traffic between zones. A hub's cost grows with its gateways, a gateway's doesn't.
 */
import { randomInt } from 'node:crypto'
import { LoadTable, NoticeStore, NoticeBroadcaster, PromptIndex, PromptRelay, LoadUpdateEncoder } from '../core/index.js'
import type { BoxId, EndpointId, EndpointNotice, EndpointRecord, LoadTotals, PromptReport, ServiceName } from '../core/index.js'
import { decodeHubReport, decodeGatewayReport, encodeHubReport, encodeLoadUpdate, encodeNotices, encodeTotalsReport, isNewerReport, startLimit } from '../protocol/index.js'
import type { NoticeStatus, ReportSequence } from '../protocol/index.js'
import { DatagramPort, Inbox } from '../runtime/index.js'
import type { ClientIntake, EventLog } from '../runtime/index.js'
import { ReportMemory } from './report-memory.js'

/** What the hub needs of its box. */
export interface LoadHubHost {
  readonly id: BoxId
  readonly log: EventLog
  readonly intake: ClientIntake
  now (): number
  /** Hosts of the other registries. */
  listOthers (): readonly string[]
  /** The service of a registered endpoint; undefined where it is not registered. */
  findService (endpoint: EndpointId): ServiceName | undefined
}

/** A gateway that reports to this hub: the number of its newest report, and its address. */
interface ReportingGateway extends ReportSequence {
  readonly host: string
  readonly port: number
}

/** Another hub: the number of its newest datagram, and its host. */
interface PeerHub extends ReportSequence {
  readonly host: string
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string, readonly port: number }
  | { readonly type: 'tick' }
  | { readonly type: 'publish' }

/** Minimum interval between totals, ms: shorter than an engine's prefill of a prompt. */
const minIntervalMs = 10
/** The interval grows by this for each gateway, ms, to limit the CPU time spent on sending: about 1,000 datagrams a second in all. */
const intervalPerGatewayMs = 1
/**
 * The same for each endpoint in the totals, as every gateway decodes all of them:
 * about 50 ms instead of 15 for sites that have grown to 67 endpoints.
 */
const intervalPerEndpointMs = 0.8
/** Maximum interval, ms: older totals are of little use. */
const maxIntervalMs = 300
/** Interval of datagrams while nothing changes, ms: they serve as the hub's heartbeat; a gateway gives up on a hub after about four missed ones. */
const heartbeatMs = 100
/** The same between hubs, ms: three fit into the time after which waiting requests are no longer counted. */
const peerHeartbeatMs = 180
/** How often all hubs get the full subtotal, and gateways the engine speeds, ms: including hubs without gateways, as gateways may switch to them at any time. */
const fullSumIntervalMs = 500
/** Limit of the datagrams queued for processing; more are dropped, as by the network. */
const maxQueuedInputs = 5000

export class LoadHub {
  #host: LoadHubHost
  #datagrams: DatagramPort
  #inbox = new Inbox<Input>(maxQueuedInputs)
  #loads = new LoadTable()
  #memory: ReportMemory
  /** Relays the prompts of this hub's gateways to the other hubs, and all prompts to this hub's gateways. */
  #promptsToPeers = new PromptRelay()
  #promptsToGateways = new PromptRelay()
  /** The prompts that engines have cached, as reported by all gateways. */
  readonly prompts = new PromptIndex()
  /** The notices of endpoints, as reported by all gateways. */
  readonly notices = new NoticeStore()
  #noticesToPeers = new NoticeBroadcaster(this.notices)
  #noticesToGateways = new NoticeBroadcaster(this.notices)
  #gateways = new Map<BoxId, ReportingGateway>()
  #peers = new Map<BoxId, PeerHub>()
  /** The UDP port that all hubs use. */
  #port = 0
  #fullSumSentAt = -Infinity
  #gapsSentAt = -Infinity
  #incarnation = randomInt(startLimit)
  #sequence = 0
  /** When changes were last checked and sent. */
  #publishedAt = -Infinity
  #lastToGateways = new LastMessage(heartbeatMs)
  #lastToPeers = new LastMessage(peerHeartbeatMs)
  #sumEncoder = new LoadUpdateEncoder()
  #publishedEndpointCount = 0
  #isScheduled = false
  /** True where no gateway reports to this hub and the other hubs have been told so. */
  #isIdle = true
  #closed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadHubHost) {
    this.#host = host
    this.#memory = new ReportMemory(host.intake.memory, box => this.#forget(box))
    this.#datagrams = new DatagramPort({
      receive: (bytes, from, port) => this.#inbox.offer({ type: 'datagram', bytes, host: from, port }),
      noteFault: error => host.log.warn('load-port-fault', { error: error.message })
    })
    this.#inbox.run(input => this.#handle(input))
  }

  /** Starts to listen; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), heartbeatMs / 2)
    this.#port = port
    return this.#datagrams.open(host, port)
  }

  /** The load of all boxes, as known here. */
  sumLoads (): LoadTotals {
    const now = this.#host.now()
    return this.#loads.sumAll(this.#loads.sumOwn(now), now)
  }

  /** The notices and back-off states of endpoints, for operators. */
  listNotices (): NoticeStatus[] {
    const now = this.#host.now()
    const backedOff = new Map(this.sumLoads().loads.filter(load => load.backedOff > 0).map(load => [load.endpoint, load.backedOff]))
    const known = new Map(this.notices.known.map(one => [one.notice.endpoint, one]))
    return [...new Set([...known.keys(), ...backedOff.keys()])].map(endpoint => {
      const { notice, at, from } = known.get(endpoint) ?? { notice: null, at: null, from: null }
      const ageMs = at === null ? null : Math.round(now - at)
      return { endpoint, service: this.#host.findService(endpoint) ?? '', limit: notice?.perSecond ?? null, ...(notice?.brittle === undefined ? {} : { brittle: notice.brittle }), isLeaving: notice?.isLeaving ?? false, ageMs, from, backedOff: backedOff.get(endpoint) ?? 0 }
    })
  }

  /** Stops the hub. Idempotent. */
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
      case 'publish': return this.#publish()
    }
  }

  #receive (bytes: Buffer, host: string, port: number): void {
    const report = decodeGatewayReport(bytes)
    if (report === null) return this.#receivePeerSum(bytes, host)
    const { box, zone, start, number, load } = report
    if (!isNewerReport(report, this.#gateways.get(box))) return
    if (load !== null && !this.#memory.reserve(box, bytes.length, false)) return this.#noteRefused(host)
    this.mergeNotices(report.notices, box)
    if (load === null) return this.#removeGateway(box)
    // A new gateway has no engine speeds yet.
    if (!this.#gateways.has(box)) this.#gapsSentAt = -Infinity
    this.#gateways.set(box, { host, port, start, number })
    this.#isIdle = false
    const now = this.#host.now()
    this.#loads.note(box, zone, load, now)
    this.#promptsToPeers.addReported(load.prompts, now)
    this.#mergePrompts(load.prompts, now)
    this.#schedulePublish()
  }

  // The gateway reports to another hub from now on; its load would be counted twice.
  #removeGateway (box: BoxId): void {
    if (!this.#gateways.has(box)) return
    this.#memory.free(box)
    this.#forget(box)
    this.#host.log.info('gateway-moved', { gateway: box })
    this.#schedulePublish()
  }

  #forget (box: BoxId): void {
    this.#gateways.delete(box)
    this.#peers.delete(box)
    this.#loads.forget(box)
  }

  #noteRefused (address: string): void { this.#host.intake.noteRefused('load', 'memory', { address }) }

  #receivePeerSum (bytes: Buffer, host: string): void {
    const message = decodeHubReport(bytes)
    if (message === null || !isNewerReport(message, this.#peers.get(message.hub))) return
    const { hub, start, number, news: sum } = message
    if (!this.#memory.reserve(hub, bytes.length, !sum.isWhole)) return this.#noteRefused(host)
    // A new or restarted hub has none of the earlier datagrams.
    if (this.#peers.get(hub)?.start !== start) this.#fullSumSentAt = -Infinity
    this.#peers.set(hub, { start, number, host })
    const now = this.#host.now()
    this.#loads.noteSum(hub, sum, now)
    this.#mergePrompts(sum.prompts, now)
    this.mergeNotices(message.notices, hub)
    if (this.#gateways.size > 0) this.#schedulePublish()
  }

  /** Merges the notices of endpoints that another box sent. */
  mergeNotices (notices: readonly EndpointNotice[], from: BoxId): void {
    const now = this.#host.now()
    for (const notice of this.notices.merge(notices.filter(({ endpoint }) => this.#host.findService(endpoint) !== undefined), now, from)) {
      this.#noticesToPeers.note(notice, now)
      this.#noticesToGateways.note(notice, now)
      this.#schedulePublish()
    }
  }

  /** Drops the notices of endpoints that are gone. */
  noteRecords (records: readonly EndpointRecord[]): void {
    for (const { id, stage } of records) if (stage === 'gone') this.notices.forget(id)
  }

  #mergePrompts (prompts: readonly PromptReport[], at: number): void {
    this.prompts.note(this.#promptsToGateways.addReported(prompts, at))
  }

  #tick (): void {
    const now = this.#host.now()
    for (const box of this.#loads.dropExpired(now)) {
      this.#memory.free(box)
      this.#peers.delete(box)
      if (this.#gateways.delete(box)) this.#host.log.warn('gateway-silent', { gateway: box })
    }
    if (this.#lastToGateways.isDue(now) || this.#lastToPeers.isDue(now)) this.#publish()
  }

  // Batches the changes of one interval into one datagram.
  #schedulePublish (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    const waitMs = Math.max(0, this.#publishedAt + this.#intervalMs - this.#host.now())
    setTimeout(() => this.#inbox.post({ type: 'publish' }), waitMs)
  }

  #publish (): void {
    this.#isScheduled = false
    if (this.#closed || this.#isIdle) return
    // A hub without gateways sends its empty subtotal once, then stops.
    this.#isIdle = this.#gateways.size === 0
    const now = this.#host.now()
    this.#publishedAt = now
    const ownTotals = this.#loads.sumOwn(now)
    this.#sendToPeers({ ...ownTotals, prompts: this.#promptsToPeers.takePending() }, now)
    const allTotals = this.#loads.sumAll(ownTotals, now)
    this.#publishedEndpointCount = allTotals.loads.length
    this.#sendToGateways({ ...allTotals, prompts: this.#promptsToGateways.takePending() }, now)
  }

  #sendToGateways (totals: LoadTotals, now: number): void {
    const hasGaps = now - this.#gapsSentAt >= fullSumIntervalMs
    const encodedTotals = encodeLoadUpdate({ ...totals, isWhole: true, gone: [], gaps: hasGaps ? totals.gaps : null })
    const notices = this.#noticesToGateways.listNext(now)
    if (!this.#lastToGateways.update(encodedTotals, now, hasGaps || totals.prompts.length > 0 || notices.length > 0)) return
    if (hasGaps) this.#gapsSentAt = now
    const encodedNotices = encodeNotices(notices)
    const header = { start: this.#incarnation, number: this.#nextSequence(), intervalMs: this.#intervalMs }
    for (const { host, port, number } of this.#gateways.values()) {
      this.#datagrams.send(encodeTotalsReport({ ...header, ownNumber: number }, encodedTotals, encodedNotices), host, port)
    }
  }

  // Hubs that have gateways get changes at once, the others only the periodic full subtotal.
  #sendToPeers (ownTotals: LoadTotals, now: number): void {
    const isFull = now - this.#fullSumSentAt >= fullSumIntervalMs
    const notices = this.#noticesToPeers.listNext(now)
    if (!this.#lastToPeers.update(encodeLoadUpdate({ ...ownTotals, isWhole: true, gone: [] }), now, ownTotals.prompts.length > 0 || notices.length > 0) && !isFull) return
    if (isFull) this.#fullSumSentAt = now
    const hosts = isFull ? this.#host.listOthers() : [...this.#peers.values()].map(other => other.host)
    if (hosts.length === 0) return
    const bytes = encodeHubReport({ hub: this.#host.id, start: this.#incarnation, number: this.#nextSequence(), news: this.#sumEncoder.compose(ownTotals, isFull), notices })
    for (const host of hosts) this.#datagrams.send(bytes, host, this.#port)
  }

  #nextSequence (): number {
    this.#sequence += 1
    return this.#sequence
  }
}

/** The last message sent to a group of receivers; it is repeated only after a change, or as a heartbeat. */
class LastMessage {
  #maxSilenceMs: number
  #bytes: Buffer | null = null
  #sentAt = -Infinity

  /** `maxSilenceMs`: the heartbeat interval. */
  constructor (maxSilenceMs: number) {
    this.#maxSilenceMs = maxSilenceMs
  }

  isDue (at: number): boolean { return at - this.#sentAt >= this.#maxSilenceMs }

  /** Records the bytes as sent and returns true where they are due now; `mustSend`: even if unchanged. */
  update (bytes: Buffer, at: number, mustSend: boolean): boolean {
    if (!mustSend && !this.isDue(at) && this.#bytes?.equals(bytes) === true) return false
    this.#bytes = bytes
    this.#sentAt = at
    return true
  }
}
