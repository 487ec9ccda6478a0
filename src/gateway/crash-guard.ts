/**
 * Protects endpoints from requests that crash them. It detects whether an
 * endpoint whose connection broke has crashed, reports to the registries what ran
 * there, and decides whether and where a request may be sent. Decisions use only
 * what this box already knows; no request waits for another box.
 */
import { CrashWatch, SoundParts, describeEntry, isPartKey, crashUpdateDelayMs, mergeCrashUpdates, labelSoftware } from '../core/index.js'
import type { CrashUpdate, EndpointId, EndpointRecord, EndpointView, Fingerprint, Fleet, EndpointFilter, SendDecision } from '../core/index.js'
import { Batcher } from '../runtime/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { EndpointPaths } from './endpoint-paths.js'
import { identifyParts, identifyRequest } from './fingerprint.js'
import type { AdmittedRequest } from './admitted-request.js'

/** What the guard needs from its box. */
export interface GuardHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly fleet: Fleet
  readonly paths: EndpointPaths
  now (): number
  /** Sends to all connected registries. */
  broadcast (update: CrashUpdate): void
}

/**
 * How a send ended: with a complete answer, a complete answer that is an error, a lost connection, one lost in the middle of an
 * answer that came over a relay, an invalid answer, or no answer in time.
 */
export type SendEvidence = 'answered' | 'failed' | 'lost' | 'lost-on-path' | 'broken' | 'silent'

/** What is known of a request, or of a part of its prompt, that restricts where it may be sent. */
interface SubjectDecision {
  readonly subject: Fingerprint
  readonly decision: SendDecision
}

/** Whether a request may be sent, and what restricts where. */
export type GuardDecision = Extract<SendDecision, { type: 'refused' }> | { readonly type: 'allowed', readonly decisions: readonly SubjectDecision[] }

/** A request whose send failed. */
interface BrokenRun {
  /** Time between the send and its failure, ms. */
  readonly ms: number
  readonly at: number
}

/** Requests whose sends failed at one incarnation of an endpoint: one run of its process. */
interface BrokenIncarnation {
  readonly record: EndpointRecord
  /** When the last of them failed. */
  at: number
  readonly runs: Map<Fingerprint, BrokenRun>
  /** `probing`: a probe is under way; `unknown`: the endpoint still listens, or the probe was inconclusive; `ended`: it has crashed. */
  state: 'unknown' | 'probing' | 'ended'
}

/** How long failed sends are remembered, ms: the registration of a new incarnation, which proves that the last one ended, follows within seconds. */
const brokenRetentionMs = 10_000
/** Endpoints for which they are remembered; beyond that the oldest are dropped. */
const maxBroken = 200
/** After this many crashes a request is sent only once per arrival, whatever its route allows: each further send may crash one more endpoint. */
const singleSendCrashes = 2
/** `retry-after` for a request in quarantine while its single trial is running, ms. */
const trialRetryMs = 1000
/**
 * Sends that fail within this time of an endpoint's crash are attributed to it, ms: connections end at once, and a probe takes up to
 * 300 ms. Earlier failures had another cause; later ones belong to the next incarnation.
 */
const crashWindowMs = 1000
const allowAll: GuardDecision = { type: 'allowed', decisions: [] }

export class CrashGuard {
  #host: GuardHost
  #watch: CrashWatch
  #pendingReports: Batcher<CrashUpdate>
  #broken = new Map<EndpointId, BrokenIncarnation>()
  #soundParts = new SoundParts()
  /** Requests in quarantine, or with a part that is, that this gateway is sending once, as a trial. */
  #trials = new Map<Fingerprint, AdmittedRequest>()

  constructor (host: GuardHost) {
    this.#host = host
    this.#watch = new CrashWatch(service => host.fleet.listUsable(service, host.now()).length, (part, service) => this.#soundParts.judge(part, service, host.now()))
    this.#pendingReports = new Batcher(crashUpdateDelayMs, updates => host.broadcast(mergeCrashUpdates(updates)))
  }

  /** Decides whether a request may be sent now, and where: by itself and by each part of its prompt. */
  decide (request: AdmittedRequest): GuardDecision {
    if (this.#watch.isIdle) return allowAll
    const at = this.#host.now()
    const listLabels = (): ReadonlySet<string> => new Set(this.#host.fleet.listUsable(request.service, at).map(({ record }) => labelSoftware(record)))
    const subjects = [identifyRequest(request), ...identifyParts(request).filter(part => this.#watch.find(part) !== undefined)]
    const decisions = subjects.map(subject => ({ subject, decision: this.#watch.decide(subject, listLabels, at) }))
    const refused = decisions.map(({ decision }) => decision).find(decision => decision.type === 'refused')
    if (refused !== undefined) return refused
    const trials = decisions.filter(({ decision }) => decision.type === 'trial').map(({ subject }) => subject)
    const busy = trials.find(subject => (this.#trials.get(subject) ?? request) !== request)
    if (busy !== undefined) return { type: 'refused', retryAfterMs: trialRetryMs, ends: this.#watch.find(busy)?.ends ?? 0 }
    for (const subject of trials) this.#trials.set(subject, request)
    return { type: 'allowed', decisions: decisions.filter(({ decision }) => decision.type !== 'free') }
  }

  /** True if endpoints may have crashed while running the request, or others with a part of its prompt. Claims no trial, unlike `decide`. */
  isSuspect (request: AdmittedRequest): boolean {
    if (this.#watch.isIdle) return false
    if (this.#watch.decide(identifyRequest(request), () => new Set(), this.#host.now()).type !== 'free') return true
    return identifyParts(request).some(part => this.#watch.countCrashes(part) > 0 || this.#watch.find(part)?.state === 'refused')
  }

  /** The endpoints that a decision allows; null for all. */
  composeFilter (decision: GuardDecision): EndpointFilter | null {
    if (decision.type === 'refused') return null
    const filters = decision.decisions.map(one => composeSubjectFilter(one, this.#listStillRunning(one.subject))).filter(filter => filter !== null)
    if (filters.length <= 1) return filters[0] ?? null
    return {
      key: filters.map(({ key }) => key).find(key => key !== null) ?? null,
      avoided: new Set(filters.flatMap(({ avoided }) => [...avoided])),
      mayUse: record => filters.every(filter => filter.mayUse(record))
    }
  }

  /** False if a retry of the request risks crashing another endpoint. */
  maySendAgain (request: AdmittedRequest): boolean {
    if (this.#watch.isIdle && this.#broken.size === 0) return true
    const fingerprint = identifyRequest(request)
    const subjects = [fingerprint, ...identifyParts(request)]
    return subjects.every(subject => this.#trials.get(subject) !== request && this.#countCrashes(subject) < singleSendCrashes && this.#watch.find(subject)?.state !== 'refused')
  }

  /** Notes how a send ended, `ms` after it was sent. */
  noteSendEnd (request: AdmittedRequest, view: EndpointView, evidence: SendEvidence, ms: number): void {
    switch (evidence) {
      case 'answered':
        this.#handleAnswered(request, view)
        return this.#notePartsAnswered(request, view)
      // An error may have been answered before anything was written.
      case 'failed': return this.#handleAnswered(request, view)
      case 'lost': return this.#handleLost(request, view, ms, true)
      // The relay may have ended rather than the endpoint.
      case 'lost-on-path': return this.#handleLost(request, view, ms, false)
      // These don't show whether the endpoint has crashed; only a new incarnation of it does.
      case 'broken':
      case 'silent': this.#recordBroken(request, view, ms)
    }
  }

  /** Handles an endpoint's registration: it proves that earlier incarnations at which sends failed have ended. */
  noteRecord (record: EndpointRecord): void {
    for (const incarnation of this.#broken.values()) {
      if (incarnation.state !== 'ended' && incarnation.runs.size > 0 && isLaterIncarnation(record, incarnation.record)) this.#confirmEnd(incarnation)
    }
  }

  /** Forgets a request that has its final answer. */
  forget (request: AdmittedRequest): void {
    if (this.#trials.size === 0) return
    for (const [subject, trial] of this.#trials) if (trial === request) this.#trials.delete(subject)
  }

  /** Merges what a registry reports. It is not forwarded: registries inform one another, and there are many gateways. */
  merge (update: CrashUpdate): void {
    const at = this.#host.now()
    this.#logEntries(this.#watch.merge(update, at))
    this.#clearSoundParts(update, at)
  }

  /** Everything known here, for a registry that may know nothing. */
  list (): CrashUpdate { return this.#watch.list(this.#host.now()) }

  // The connection ended before the answer was complete. `isLikely`: this counts as a crash until the probe shows otherwise.
  #handleLost (request: AdmittedRequest, view: EndpointView, ms: number, isLikely: boolean): void {
    const incarnation = this.#recordBroken(request, view, ms)
    if (incarnation === null) return
    if (incarnation.state === 'ended') return this.#reportEnd(incarnation)
    if (this.#host.fleet.isReplaced(view)) return this.#confirmEnd(incarnation)
    if (isLikely) incarnation.state = 'probing'
    this.#host.paths.verify(view, isGone => {
      if (isGone) this.#confirmEnd(incarnation)
      else if (incarnation.state === 'probing') incarnation.state = 'unknown'
    })
  }

  #handleAnswered (request: AdmittedRequest, view: EndpointView): void {
    if (this.#watch.isIdle && this.#broken.size === 0) return
    const fingerprint = identifyRequest(request)
    for (const { runs } of this.#broken.values()) runs.delete(fingerprint)
    this.#report(this.#watch.noteAnswered(fingerprint, labelSoftware(view.record), this.#host.now()))
  }

  #notePartsAnswered (request: AdmittedRequest, view: EndpointView): void {
    const at = this.#host.now()
    const label = labelSoftware(view.record)
    this.#soundParts.noteAnswered(identifyParts(request), view.record.service, label, at)
    for (const part of identifyParts(request)) {
      for (const { record, runs } of this.#broken.values()) if (labelSoftware(record) === label) runs.delete(part)
      if (!this.#watch.isIdle) this.#report(this.#watch.noteAnswered(part, label, at))
    }
  }

  // Another box may have seen no answer with a part that was answered here.
  #clearSoundParts ({ ends }: CrashUpdate, at: number): void {
    for (const crash of ends) {
      const label = labelSoftware(crash)
      for (const [key, ms] of crash.runs) {
        if (ms !== null && isPartKey(key) && this.#soundParts.has(key, label, at)) this.#report(this.#watch.noteAnswered(key, label, at))
      }
    }
  }

  // Returns null for endpoints that are draining or gone: their termination is expected and proves nothing.
  #recordBroken (request: AdmittedRequest, view: EndpointView, ms: number): BrokenIncarnation | null {
    const isLeaving = view.record.stage !== 'ready' || this.#host.fleet.findView(view.id) === undefined
    if (isLeaving) return null
    const at = this.#host.now()
    this.#dropExpired(at)
    const known = this.#broken.get(view.id)
    const isSameIncarnation = known !== undefined && known.record.born === view.record.born && !(known.state === 'ended' && at - known.at > crashWindowMs)
    const incarnation: BrokenIncarnation = isSameIncarnation ? known : { record: view.record, at, runs: new Map<Fingerprint, BrokenRun>(), state: 'unknown' }
    incarnation.at = at
    this.#broken.set(view.id, incarnation)
    incarnation.runs.set(identifyRequest(request), { ms, at })
    for (const part of identifyParts(request)) {
      const known = incarnation.runs.get(part)
      if (!this.#soundParts.has(part, labelSoftware(view.record), at)) incarnation.runs.set(part, { ms: Math.max(ms, known?.ms ?? 0), at })
    }
    return incarnation
  }

  #confirmEnd (incarnation: BrokenIncarnation): void {
    if (incarnation.state === 'ended') return
    incarnation.state = 'ended'
    this.#host.metrics.count('endpoint-ended', { service: incarnation.record.service })
    this.#host.log.warn('endpoint-ended', { endpoint: incarnation.record.id, service: incarnation.record.service, born: incarnation.record.born, runs: incarnation.runs.size })
    this.#reportEnd(incarnation)
  }

  // Reports only the requests that failed last: the others failed before the endpoint crashed.
  #reportEnd ({ record, at: brokeAt, runs }: BrokenIncarnation): void {
    const now = this.#host.now()
    const { id, born, service, software } = record
    const reportedRuns = [...runs].filter(([, { at }]) => brokeAt - at <= crashWindowMs).map(([fingerprint, { ms }]) => [fingerprint, Math.round(ms)] as const)
    this.#report(this.#watch.merge({ ends: [{ endpoint: id, born, service, software, ageMs: now - brokeAt, runs: reportedRuns }], entries: [] }, now))
  }

  #logEntries ({ entries }: CrashUpdate): void {
    for (const entry of entries) {
      this.#host.metrics.count('quarantine', { state: entry.state })
      this.#host.log.warn('quarantine', describeEntry(entry))
    }
  }

  #report (update: CrashUpdate): void {
    this.#logEntries(update)
    if (update.ends.length > 0 || update.entries.length > 0) this.#pendingReports.add(update)
  }

  // Counts confirmed crashes, and endpoints that are still being probed.
  #countCrashes (fingerprint: Fingerprint): number {
    const likely = [...this.#broken.values()].filter(({ state, runs }) => state === 'probing' && runs.has(fingerprint)).length
    return this.#watch.countCrashes(fingerprint) + likely
  }

  // Endpoints where sends of a request failed lately although they have not crashed.
  #listStillRunning (subject: Fingerprint): EndpointId[] {
    const from = this.#host.now() - brokenRetentionMs
    return [...this.#broken].filter(([, { state, at, runs }]) => state === 'unknown' && at >= from && runs.has(subject)).map(([id]) => id)
  }

  #dropExpired (at: number): void {
    for (const [id, incarnation] of this.#broken) if (at - incarnation.at > brokenRetentionMs || this.#broken.size > maxBroken) this.#broken.delete(id)
  }
}

// `failed`: endpoints that are avoided as well as those that crashed: the request would be sent to the same one each time.
function composeSubjectFilter ({ subject, decision }: SubjectDecision, failed: readonly EndpointId[]): EndpointFilter | null {
  switch (decision.type) {
    case 'free':
    case 'refused': return null
    case 'suspect': return isPartKey(subject) ? null : { key: subject, avoided: new Set([...decision.ended, ...failed]), mayUse: () => true }
    case 'sound': return { key: null, avoided: new Set(), mayUse: record => decision.labels.includes(labelSoftware(record)) }
    case 'trial': return { key: subject, avoided: new Set([...decision.ended, ...failed]), mayUse: record => decision.labels.length === 0 || decision.labels.includes(labelSoftware(record)) }
  }
}

// True if the endpoint was restarted, under the same id or at the same address.
function isLaterIncarnation (record: EndpointRecord, earlier: EndpointRecord): boolean {
  if (record.stage !== 'ready') return false
  if (record.id === earlier.id) return record.born > earlier.born
  return record.host === earlier.host && record.port === earlier.port
}
