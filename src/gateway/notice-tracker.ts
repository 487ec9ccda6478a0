/**
 * Tracks the notices of endpoints (rate limit, back-off, leaving): reads them from
 * answers, reports them to the hub, and merges those that other boxes have read.
 */
import { NoticeStore, NoticeUplink } from '../core/index.js'
import type { BoxId, EndpointId, EndpointNotice, EndpointRecord, EndpointView, Fleet } from '../core/index.js'
import type { EndpointNotices } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'

/** What the tracker needs from its box. */
export interface NoticeTrackerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly fleet: Fleet
  now (): number
  /** There is something new to report to the hub. */
  noteNoticeChange (): void
}

/** Minimum time between log lines about malformed headers of one endpoint, ms. */
const faultyLogIntervalMs = 1000
/** Number of endpoints for which the time of the last such line is kept. */
const maxFaultyEndpoints = 1000

export class NoticeTracker {
  #host: NoticeTrackerHost
  #store: NoticeStore
  #uplink: NoticeUplink
  #faultyLoggedAt = new Map<EndpointId, number>()

  constructor (host: NoticeTrackerHost, store: NoticeStore) {
    this.#host = host
    this.#store = store
    this.#uplink = new NoticeUplink(store)
  }

  /** Applies the notices of one answer. A missing limit ends the limit only if the request ran: an endpoint that refuses requests may omit it. */
  noteAnswer (view: EndpointView, { limit, brittle, isLeaving, backoffMs, faulty }: EndpointNotices, hasRun: boolean): void {
    const { id, record: { born, service } } = view
    if (backoffMs !== null) this.#noteBackoff(view, backoffMs)
    const notice = this.#store.note({ endpoint: id, born, limit: limit === null && !hasRun ? undefined : limit, brittle: brittle ?? (hasRun ? null : undefined), isLeaving }, this.#host.now())
    if (notice !== null) {
      this.#apply([notice], 'answer')
      this.#uplink.note(notice)
      this.#host.noteNoticeChange()
    }
    if (faulty.length > 0) this.#logFaulty(id, service, faulty)
  }

  /** Merges notices from the hub or a registry. */
  merge (notices: readonly EndpointNotice[], from: BoxId): void {
    this.#uplink.confirm(notices)
    this.#apply(this.#store.merge(notices.filter(({ endpoint }) => this.#host.fleet.findView(endpoint) !== undefined), this.#host.now(), from), 'box')
  }

  /** Forgets endpoints that are gone. */
  noteRecords (records: readonly EndpointRecord[]): void {
    for (const { id, stage } of records) if (stage === 'gone') this.#store.forget(id)
  }

  /** Notices that the hub has not confirmed. */
  listUnconfirmed (): readonly EndpointNotice[] { return this.#uplink.list() }

  /** The box reports to another hub from now on. */
  noteHubChange (): void { this.#uplink.reset() }

  #apply (notices: readonly EndpointNotice[], from: 'answer' | 'box'): void {
    const { fleet, log, metrics } = this.#host
    fleet.applyNotices(notices)
    for (const { endpoint, perSecond, brittle, isLeaving, stamp } of notices) {
      const service = fleet.findView(endpoint)?.record.service ?? ''
      metrics.gauge('limited-endpoints', this.#count(service, notice => notice.perSecond !== null), { service })
      metrics.gauge('brittle-endpoints', this.#count(service, notice => notice.brittle !== undefined), { service })
      log.info('endpoint-notice', { endpoint, service, limit: perSecond, brittle, isLeaving, stamp, from })
    }
  }

  #count (service: string, matches: (notice: EndpointNotice) => boolean): number {
    const { fleet } = this.#host
    return this.#store.notices.filter(notice => matches(notice) && fleet.findView(notice.endpoint)?.record.service === service).length
  }

  // Back-off applies to this box alone; the others only learn that the endpoint is loaded.
  #noteBackoff ({ id, gate, record: { service } }: EndpointView, backoffMs: number): void {
    gate.noteBackoff(this.#host.now() + backoffMs)
    this.#host.noteNoticeChange()
    this.#host.metrics.count('endpoint-backoff', { service })
    this.#host.log.info('endpoint-backoff', { endpoint: id, service, backoffMs: Math.round(backoffMs) })
  }

  #logFaulty (id: EndpointId, service: string, faulty: EndpointNotices['faulty']): void {
    const at = this.#host.now()
    if (at - (this.#faultyLoggedAt.get(id) ?? -Infinity) < faultyLogIntervalMs) return
    if (this.#faultyLoggedAt.size >= maxFaultyEndpoints) this.#faultyLoggedAt.clear()
    this.#faultyLoggedAt.set(id, at)
    for (const { name, value } of faulty) this.#host.log.warn('endpoint-header-faulty', { endpoint: id, service, name, value })
  }
}
