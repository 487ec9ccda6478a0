/** Whether a request is refused at once because too much waits before it, and when it had better come back. */

/** A request whose expected wait exceeds this part of its target, and so much, is refused at once, with a time to come back. */
const refuseShare = 0.8
const leastRefusedMs = 1000
/** Times to come back, ms: a burst lasts some seconds. */
const leastReturnMs = 300
const mostReturnMs = 5000

/** When a request had better come back, ms, that would wait for `waitMs`; null where it is taken. */
export function chooseReturn (waitMs: number, targetMs: number): number | null {
  if (waitMs < Math.max(leastRefusedMs, targetMs * refuseShare)) return null
  return Math.min(mostReturnMs, Math.max(leastReturnMs, waitMs))
}
