import type { EndpointId } from '../ids.js'

/** State that an endpoint announces in its responses, as boxes exchange it. */
export interface EndpointNotice {
  readonly endpoint: EndpointId
  /** Start time of the endpoint process, Unix ms; 0 if not reported. A restart invalidates earlier notices. */
  readonly born: number
  /** Lamport timestamp: higher than that of every notice of the endpoint known to the box that created this one. */
  readonly stamp: number
  /** Rate limit across all boxes, requests per second; null if the endpoint no longer announces one. */
  readonly perSecond: number | null
  /** The endpoint fails if it has to refuse more requests than this within a second; missing where it does not say so. */
  readonly brittle?: number
  /** True once the endpoint has announced that it is shutting down. */
  readonly isLeaving: boolean
}

/** Merges two notices of one endpoint; commutative. */
export function joinNotices (a: EndpointNotice, b: EndpointNotice): EndpointNotice {
  if (a.born !== b.born) return a.born > b.born ? a : b
  const newer = a.stamp > b.stamp || (a.stamp === b.stamp && isStricter(a, b)) ? a : b
  return newer.isLeaving === (a.isLeaving || b.isLeaving) ? newer : { ...newer, isLeaving: true }
}

// Of two concurrent notices, the lower limit wins, then the one of a brittle endpoint.
function isStricter (a: EndpointNotice, b: EndpointNotice): boolean {
  if (a.perSecond !== b.perSecond) return (a.perSecond ?? Infinity) < (b.perSecond ?? Infinity)
  return (a.brittle ?? Infinity) <= (b.brittle ?? Infinity)
}

/** True if two notices of one endpoint are equal. */
export function isSameNotice (a: EndpointNotice, b: EndpointNotice): boolean {
  return a.born === b.born && a.stamp === b.stamp && a.perSecond === b.perSecond && a.brittle === b.brittle && a.isLeaving === b.isLeaving
}
