/** Whether a request is refused at once because too much waits before it, and when it had better come back. */

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

/**
 * When a request had better come back, ms; null where it is taken. `waitMs`: expected wait
 * before an engine begins with it; `ownMs`: what an engine then takes to its first event.
 */
export function chooseReturn (waitMs: number, ownMs: number, targetMs: number): number | null {
  if (waitMs <= Math.max(targetMs - ownMs, targetMs * leastWaitShare)) return null
  return Math.min(mostReturnMs, Math.max(leastReturnMs, waitMs + ownMs))
}
