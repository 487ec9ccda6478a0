/** Which answers and events of an endpoint are overdue. */
import type { PlacedRequest } from './placed-request.js'

/** A request whose answer takes longer than this multiple of the expected time plus the margin, ms, indicates that its endpoint hangs. */
const overdueRatio = 3
const overdueMarginMs = 300
/** Streams emit an event every few tens of ms; an endpoint from which none of several streams has received an event for this long hangs, ms. */
const streamSilenceMs = 500

/** Time by which the answer to a request is overdue, ms; negative if it isn't. `expectedMs`: usual time from sending it to its answer. */
export function measureDelay ({ sentAt }: PlacedRequest, expectedMs: number, at: number): number {
  return at - sentAt - limitDelay(expectedMs)
}

/** The time after which an answer that usually takes `expectedMs` is overdue, ms. */
export function limitDelay (expectedMs: number): number { return overdueRatio * expectedMs + overdueMarginMs }

/** A stream counts as stalled after a silence of this many times the pause that its route allows, and at least `minStallMs`. */
const stallPauses = 4
const minStallMs = 600
/** An endpoint that is silent for longer is taken for hung if another one answers, ms: sound ones pause for a few seconds at most. */
export const hungMs = 4000
/** An endpoint that has sent anything within this time is answering, ms: half of the shortest silence that counts. */
export const recentMs = minStallMs / 2

/** The silence after which a stream counts as stalled, ms; `pauseMs`: the pause that its route allows. */
export function limitSilence (pauseMs: number | null): number { return Math.max(minStallMs, stallPauses * (pauseMs ?? 0)) }

/** True if an answer is overdue, or a stream has stalled. */
export function isAnyDue (requests: Iterable<PlacedRequest>, isOverdue: (placed: PlacedRequest) => boolean, at: number): boolean {
  for (const placed of requests) {
    const { firstAt, lastEventAt, work: { pauseMs } } = placed
    if (firstAt === null ? isOverdue(placed) : pauseMs !== null && at - lastEventAt > limitSilence(pauseMs)) return true
  }
  return false
}

/** Time by which an answer or event to any of an endpoint's requests is overdue, ms; 0 if none is. */
export function measureOverdue (requests: Iterable<PlacedRequest>, estimateMs: (placed: PlacedRequest) => number, at: number): number {
  let overdue = 0
  let started = 0
  let lastEventAt = -Infinity
  for (const placed of requests) {
    if (placed.firstAt !== null && placed.work.cost !== null) {
      started += 1
      lastEventAt = Math.max(lastEventAt, placed.lastEventAt)
    } else if (placed.firstAt === null) {
      overdue = Math.max(overdue, measureDelay(placed, estimateMs(placed), at))
    }
  }
  if (started > 1) overdue = Math.max(overdue, at - lastEventAt - streamSilenceMs)
  return overdue
}

/** Time since the oldest unanswered one was sent, ms; 0 for none. */
export function measureLongest (requests: Iterable<PlacedRequest>, at: number): number {
  let longestMs = 0
  for (const { firstAt, sentAt } of requests) if (firstAt === null) longestMs = Math.max(longestMs, at - sentAt)
  return longestMs
}
