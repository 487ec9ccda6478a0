/**
 * Recent crashes of endpoints, with the requests that were running there. Reports
 * of the same crash are merged; `merge` returns only what a report adds, to be
 * passed on to other boxes.
 */
import type { EndpointId, Fingerprint, ServiceName } from '../ids.js'
import type { CrashedRun, EndpointCrash } from './endpoint-crash.js'
import { labelSoftware } from './quarantine.js'

/** A recorded crash; `at` on this box's clock, ms. */
export interface KnownCrash {
  readonly endpoint: EndpointId
  readonly born: number
  readonly service: ServiceName
  readonly software: string
  readonly at: number
  readonly runs: Map<Fingerprint, number | null>
}

/** Crashes are kept for this time, ms: callers that retry do so within minutes. */
export const crashRetentionMs = 600_000
/** Maximum number of recorded crashes; the oldest are evicted first. A failing rack of 40 endpoints takes a fifth of it. */
export const maxCrashes = 200
/** Maximum number of requests recorded per crash. Those with the shortest runs are kept, as a harmful request crashes its endpoint early. */
export const maxRunsPerCrash = 64
/** If endpoints do not report their start time, two crashes of one endpoint within this time count as one that two boxes reported, ms. */
const sameCrashWindowMs = 1000

export class CrashHistory {
  #crashes: KnownCrash[] = []

  get crashes (): readonly KnownCrash[] { return this.#crashes }

  /** Merges reports; returns what they add. */
  merge (received: readonly EndpointCrash[], at: number): EndpointCrash[] {
    const changes = received.map(crash => this.#mergeOne(crash, at)).filter(crash => crash !== null)
    this.#evictOld(at)
    return changes
  }

  /** Records that a request was answered, so it caused none of the crashes recorded so far; with `label`, none of that software. Returns the changes. */
  withdraw (fingerprint: Fingerprint, at: number, label: string | null = null): EndpointCrash[] {
    const changed = this.listCrashesOf(fingerprint).filter(crash => label === null || labelSoftware(crash) === label)
    for (const { runs } of changed) runs.set(fingerprint, null)
    return changed.map(crash => composeCrash(crash, [[fingerprint, null]], at))
  }

  /** Crashes during which a request was running that has not been answered since. */
  listCrashesOf (fingerprint: Fingerprint): KnownCrash[] {
    return this.#crashes.filter(({ runs }) => hasUnansweredRun(runs, fingerprint))
  }

  /** All recorded crashes, for a box that has none. */
  list (at: number): EndpointCrash[] {
    this.#evictOld(at)
    return this.#crashes.map(crash => composeCrash(crash, [...crash.runs], at))
  }

  #mergeOne (received: EndpointCrash, at: number): EndpointCrash | null {
    const crashedAt = at - Math.max(0, received.ageMs)
    if (at - crashedAt > crashRetentionMs) return null
    const known = this.#crashes.find(crash => isSameCrash(crash, received, crashedAt))
    const crash = known ?? { endpoint: received.endpoint, born: received.born, service: received.service, software: received.software, at: crashedAt, runs: new Map<Fingerprint, number | null>() }
    if (known === undefined) this.#crashes.push(crash)
    const addedRuns = received.runs.filter(run => addRun(crash.runs, run))
    return known === undefined || addedRuns.length > 0 ? composeCrash(crash, addedRuns, at) : null
  }

  #evictOld (at: number): void {
    const retained = this.#crashes.filter(crash => at - crash.at <= crashRetentionMs)
    this.#crashes = retained.length <= maxCrashes ? retained : retained.sort((a, b) => a.at - b.at).slice(-maxCrashes)
  }
}

/** True if a request was running there and has not been answered since. */
export function hasUnansweredRun (runs: ReadonlyMap<Fingerprint, number | null>, fingerprint: Fingerprint): boolean {
  return (runs.get(fingerprint) ?? null) !== null
}

function isSameCrash (crash: KnownCrash, received: EndpointCrash, receivedCrashedAt: number): boolean {
  if (crash.endpoint !== received.endpoint || crash.born !== received.born) return false
  return received.born !== 0 || Math.abs(crash.at - receivedCrashedAt) < sameCrashWindowMs
}

// Returns true if the run adds information: an answered request stays answered, and of two durations the longer one counts.
function addRun (runs: Map<Fingerprint, number | null>, [fingerprint, ms]: CrashedRun): boolean {
  const known = runs.get(fingerprint)
  if (known === null || (known !== undefined && ms !== null && known >= ms)) return false
  if (known === undefined && runs.size >= maxRunsPerCrash && !dropLongest(runs, ms)) return false
  runs.set(fingerprint, ms)
  return true
}

// Makes room for a run shorter than the longest recorded one; an answered request counts as the longest.
function dropLongest (runs: Map<Fingerprint, number | null>, ms: number | null): boolean {
  const [longest, longestMs] = [...runs].reduce((a, b) => (b[1] ?? Infinity) > (a[1] ?? Infinity) ? b : a)
  if ((ms ?? Infinity) >= (longestMs ?? Infinity)) return false
  return runs.delete(longest)
}

function composeCrash ({ endpoint, born, service, software, at: crashedAt }: KnownCrash, runs: readonly CrashedRun[], at: number): EndpointCrash {
  return { endpoint, born, service, software, ageMs: Math.max(0, Math.round(at - crashedAt)), runs }
}
