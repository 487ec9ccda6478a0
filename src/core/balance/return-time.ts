/** Whether a request is refused at once because too much waits before it, and when it had better come back. */

/**
 * A request whose first event is expected after this part of its target is
 * refused at once. Serving it late would make those behind it late as well: where
 * more comes than can be read, a line that may grow past the target serves nobody in time.
 */
const refuseShare = 1
/** Times to come back, ms: sooner, nothing has changed; a burst lasts some seconds. */
const leastReturnMs = 300
const mostReturnMs = 5000

/** When a request had better come back, ms, whose first event is expected in `expectedMs`; null where it is taken. */
export function chooseReturn (expectedMs: number, targetMs: number): number | null {
  if (expectedMs <= targetMs * refuseShare) return null
  return Math.min(mostReturnMs, Math.max(leastReturnMs, expectedMs))
}
