/**
 * How requests fared at an endpoint recently, over all boxes.
 *
 * The load that this answers: some engines reset nearly every request for 6 s, although they accept connections and
 * pass their health checks. Each of 77 boxes finds that out alone, from one to three requests of its own, so that four
 * engines break 200 requests, of which those that may not be retried are lost.
 */
import type { EndpointId } from '../ids.js'
import { RateMeter } from './rate-meter.js'

/** Requests that got an answer, or its first event, and requests whose connection broke. */
export interface Outcomes {
  readonly good: number
  readonly broken: number
}

/** No request. */
const noOutcomes: Outcomes = { good: 0, broken: 0 }

/** Outcomes by endpoint, as boxes report them with the demand for a service. */
export type OutcomeCounts = readonly (readonly [endpoint: EndpointId, good: number, broken: number])[]

/** Time over which outcomes are counted, ms: endpoints that crash or reset connections usually do so for 2 to 6 s. */
const windowMs = 4000
/** An endpoint is avoided by all boxes if at least this many requests broke there, and at least this fraction of them: answers that are lost at random break fewer. */
const minBroken = 3
const minBrokenShare = 0.6

export class RecentOutcomes {
  #good = new RateMeter(windowMs)
  #broken = new RateMeter(windowMs)

  noteGood (at: number): void { this.#good.add(at, 1) }
  noteBroken (at: number): void { this.#broken.add(at, 1) }

  count (at: number): Outcomes {
    return { good: Math.round(this.#good.rate(at) * windowMs / 1000), broken: Math.round(this.#broken.rate(at) * windowMs / 1000) }
  }
}

/** True if most requests of this box and the others broke. */
export function isBroken (own: Outcomes, others: Outcomes): boolean {
  const broken = own.broken + others.broken
  return broken >= minBroken && broken >= (broken + own.good + others.good) * minBrokenShare
}

/** The field of a service's demand; left out where no request broke. */
export function composeOutcomes (views: readonly { readonly id: EndpointId, readonly outcomes: RecentOutcomes }[], at: number): { outcomes?: OutcomeCounts } {
  const counts = views.map(view => ({ id: view.id, ...view.outcomes.count(at) })).filter(({ broken }) => broken > 0)
  return counts.length === 0 ? {} : { outcomes: counts.map(({ id, good, broken }) => [id, good, broken] as const) }
}

/** Adds or, with `sign` -1, subtracts; endpoints where no request broke are omitted. */
export function addOutcomes (sum: OutcomeCounts | undefined, more: OutcomeCounts | undefined, sign: 1 | -1): { outcomes?: OutcomeCounts } {
  if (sum === undefined && more === undefined) return {}
  const counts = new Map((sum ?? []).map(one => [one[0], one]))
  for (const [endpoint, good, broken] of more ?? []) {
    const known = counts.get(endpoint)
    counts.set(endpoint, [endpoint, Math.max(0, (known?.[1] ?? 0) + sign * good), (known?.[2] ?? 0) + sign * broken])
  }
  return { outcomes: [...counts.values()].filter(([, , broken]) => broken > 0) }
}

/** Sets what the other boxes report of the endpoints. */
export function applyOutcomes (views: Iterable<{ readonly id: EndpointId, noteOtherOutcomes (outcomes: Outcomes): void }>, demands: readonly { readonly outcomes?: OutcomeCounts }[]): void {
  const reported = new Map(demands.flatMap(({ outcomes = [] }) => outcomes.map(([endpoint, good, broken]) => [endpoint, { good, broken }] as const)))
  for (const view of views) view.noteOtherOutcomes(reported.get(view.id) ?? noOutcomes)
}
