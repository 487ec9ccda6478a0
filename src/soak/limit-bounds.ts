/** The users' bounds on what an endpoint gets after it has said something of itself on its answers. */

/** A box counts as told so long after such an answer, ms. */
export const toldMs = 500
/** A limit is judged from so long after it was first named, over windows of this length, ms. */
export const settleMs = 3000
export const windowMs = 4000
const maxFactor = 1.5
const extraRequests = 5
/** Requests from a box while it is to back off. */
export const mostInBackoff = 2
/** An endpoint that said on an answer that it leaves gets nothing so long after, ms. */
export const drainMs = 2000

/** Requests that a limit, in requests a second, allows in any window. */
export function countAllowed (limit: number): number {
  return Math.floor(maxFactor * limit * windowMs / 1000 + extraRequests)
}

/** The most arrivals in any window of `ms` that ends at an arrival between two times. */
export function countMost (arrivals: readonly number[], ms: number, from: number, until = Infinity): number {
  const windowEnds = arrivals.filter(at => at >= from && at <= until)
  return Math.max(0, ...windowEnds.map(end => arrivals.filter(at => at > end - ms && at <= end).length))
}
