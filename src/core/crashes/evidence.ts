/**
 * How strongly the ends of endpoints speak against one request: how unlikely it
 * would be to have been at all of them by chance. A run of 50 ms that meets an
 * end at a time when each endpoint ends once a minute says much; one of five
 * seconds, or one beside a rack that fails, says little. Ends at which the
 * request did not run tell how often endpoints end without it.
 */
import type { Fingerprint } from '../ids.js'
import { isUnder } from './end-book.js'
import type { KnownEnd } from './end-book.js'

/** What is held against a request. */
export interface Evidence {
  /** Ends of endpoints under it. */
  readonly ends: number
  /** How unlikely they are by chance, as a natural logarithm. */
  readonly weight: number
  /** True where its endpoints end for its sake. */
  readonly isHarmful: boolean
}

/** So many ends at least: two may be a rack, or one bad endpoint and its restart. */
const leastEnds = 3
/** Chance of e^-12, six in a million: of a thousand requests beside failing endpoints that come again, none is taken for harmful. */
const leastWeight = 12
/** One end alone counts for no more than this, so that no single coincidence decides. */
const mostWeight = 6
/** How often an endpoint is taken to end where no other end is known, in each ms: once a minute, far above what endpoints do. */
const leastRate = 1 / 60_000
/** Over these times around an end others are counted, ms: a rack, a roll-out, and everything that is kept. */
const spansMs = [1000, 10_000, 600_000]
/** A run that is shorter counts as so long, ms: times are no more exact than that. */
const leastMs = 5
/** With so many ends a request is held harmful though another has been at all of them as well, and with less weight: it was answered nowhere in between. */
const manyEnds = 6
/** Chance of e^-8, three in ten thousand, of a request that has met so many ends already: one that waits for seconds at busy endpoints gains little weight with each. */
const weightOfMany = 8

/** Weighs what is known against a request. `countEndpoints`: how many of its service may be used; asked only where enough ends are known. */
export function weighEvidence (fingerprint: Fingerprint, ends: readonly KnownEnd[], countEndpoints: () => number): Evidence {
  const under = ends.filter(({ runs }) => isUnder(runs, fingerprint))
  if (under.length < leastEnds) return { ends: under.length, weight: 0, isHarmful: false }
  const endpoints = Math.max(1, countEndpoints())
  const weight = under.reduce((sum, end) => sum + weighEnd(end, fingerprint, ends, endpoints), 0)
  const isHarmful = weight >= (under.length < manyEnds ? leastWeight : weightOfMany) && !isExplained(fingerprint, under, ends)
  return { ends: under.length, weight, isHarmful }
}

function weighEnd (end: KnownEnd, fingerprint: Fingerprint, ends: readonly KnownEnd[], endpoints: number): number {
  const others = ends.filter(other => other.service === end.service && !isUnder(other.runs, fingerprint))
  const own = others.filter(other => other.endpoint === end.endpoint)
  const rate = Math.max(leastRate, measureRate(end, others) / endpoints, measureRate(end, own))
  const ms = Math.max(leastMs, end.runs.get(fingerprint) ?? 0)
  return Math.min(mostWeight, -Math.log(1 - Math.exp(-rate * ms)))
}

// The most ends a ms around a moment, over any of the spans.
function measureRate ({ at }: KnownEnd, others: readonly KnownEnd[]): number {
  return Math.max(...spansMs.map(span => others.filter(other => Math.abs(other.at - at) <= span).length / (2 * span)))
}

// True where another request has been at all of these ends, and at more; or at the same, while these are few.
function isExplained (fingerprint: Fingerprint, under: readonly KnownEnd[], ends: readonly KnownEnd[]): boolean {
  const beside = [...under[0].runs.keys()].filter(other => other !== fingerprint && under.every(({ runs }) => isUnder(runs, other)))
  return beside.some(other => {
    const count = ends.filter(({ runs }) => isUnder(runs, other)).length
    return count > under.length || under.length < manyEnds
  })
}
