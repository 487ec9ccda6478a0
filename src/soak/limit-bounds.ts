/** Required bounds on the requests that an endpoint gets after it has given a notice on its answers. */

/** Time after such an answer from which a box must follow the notice, ms. */
export const noticeReactionMs = 500
/** A limit is checked from this time after its first notice, ms. */
export const settleMs = 3000
/** Length of the windows over which a limit is checked, ms. */
export const windowMs = 4000
/** A window may contain `maxFactor` times the requests that the limit allows on average, plus `extraRequests`. */
const maxFactor = 1.5
const extraRequests = 5
/** Maximum number of requests from a box during its back-off. */
export const maxInBackoff = 2
/** Time after the first answer that announces an endpoint's leaving from which the endpoint must get no requests, ms. */
export const drainMs = 2000

/** Number of requests that a limit, in requests/s, allows in any window of `windowMs`. */
export function countAllowed (limit: number): number {
  return Math.floor(maxFactor * limit * windowMs / 1000 + extraRequests)
}

/** Maximum number of arrivals in any window of `ms` that ends at an arrival between `from` and `until`. */
export function countMaxInWindow (arrivals: readonly number[], ms: number, from: number, until = Infinity): number {
  const windowEnds = arrivals.filter(at => at >= from && at <= until)
  return Math.max(0, ...windowEnds.map(end => arrivals.filter(at => at > end - ms && at <= end).length))
}
