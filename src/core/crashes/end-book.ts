/**
 * The ends of endpoints that are known, with the requests that ran there. Words
 * about one end are merged; what a word adds is given back, to be passed on.
 */
import type { EndpointId, Fingerprint, ServiceName } from '../ids.js'
import type { EndedRun, EndpointEnd } from './endpoint-end.js'

/** An end as it is held here; `at` on this box's clock, ms. */
export interface KnownEnd {
  readonly endpoint: EndpointId
  readonly born: number
  readonly service: ServiceName
  readonly software: string
  readonly at: number
  readonly runs: Map<Fingerprint, number | null>
}

/** An end is forgotten after this, ms: callers that come again do so within minutes. */
export const keepEndsMs = 600_000
/** Ends that are kept; beyond them the oldest go. A rack of 40 endpoints is a fifth of it. */
export const mostEnds = 200
/** Requests that are kept of one end, those first that had run for the shortest time: what ends its endpoint does so early. */
export const mostRuns = 64
/** Where endpoints don't say when they started, two ends of one within this are the same end, told by two boxes, ms. */
const sameEndMs = 1000

export class EndBook {
  #ends: KnownEnd[] = []

  get ends (): readonly KnownEnd[] { return this.#ends }

  /** Takes in what was told; returns what of it is news. */
  merge (told: readonly EndpointEnd[], at: number): EndpointEnd[] {
    const news = told.map(end => this.#mergeOne(end, at)).filter(end => end !== null)
    this.#forgetOld(at)
    return news
  }

  /** Notes that a request was answered: it is the cause of none of the ends known by now. Returns what changed. */
  withdraw (fingerprint: Fingerprint, at: number): EndpointEnd[] {
    const changed = this.listUnder(fingerprint)
    for (const { runs } of changed) runs.set(fingerprint, null)
    return changed.map(end => composeEnd(end, [[fingerprint, null]], at))
  }

  /** Ends at which a request ran that was not answered since. */
  listUnder (fingerprint: Fingerprint): KnownEnd[] {
    return this.#ends.filter(({ runs }) => isUnder(runs, fingerprint))
  }

  /** All of it, for a box that knows nothing. */
  list (at: number): EndpointEnd[] {
    this.#forgetOld(at)
    return this.#ends.map(end => composeEnd(end, [...end.runs], at))
  }

  #mergeOne (told: EndpointEnd, at: number): EndpointEnd | null {
    const toldAt = at - Math.max(0, told.ageMs)
    if (at - toldAt > keepEndsMs) return null
    const known = this.#ends.find(end => isSameEnd(end, told, toldAt))
    const end = known ?? { endpoint: told.endpoint, born: told.born, service: told.service, software: told.software, at: toldAt, runs: new Map<Fingerprint, number | null>() }
    if (known === undefined) this.#ends.push(end)
    const fresh = told.runs.filter(run => addRun(end.runs, run))
    return known === undefined || fresh.length > 0 ? composeEnd(end, fresh, at) : null
  }

  #forgetOld (at: number): void {
    const kept = this.#ends.filter(end => at - end.at <= keepEndsMs)
    this.#ends = kept.length <= mostEnds ? kept : kept.sort((a, b) => a.at - b.at).slice(-mostEnds)
  }
}

/** Whether a request ran there and was not answered since. */
export function isUnder (runs: ReadonlyMap<Fingerprint, number | null>, fingerprint: Fingerprint): boolean {
  return (runs.get(fingerprint) ?? null) !== null
}

function isSameEnd (end: KnownEnd, told: EndpointEnd, toldAt: number): boolean {
  if (end.endpoint !== told.endpoint || end.born !== told.born) return false
  return told.born !== 0 || Math.abs(end.at - toldAt) < sameEndMs
}

// True where the run is news: a request that was answered stays so, and of two times the longer counts.
function addRun (runs: Map<Fingerprint, number | null>, [fingerprint, ms]: EndedRun): boolean {
  const known = runs.get(fingerprint)
  if (known === null || (known !== undefined && ms !== null && known >= ms)) return false
  if (known === undefined && runs.size >= mostRuns && !dropLongest(runs, ms)) return false
  runs.set(fingerprint, ms)
  return true
}

// Makes room for a run that is shorter than the longest one known; an answered one goes before all.
function dropLongest (runs: Map<Fingerprint, number | null>, ms: number | null): boolean {
  const [longest, longestMs] = [...runs].reduce((a, b) => (b[1] ?? Infinity) > (a[1] ?? Infinity) ? b : a)
  if ((ms ?? Infinity) >= (longestMs ?? Infinity)) return false
  return runs.delete(longest)
}

function composeEnd ({ endpoint, born, service, software, at: endedAt }: KnownEnd, runs: readonly EndedRun[], at: number): EndpointEnd {
  return { endpoint, born, service, software, ageMs: Math.max(0, Math.round(at - endedAt)), runs }
}
