/**
 * Whether a request is let in, or refused at once because too much waits before
 * it, and when it had better come back. What decided it is kept for the log.
 */
import type { EndpointView } from './endpoint-view.js'

/** What waits before a request and how fast it is read. Prompt tokens, of requests that go before it. */
export interface Backlog {
  /** At engines, sent by this box. */
  readonly ownTokens: number
  /** At engines, sent by the other boxes, as last told. */
  readonly otherTokens: number
  /** Held in boxes, this one included. */
  readonly heldTokens: number
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
  /** When the request had better come back; null where it is let in. */
  readonly returnMs: number | null
}

/** What a decision rests on. */
export interface AdmissionCase {
  readonly backlog: Backlog
  readonly lateness: number
  /** Time of an engine on the request alone, as expected of one on time, ms. */
  readonly readingMs: number
  readonly targetMs: number
}

/**
 * A request may wait so long that its first event is still in time. Serving more than
 * that late would make those behind late as well: where more comes than can be read, a
 * line that may grow past the target serves nobody in time. One that takes most of its
 * target, or more, by its own size may wait for this part of the target all the same:
 * no size is refused for itself.
 */
const leastWaitShare = 0.5
/** Times to come back, ms: sooner, nothing has changed; a burst lasts some seconds. */
const leastReturnMs = 300
const mostReturnMs = 5000

/** Decides whether a request is let in. */
export function decideAdmission ({ backlog, lateness, readingMs, targetMs }: AdmissionCase): Admission {
  const late = Math.max(1, lateness)
  const tokens = backlog.ownTokens + backlog.otherTokens + backlog.heldTokens
  const waitMs = backlog.rate === 0 ? 0 : tokens / backlog.rate * late
  const ownMs = readingMs * late
  const allowedMs = Math.max(targetMs - ownMs, targetMs * leastWaitShare)
  const returnMs = waitMs <= allowedMs ? null : Math.min(mostReturnMs, Math.max(leastReturnMs, waitMs + ownMs))
  return { backlog, lateness, waitMs, ownMs, allowedMs, returnMs }
}

/** Measures what goes before a request of `priority` at some engines; `heldTokens`: of those that are held in boxes. */
export function measureBacklog (engines: readonly EndpointView[], heldTokens: number, priority: number, at: number): Backlog {
  let ownTokens = 0
  let otherTokens = 0
  let rate = 0
  for (const view of engines) {
    const before = view.countBefore(priority, at)
    ownTokens += before.own
    otherTokens += before.others
    rate += 1 / view.paceMs
  }
  return { ownTokens, otherTokens, heldTokens, engines: engines.length, rate }
}
