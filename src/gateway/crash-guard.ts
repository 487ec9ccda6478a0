/**
 * A gateway's guard against requests that end the endpoints which run them. It
 * finds out whether an endpoint that broke off has ended, tells the registries
 * what ran there, and rules what may be done with a request. It decides on what
 * this box has seen and heard; no request waits for a word from another.
 */
import { CrashWatch, describeEntry, gatherNewsMs, joinNews, labelSoftware } from '../core/index.js'
import type { CrashNews, EndpointId, EndpointRecord, EndpointView, Fingerprint, Fleet, Narrowing, Ruling } from '../core/index.js'
import { Gatherer } from '../runtime/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { EndpointProber } from './endpoint-prober.js'
import { identifyRequest } from './fingerprint.js'
import type { Order } from './order.js'

/** What the guard needs of its box. */
export interface GuardHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly fleet: Fleet
  readonly prober: EndpointProber
  now (): number
  /** Tells all registries in touch. */
  broadcast (news: CrashNews): void
}

/** What the end of a send tells of its endpoint: it answered whole, the connection ended, what came was no answer, or nothing came. */
export type SendEvidence = 'answered' | 'lost' | 'broken' | 'silent'

/** A request whose send broke. */
interface BrokenRun {
  /** How long it had been at the endpoint, ms. */
  readonly ms: number
  readonly at: number
}

/** Requests whose sends broke at one life of an endpoint. */
interface BrokenIncarnation {
  readonly record: EndpointRecord
  /** When the last of them broke. */
  at: number
  readonly runs: Map<Fingerprint, BrokenRun>
  /** `looking`: it is tried whether anybody listens there; `unknown`: somebody does, or nothing can be said. */
  state: 'unknown' | 'probing' | 'ended'
}

/** For so long it is kept what broke at an endpoint, ms: a new life of it, which tells the end of the last, is registered within seconds. */
const brokenRetentionMs = 10_000
/** Endpoints of which that is kept; beyond them the oldest go. */
const maxBroken = 200
/** With so many ends under it a request is sent to one endpoint an arrival, whatever its route allows: each further send may end one more. */
const singleSendCrashes = 2
/** When a request comes back whose one trial is under way, ms. */
const trialRetryMs = 1000
/**
 * What breaks at an endpoint within this of its end ended with it, ms: connections end at once, and it is tried for 300 ms whether
 * anybody listens there. What broke before was lost for another reason; what breaks later belongs to the next life.
 */
const crashWindowMs = 1000
const freeRuling: Ruling = { type: 'free' }

export class CrashGuard {
  #host: GuardHost
  #watch: CrashWatch
  #pendingReports: Gatherer<CrashNews>
  #broken = new Map<EndpointId, BrokenIncarnation>()
  /** Requests in quarantine of which one send is under way here. */
  #trials = new Map<Fingerprint, Order>()

  constructor (host: GuardHost) {
    this.#host = host
    this.#watch = new CrashWatch(service => host.fleet.listUsable(service, host.now()).length)
    this.#pendingReports = new Gatherer(gatherNewsMs, news => host.broadcast(joinNews(news)))
  }

  /** What may be done with a request now. */
  rule (order: Order): Ruling {
    if (this.#watch.isIdle) return freeRuling
    const fingerprint = identifyRequest(order)
    const at = this.#host.now()
    const listLabels = (): ReadonlySet<string> => new Set(this.#host.fleet.listUsable(order.service, at).map(({ record }) => labelSoftware(record)))
    const ruling = this.#watch.rule(fingerprint, listLabels, at)
    if (ruling.type !== 'trial') return ruling
    const running = this.#trials.get(fingerprint)
    if (running !== undefined && running !== order) return { type: 'refused', retryAfterMs: trialRetryMs, ends: this.#watch.find(fingerprint)?.ends ?? 0 }
    this.#trials.set(fingerprint, order)
    return ruling
  }

  /** The endpoints that a ruling leaves for a request; null for all. */
  composeNarrowing (order: Order, ruling: Ruling): Narrowing | null {
    switch (ruling.type) {
      case 'free':
      case 'refused': return null
      case 'suspect': return { key: identifyRequest(order), avoids: ruling.ended, mayUse: () => true }
      case 'sound': return { key: null, avoids: new Set(), mayUse: record => ruling.labels.includes(labelSoftware(record)) }
      case 'trial': return { key: identifyRequest(order), avoids: ruling.ended, mayUse: record => ruling.labels.length === 0 || ruling.labels.includes(labelSoftware(record)) }
    }
  }

  /** False where another send of a request may end one endpoint too many. */
  maySendAgain (order: Order): boolean {
    if (this.#watch.isIdle && this.#broken.size === 0) return true
    const fingerprint = identifyRequest(order)
    if (this.#trials.get(fingerprint) === order) return false
    return this.#countCrashes(fingerprint) < singleSendCrashes && this.#watch.find(fingerprint)?.state !== 'refused'
  }

  /** Notes how a send ended, `ms` after it was sent. */
  noteSendEnd (order: Order, view: EndpointView, evidence: SendEvidence, ms: number): void {
    switch (evidence) {
      case 'answered': return this.#handleAnswered(order, view)
      case 'lost': return this.#handleLost(order, view, ms)
      // Only a new life of it tells whether it has ended.
      case 'broken':
      case 'silent': this.#recordBroken(order, view, ms)
    }
  }

  /** An endpoint says where it is: where something broke at an earlier life there, that life has ended. */
  noteRecord (record: EndpointRecord): void {
    for (const incarnation of this.#broken.values()) {
      if (incarnation.state !== 'ended' && incarnation.runs.size > 0 && isLaterIncarnation(record, incarnation.record)) this.#confirmEnd(incarnation)
    }
  }

  /** A request has its final answer. */
  forget (order: Order): void {
    if (this.#trials.size === 0) return
    const fingerprint = identifyRequest(order)
    if (this.#trials.get(fingerprint) === order) this.#trials.delete(fingerprint)
  }

  /** Takes what a registry tells. Registries tell one another, so that it isn't told on: gateways are many. */
  merge (news: CrashNews): void { this.#logEntries(this.#watch.merge(news, this.#host.now())) }

  /** Everything that is known here, for a registry that may know nothing. */
  list (): CrashNews { return this.#watch.list(this.#host.now()) }

  // The connection over which a request was sent ended under it.
  #handleLost (order: Order, view: EndpointView, ms: number): void {
    const incarnation = this.#recordBroken(order, view, ms)
    if (incarnation === null) return
    if (incarnation.state === 'ended') return this.#reportEnd(incarnation)
    if (this.#host.fleet.hasStartedAgain(view)) return this.#confirmEnd(incarnation)
    incarnation.state = 'probing'
    this.#host.prober.verify(view, isGone => {
      if (isGone) this.#confirmEnd(incarnation)
      else if (incarnation.state === 'probing') incarnation.state = 'unknown'
    })
  }

  #handleAnswered (order: Order, view: EndpointView): void {
    if (this.#watch.isIdle && this.#broken.size === 0) return
    const fingerprint = identifyRequest(order)
    for (const { runs } of this.#broken.values()) runs.delete(fingerprint)
    this.#report(this.#watch.noteAnswered(fingerprint, labelSoftware(view.record), this.#host.now()))
  }

  // Null where the end of the endpoint would tell nothing: one that said it leaves may end.
  #recordBroken (order: Order, view: EndpointView, ms: number): BrokenIncarnation | null {
    const isLeaving = view.record.stage !== 'ready' || this.#host.fleet.findView(view.id) === undefined
    if (isLeaving) return null
    const at = this.#host.now()
    this.#dropExpired(at)
    const known = this.#broken.get(view.id)
    const isSameIncarnation = known !== undefined && known.record.born === view.record.born && !(known.state === 'ended' && at - known.at > crashWindowMs)
    const incarnation: BrokenIncarnation = isSameIncarnation ? known : { record: view.record, at, runs: new Map<Fingerprint, BrokenRun>(), state: 'unknown' }
    incarnation.at = at
    this.#broken.set(view.id, incarnation)
    const fingerprint = identifyRequest(order)
    incarnation.runs.set(fingerprint, { ms, at })
    return incarnation
  }

  #confirmEnd (incarnation: BrokenIncarnation): void {
    if (incarnation.state === 'ended') return
    incarnation.state = 'ended'
    this.#host.metrics.count('endpoint-ended', { service: incarnation.record.service })
    this.#host.log.warn('endpoint-ended', { endpoint: incarnation.record.id, service: incarnation.record.service, born: incarnation.record.born, runs: incarnation.runs.size })
    this.#reportEnd(incarnation)
  }

  // Of the requests that broke there, those that broke last: the others were lost before the endpoint ended.
  #reportEnd ({ record, at: brokeAt, runs }: BrokenIncarnation): void {
    const now = this.#host.now()
    const { id, born, service, software } = record
    const reportedRuns = [...runs].filter(([, { at }]) => brokeAt - at <= crashWindowMs).map(([fingerprint, { ms }]) => [fingerprint, Math.round(ms)] as const)
    this.#report(this.#watch.merge({ ends: [{ endpoint: id, born, service, software, ageMs: now - brokeAt, runs: reportedRuns }], entries: [] }, now))
  }

  #logEntries ({ entries }: CrashNews): void {
    for (const entry of entries) {
      this.#host.metrics.count('quarantine', { state: entry.state })
      this.#host.log.warn('quarantine', describeEntry(entry))
    }
  }

  #report (news: CrashNews): void {
    this.#logEntries(news)
    if (news.ends.length > 0 || news.entries.length > 0) this.#pendingReports.add(news)
  }

  // Ends that are confirmed, and those that are likely.
  #countCrashes (fingerprint: Fingerprint): number {
    const likely = [...this.#broken.values()].filter(({ state, runs }) => state === 'probing' && runs.has(fingerprint)).length
    return this.#watch.countEnds(fingerprint) + likely
  }

  #dropExpired (at: number): void {
    for (const [id, incarnation] of this.#broken) if (at - incarnation.at > brokenRetentionMs || this.#broken.size > maxBroken) this.#broken.delete(id)
  }
}

// True for a new start at the same address, or under the same id.
function isLaterIncarnation (record: EndpointRecord, earlier: EndpointRecord): boolean {
  if (record.stage !== 'ready') return false
  if (record.id === earlier.id) return record.born > earlier.born
  return record.host === earlier.host && record.port === earlier.port
}
