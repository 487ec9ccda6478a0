/**
 * Decides whether a request is admitted, or refused immediately because the backlog ahead of it is too long, and
 * when a refused request should be retried. Decisions carry their inputs for the log.
 */
import type { AdmissionCredits } from './admission-credits.js'
import type { EndpointView } from './endpoint-view.js'
import { rateWindowMs } from './kind-tracker.js'
import type { WorkspaceShare } from './workspace-shares.js'

/** Backlog ahead of a request, in prompt tokens of requests that are served before it, and the rate at which it is read. */
export interface Backlog {
  /** At engines, sent by this box. */
  readonly ownTokens: number
  /** At engines, sent by other boxes, as last reported. */
  readonly otherTokens: number
  /** Queued in boxes, including this one. */
  readonly queuedTokens: number
  /** At engines, of less urgent kinds. */
  readonly lessUrgentTokens: number
  /** Number of engines that read the backlog, and their total rate in tokens/ms. */
  readonly engines: number
  readonly rate: number
}

/** An admission decision and its inputs. Times in ms. */
export interface Admission {
  readonly backlog: Backlog
  /** Ratio of the actual to the expected time to first event. */
  readonly lateness: number
  /** Expected wait until an engine starts the request. */
  readonly waitMs: number
  /** Time from then until the first event. */
  readonly ownReadingMs: number
  /** Longest wait with which the request is admitted. */
  readonly allowedMs: number
  /** Time since a less urgent request was last sent to or waiting at an engine; Infinity if none was. */
  readonly sinceLessUrgentMs: number
  /** Fraction of its kind's requests that is admitted; 1 if the kind is not limited. */
  readonly share: number
  /** Time after which the request should be retried; null if it is admitted. */
  readonly retryAfterMs: number | null
  /** The share of the request's workspace; absent while shares do not apply. */
  readonly workspaceShare?: WorkspaceShare
  /** True if the request's workspace is over its share and the request was therefore not sure to be admitted. */
  readonly isOverShare?: boolean
}

/** Inputs of an admission decision. */
export interface AdmissionInput {
  readonly backlog: Backlog
  readonly lateness: number
  /** Time that an engine takes for the request alone, not adjusted for lateness, ms. */
  readonly readingMs: number
  readonly targetMs: number
  /** Time since a less urgent request was last sent to or waiting at an engine, ms. */
  readonly sinceLessUrgentMs: number
  /** Arrival rate of more urgent kinds at the same engines, tokens/ms. Engines read these first, including later arrivals. */
  readonly urgentRate: number
  /** Longest target of any less urgent kind, ms; 0 if none is known. */
  readonly maxLessUrgentTargetMs: number
}

/**
 * A request is admitted if its first event is expected within its target. A longer queue would make every request
 * behind it late as well: under sustained overload, nobody is served in time. A request whose own read time takes
 * most of its target may still wait for this fraction of the target, so that no request is refused for its size
 * alone.
 */
const minWaitShare = 0.5
/** Lower bound on the share of the reading rate that more urgent kinds are assumed to leave. */
const minRemainingShare = 0.2
/** Longest wait of a request that is never queued and whose kind is limited, as a fraction of the longest with which it is in time. */
const maxImmediateWaitShare = 0.85
/** Bounds on retry delays, ms. Below the minimum, the backlog has not changed; bursts last a few seconds. */
const minRetryAfterMs = 300
const maxRetryAfterMs = 5000
/**
 * If a less urgent request was sent to an engine within this time, ms, a more urgent one may wait as long as the
 * less urgent kinds' longest target: the engine time given to the less urgent request could have served the more
 * urgent one. At worst, the more urgent one is late.
 */
const lessUrgentWindowMs = 5000
/** Upper bound on that wait, as a multiple of the request's own target: callers give up after about four. */
const maxTargetMultiple = 5

export function decideAdmission ({ backlog, lateness, readingMs, targetMs, sinceLessUrgentMs, urgentRate, maxLessUrgentTargetMs }: AdmissionInput): Admission {
  const waitMs = estimateWaitMs(backlog, lateness) / computeRemainingShare(backlog, urgentRate)
  const ownReadingMs = readingMs * Math.max(1, lateness)
  const inTimeMs = Math.max(targetMs - ownReadingMs, targetMs * minWaitShare)
  const allowedMs = sinceLessUrgentMs < lessUrgentWindowMs ? Math.max(inTimeMs, Math.min(maxLessUrgentTargetMs, targetMs * maxTargetMultiple)) : inTimeMs
  const retryAfterMs = waitMs <= allowedMs ? null : Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs + ownReadingMs))
  return { backlog, lateness, waitMs, ownReadingMs, allowedMs, sinceLessUrgentMs, share: 1, retryAfterMs }
}

/** Inputs of an admission decision on a request that is never queued. */
export interface ImmediateAdmissionInput {
  readonly backlog: Backlog
  readonly lateness: number
  /** Expected time until the first engine can begin with it, not adjusted for lateness, ms. */
  readonly engineWaitMs: number
  readonly readingMs: number
  readonly targetMs: number
  /** Fraction of its kind that the engines can read beside the other kinds. */
  readonly share: number
  readonly credits: AdmissionCredits
  readonly level: number
}

/**
 * Decides whether to admit a request that is never queued, when engines are congested for it. All requests of a kind that fits
 * beside the others are admitted; of any other kind, the given share, and none whose expected wait exceeds the limit.
 */
export function decideImmediateAdmission ({ backlog, lateness, engineWaitMs, readingMs, targetMs, share, credits, level }: ImmediateAdmissionInput): Admission {
  const waitMs = engineWaitMs * Math.max(1, lateness)
  const ownReadingMs = readingMs * Math.max(1, lateness)
  const allowedMs = Math.max(targetMs - ownReadingMs, targetMs * minWaitShare) * maxImmediateWaitShare
  const admittedShare = share >= 1 || waitMs <= allowedMs ? share : 0
  const retryAfterMs = admittedShare >= 1 || credits.tryConsume(level, admittedShare) ? null : computeRetryAfterMs(share, waitMs + ownReadingMs)
  return { backlog, lateness, waitMs, ownReadingMs, allowedMs, sinceLessUrgentMs: Infinity, share: admittedShare, retryAfterMs }
}

/** Restricts admission to a share of a kind's requests, counted over those that would otherwise be admitted. */
export function limitAdmission (admission: Admission, share: number, credits: AdmissionCredits, level: number): Admission {
  if (admission.retryAfterMs !== null || share >= 1) return admission
  return { ...admission, share, retryAfterMs: credits.tryConsume(level, share) ? null : computeRetryAfterMs(share, admission.waitMs + admission.ownReadingMs) }
}

// At least the time that the engines need to read the excess that arrives within one rate window, within the bounds on retry delays.
function computeRetryAfterMs (share: number, waitMs: number): number {
  const excessRatio = share > 0 ? 1 / share - 1 : Infinity
  return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs, excessRatio * rateWindowMs))
}

/** True if a request was refused because its workspace is over its share. */
export function isRefusedByShare ({ retryAfterMs, isOverShare = false }: Admission): boolean { return retryAfterMs !== null && isOverShare }

/** True if requests of a kind wait so long that most of them are late; less urgent requests are then queued. */
export function isOverloaded (backlog: Backlog, lateness: number, targetMs: number): boolean {
  return estimateWaitMs(backlog, lateness) > targetMs * minWaitShare
}

// Without engines there is no backlog, and the wait is zero.
function computeRemainingShare ({ rate }: Backlog, urgentRate: number): number {
  return rate === 0 ? 1 : Math.max(minRemainingShare, 1 - urgentRate / rate)
}

function estimateWaitMs ({ ownTokens, otherTokens, queuedTokens, rate }: Backlog, lateness: number): number {
  return rate === 0 ? 0 : (ownTokens + otherTokens + queuedTokens) / rate * Math.max(1, lateness)
}

/**
 * Measures the backlog ahead of a request of `priority` at some engines. `lowest`: the least urgent priority of
 * its kind; `queuedTokens`: tokens of requests ahead of it that are queued in boxes.
 */
export function measureBacklog (engines: readonly EndpointView[], queuedTokens: number, priority: number, lowest: number, at: number): Backlog {
  let ownTokens = 0
  let otherTokens = 0
  let lessUrgentTokens = 0
  let rate = 0
  for (const view of engines) {
    const before = view.countBacklog(priority, at)
    ownTokens += before.own
    otherTokens += before.others
    lessUrgentTokens += lowest === priority ? before.lessUrgent : view.countBacklog(lowest, at).lessUrgent
    rate += 1 / view.readMsPerToken
  }
  return { ownTokens, otherTokens, queuedTokens, lessUrgentTokens, engines: engines.length, rate }
}
