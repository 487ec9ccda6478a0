/**
 * Reports this box's load to a hub, shortly after each change and periodically,
 * and receives the totals of all boxes from it. The hub is a registry, of the
 * same zone if one is reachable; a hub that stops sending is replaced by another.
 */
import { randomInt } from 'node:crypto'
import { LoadUpdateDecoder, brandId, chooseByHash, dropBacklog, noTotals, staleMs, subtractOwn } from '../core/index.js'
import type { BoxId, BoxLoad, EndpointNotice, LoadTotals, ZoneName } from '../core/index.js'
import { decodeTotalsReport, encodeGatewayReport, isNewerReport, startLimit } from '../protocol/index.js'
import type { ReportSequence } from '../protocol/index.js'
import { DatagramPort, Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'
import type { ReachableRegistry } from './registry-follower.js'

/** What the reporter needs from its box. */
export interface LoadReporterHost {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly log: EventLog
  /** UDP port of hubs. */
  readonly hubPort: number
  now (): number
  /** Registries that are reachable now. */
  listHubs (): readonly ReachableRegistry[]
  composeLoad (): BoxLoad
  /** Notices that the hub has not confirmed. */
  listNotices (): readonly EndpointNotice[]
  /** Handles notices from the hub. */
  handleNotices (notices: readonly EndpointNotice[], hub: BoxId): void
  /** The box reports to another hub from now on. */
  noteHubChange (): void
  /** Handles the total load of all other boxes; `intervalMs`: how often the hub sends it, `reportedAt`: when the boxes reported it, estimated by this box's own report in it. */
  handleOthers (others: LoadTotals, intervalMs: number, reportedAt: number): void
}

/** The hub to which this box reports. */
interface Hub {
  readonly host: string
  /** When the first report was sent to it. */
  readonly chosenAt: number
  readonly reader: LoadUpdateDecoder
  /** Number of its newest update; undefined before the first. */
  newest: ReportSequence | undefined
  lastReceivedAt: number
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string }
  | { readonly type: 'tick' }

/** Changes are reported after this delay, ms, so that several share a datagram; later if the hub's interval is long. */
const coalesceMs = 8
/** The delay as a share of the hub's interval, if that is longer. */
const coalesceShare = 0.4
/** Interval of reports without a change, ms. */
const heartbeatMs = 250
/** A hub that is silent for this long is replaced by another, ms: a little more than two of its heartbeats. */
const hubTimeoutMs = 450
/** How long a silent hub is avoided, ms: a restart takes it about a second. */
const avoidHubMs = 1500
/** After this long without an update from any hub the load of the other boxes is discarded, ms. */
const othersTtlMs = 1500
/** Number of own reports that are kept, to subtract them from totals that include them: those of one second at the highest rate. */
const maxSentLoads = 128
/** Datagrams that may be queued for processing; more are dropped, as the network may drop them too. */
const maxQueuedDatagrams = 2000

export class LoadReporter {
  #host: LoadReporterHost
  #datagrams: DatagramPort
  #inbox = new Inbox<Input>(maxQueuedDatagrams)
  #hub: Hub | null = null
  #avoidedUntil = new Map<string, number>()
  #start = randomInt(startLimit)
  #number = 0
  #sentLoads = new Map<number, { readonly load: BoxLoad, readonly at: number }>()
  /** When the boxes made the reports behind `#others`. */
  #reportedAt = -Infinity
  #intervalMs = 0
  /** Load of the other boxes as last received; null once it is discarded. */
  #others: LoadTotals | null = null
  #sentAt = -Infinity
  #lastReceivedAt = -Infinity
  #isScheduled = false
  #isClosed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadReporterHost) {
    this.#host = host
    this.#datagrams = new DatagramPort({
      receive: (bytes, from) => this.#inbox.offer({ type: 'datagram', bytes, host: from }),
      noteFault: error => host.log.warn('load-port-fault', { error: error.message })
    })
    this.#inbox.run(input => this.#handleInput(input))
  }

  /** Starts reporting from a port of the system's choice: hubs answer to the source port of a report. */
  async open (host: string): Promise<void> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), heartbeatMs / 2)
    await this.#datagrams.open(host, 0)
  }

  /** Stops the reporter; may be called more than once. */
  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#datagrams.close()
  }

  /** Schedules a report because the load of this box has changed. */
  noteChange (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setTimeout(() => this.#send(), Math.max(coalesceMs, this.#intervalMs * coalesceShare))
  }

  #handleInput (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receiveTotals(input.bytes, input.host)
      case 'tick': return this.#tick()
    }
  }

  #receiveTotals (bytes: Buffer, from: string): void {
    const hub = this.#hub
    if (hub === null || hub.host !== from) return
    const update = decodeTotalsReport(bytes)
    if (update === null || !isNewerReport(update, hub.newest)) return
    const now = this.#host.now()
    hub.newest = { start: update.start, number: update.number }
    hub.lastReceivedAt = now
    this.#lastReceivedAt = now
    this.#intervalMs = update.intervalMs
    if (update.notices.length > 0) this.#host.handleNotices(update.notices, brandId(hub.host))
    const totals = hub.reader.take(update.news)
    const own = this.#sentLoads.get(update.ownNumber)
    this.#reportedAt = own?.at ?? now - staleMs
    if (totals !== null) this.#setOthers(subtractOwn(totals, own?.load ?? null), update.intervalMs)
  }

  #tick (): void {
    const now = this.#host.now()
    this.#updateHub(now)
    this.#expireOthers(now - this.#lastReceivedAt)
    if (now - this.#sentAt >= heartbeatMs) this.#send()
  }

  // Without updates from any hub, first the queued requests of the other boxes are discarded, later all of their load.
  #expireOthers (sinceReportMs: number): void {
    if (this.#others === null || sinceReportMs <= staleMs) return
    if (sinceReportMs <= othersTtlMs) return this.#setOthers(dropBacklog(this.#others), this.#intervalMs)
    this.#others = null
    this.#host.log.warn('hubs-silent', { hub: this.#hub?.host ?? '' })
    this.#host.handleOthers(noTotals, 0, this.#host.now())
  }

  #setOthers (others: LoadTotals, intervalMs: number): void {
    this.#others = others
    this.#host.handleOthers(others, intervalMs, this.#reportedAt)
  }

  // Replaces a hub that is silent, and one of another zone as soon as one of this zone is reachable.
  #updateHub (now: number): void {
    const hub = this.#hub
    for (const [host, until] of this.#avoidedUntil) if (until <= now) this.#avoidedUntil.delete(host)
    if (hub !== null && now - Math.max(hub.lastReceivedAt, hub.chosenAt) > hubTimeoutMs) this.#avoidedUntil.set(hub.host, now + avoidHubMs)
    const best = this.#findHub(now)
    if (best === hub?.host || best === undefined) return
    this.#host.log.info('hub-chosen', { hub: best, before: hub?.host ?? '' })
    if (hub !== null) this.#sendLoad(hub.host, null)
    this.#host.noteHubChange()
    this.#hub = { host: best, chosenAt: now, reader: new LoadUpdateDecoder(), newest: undefined, lastReceivedAt: -Infinity }
    this.#send()
  }

  // Chosen by hash, so that gateways of a zone that reach the same registries agree; undefined if none is reachable.
  #findHub (now: number): string | undefined {
    const reached = this.#host.listHubs().filter(({ host }) => (this.#avoidedUntil.get(host) ?? 0) <= now)
    const local = reached.filter(({ zone }) => zone === this.#host.zone)
    return chooseByHash('hub', (local.length > 0 ? local : reached).map(({ host }) => host))
  }

  #send (): void {
    this.#isScheduled = false
    if (this.#isClosed || this.#hub === null) return
    this.#sentAt = this.#host.now()
    const load = this.#host.composeLoad()
    this.#sendLoad(this.#hub.host, load)
    this.#rememberLoad(load)
  }

  // `load`: null to tell the hub that this box reports to another one from now on.
  #sendLoad (host: string, load: BoxLoad | null): void {
    this.#number += 1
    const { id, zone, hubPort } = this.#host
    this.#datagrams.send(encodeGatewayReport({ box: id, zone, start: this.#start, number: this.#number, load, notices: this.#host.listNotices() }), host, hubPort)
  }

  #rememberLoad (load: BoxLoad): void {
    this.#sentLoads.set(this.#number, { load, at: this.#sentAt })
    this.#sentLoads.delete(this.#number - maxSentLoads)
  }
}
