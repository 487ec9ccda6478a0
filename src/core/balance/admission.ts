/**
 * Whether a request is let in, or refused at once because too much waits before
 * it, and when it had better come back. What decided it is kept for the log.
 */
import type { AdmissionCredits } from './admission-credits.js'
import type { EndpointView } from './endpoint-view.js'
import { rateWindowMs } from './kind-tracker.js'

/** What waits before a request and how fast it is read. Prompt tokens, of requests that go before it. */
export interface Backlog {
  /** At engines, sent by this box. */
  readonly ownTokens: number
  /** At engines, sent by the other boxes, as last told. */
  readonly otherTokens: number
  /** Held in boxes, this one included. */
  readonly heldTokens: number
  /** At engines, of less urgent kinds. */
  readonly lessTokens: number
  /** Engines that read them, and their rates together, tokens/ms. */
  readonly engines: number
  readonly rate: number
}

/** A decision with what decided it. Times in ms. */
export interface Admission {
  readonly backlog: Backlog
  /** How many times longer first events took than was expected. */
  readonly lateness: number
  /** Expected wait before an engine begins with the request. */
  readonly waitMs: number
  /** What an engine then takes to its first event. */
  readonly ownMs: number
  /** The longest wait with which it is let in. */
  readonly allowedMs: number
  /** Since a less urgent request last began; Infinity where none did. */
  readonly sinceLessMs: number
  /** Fraction of its kind's requests that is admitted; 1 if the kind is not limited. */
  readonly share: number
  /** When the request had better come back; null where it is let in. */
  readonly returnMs: number | null
}

/** What a decision rests on. */
export interface AdmissionInput {
  readonly backlog: Backlog
  readonly lateness: number
  /** Time of an engine on the request alone, as expected of one on time, ms. */
  readonly readingMs: number
  readonly targetMs: number
  /** Since a less urgent request last began, ms. */
  readonly sinceLessMs: number
  /** Arrival rate of more urgent kinds at the same engines, tokens/ms. Engines read these first, including later arrivals. */
  readonly urgentRate: number
  /** The longest target of a less urgent kind, ms; 0 where none is known. */
  readonly maxLessUrgentTargetMs: number
}

/**
 * A request may wait so long that its first event is still in time. Serving more than
 * that late would make those behind late as well: where more comes than can be read, a
 * line that may grow past the target serves nobody in time. One that takes most of its
 * target, or more, by its own size may wait for this part of the target all the same:
 * no size is refused for itself.
 */
const minWaitShare = 0.5
/** Lower bound on the share of the reading rate that more urgent kinds are assumed to leave. */
const minRemainingShare = 0.2
/** Longest wait of a request that is never held and whose kind is limited, as a fraction of the longest with which it is in time. */
const maxImmediateWaitShare = 0.85
/** Times to come back, ms: sooner, nothing has changed; a burst lasts some seconds. */
const minRetryAfterMs = 300
const maxRetryAfterMs = 5000
/**
 * For so long after a less urgent request began, one that goes before it may wait as long
 * as that, ms: what the engines gave to the one the other could have had. It is late at worst.
 */
const lessUrgentWindowMs = 5000
/** But no longer than so many of its own targets: callers leave after about four. */
const maxTargetMultiple = 5

/** Decides whether a request is let in. */
export function decideAdmission ({ backlog, lateness, readingMs, targetMs, sinceLessMs, urgentRate, maxLessUrgentTargetMs }: AdmissionInput): Admission {
  const waitMs = estimateWaitMs(backlog, lateness) / computeRemainingShare(backlog, urgentRate)
  const ownMs = readingMs * Math.max(1, lateness)
  const inTimeMs = Math.max(targetMs - ownMs, targetMs * minWaitShare)
  const allowedMs = sinceLessMs < lessUrgentWindowMs ? Math.max(inTimeMs, Math.min(maxLessUrgentTargetMs, targetMs * maxTargetMultiple)) : inTimeMs
  const returnMs = waitMs <= allowedMs ? null : Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs + ownMs))
  return { backlog, lateness, waitMs, ownMs, allowedMs, sinceLessMs, share: 1, returnMs }
}

/** What a decision on a request that is never held rests on. */
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
 * Decides whether to admit a request that is never held, when engines are congested for it. All requests of a kind that fits
 * beside the others are admitted; of any other kind, the given share, and none whose expected wait exceeds the limit.
 */
export function decideImmediateAdmission ({ backlog, lateness, engineWaitMs, readingMs, targetMs, share, credits, level }: ImmediateAdmissionInput): Admission {
  const waitMs = engineWaitMs * Math.max(1, lateness)
  const ownMs = readingMs * Math.max(1, lateness)
  const allowedMs = Math.max(targetMs - ownMs, targetMs * minWaitShare) * maxImmediateWaitShare
  const admittedShare = share >= 1 || waitMs <= allowedMs ? share : 0
  const returnMs = admittedShare >= 1 || credits.tryConsume(level, admittedShare) ? null : computeRetryAfterMs(share, waitMs + ownMs)
  return { backlog, lateness, waitMs, ownMs, allowedMs, sinceLessMs: Infinity, share: admittedShare, returnMs }
}

/** Restricts admission to a share of a kind's requests, counted over those that would otherwise be admitted. */
export function limitAdmission (admission: Admission, share: number, credits: AdmissionCredits, level: number): Admission {
  if (admission.returnMs !== null || share >= 1) return admission
  return { ...admission, share, returnMs: credits.tryConsume(level, share) ? null : computeRetryAfterMs(share, admission.waitMs + admission.ownMs) }
}

// At least the time that the engines need to read the excess that arrives within one rate window, within the bounds on return times.
function computeRetryAfterMs (share: number, waitMs: number): number {
  const excessRatio = share > 0 ? 1 / share - 1 : Infinity
  return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs, excessRatio * rateWindowMs))
}

/** True where requests of a kind wait so long that most of them are late: what is less urgent is then held. */
export function isOverloaded (backlog: Backlog, lateness: number, targetMs: number): boolean {
  return estimateWaitMs(backlog, lateness) > targetMs * minWaitShare
}

// Without an engine nothing waits either.
function computeRemainingShare ({ rate }: Backlog, urgentRate: number): number {
  return rate === 0 ? 1 : Math.max(minRemainingShare, 1 - urgentRate / rate)
}

function estimateWaitMs ({ ownTokens, otherTokens, heldTokens, rate }: Backlog, lateness: number): number {
  return rate === 0 ? 0 : (ownTokens + otherTokens + heldTokens) / rate * Math.max(1, lateness)
}

/**
 * Measures what goes before a request of `priority` at some engines. `lowest`: the least urgent
 * rank of its kind; `heldTokens`: of those that are held in boxes.
 */
export function measureBacklog (engines: readonly EndpointView[], heldTokens: number, priority: number, lowest: number, at: number): Backlog {
  let ownTokens = 0
  let otherTokens = 0
  let lessTokens = 0
  let rate = 0
  for (const view of engines) {
    const before = view.countBefore(priority, at)
    ownTokens += before.own
    otherTokens += before.others
    lessTokens += lowest === priority ? before.behind : view.countBefore(lowest, at).behind
    rate += 1 / view.readMsPerToken
  }
  return { ownTokens, otherTokens, heldTokens, lessTokens, engines: engines.length, rate }
}
