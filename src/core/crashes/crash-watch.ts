/**
 * Distinguishes requests, and parts of prompts, that crash the endpoints which run them
 * from those that merely ran at the same time, and decides where a request may be sent. Free
 * of I/O: `merge` takes reports and returns the changes to pass on to other boxes.
 * Boxes that have received the same reports reach the same decision independently.
 */
import type { EndpointId, Fingerprint, ServiceName } from '../ids.js'
import { CrashHistory } from './crash-history.js'
import type { EndpointCrash } from './endpoint-crash.js'
import { weighEvidence } from './evidence.js'
import type { PartStanding } from './evidence.js'
import { isPartKey } from './part-key.js'
import { Quarantine, computeRefusalMs, labelSoftware, mayTrySoftware } from './quarantine.js'
import type { StoredEntry, QuarantineEntry } from './quarantine.js'

/** Updates that boxes exchange on crashes and on quarantined requests. */
export interface CrashUpdate {
  readonly ends: readonly EndpointCrash[]
  readonly entries: readonly QuarantineEntry[]
}

/** Where a request may be sent. */
export type SendDecision =
  | { readonly type: 'free' }
  /** Endpoints crashed while running it: all boxes send it to the same endpoint, which is not one of these. */
  | { readonly type: 'suspect', readonly ended: ReadonlySet<EndpointId> }
  /** In quarantine, but it may be sent to software that has answered it. */
  | { readonly type: 'sound', readonly labels: readonly string[] }
  /** In quarantine, but a single attempt may test whether it still crashes endpoints, on software with these labels, or on any if there are none. */
  | { readonly type: 'trial', readonly labels: readonly string[], readonly ended: ReadonlySet<EndpointId> }
  | { readonly type: 'refused', readonly retryAfterMs: number, readonly ends: number }

/** Concatenates updates into one. */
export function mergeCrashUpdates (updates: readonly CrashUpdate[]): CrashUpdate {
  return { ends: updates.flatMap(({ ends }) => ends), entries: updates.flatMap(({ entries }) => entries) }
}

/** Time for which updates are collected into one message, ms: a crash breaks many requests within a few ms, and connected boxes have seconds to react. */
export const crashUpdateDelayMs = 10

const free: SendDecision = { type: 'free' }

export class CrashWatch {
  #history = new CrashHistory()
  #quarantine = new Quarantine()
  #countEndpoints: (service: ServiceName) => number
  #judgePart: (part: Fingerprint, service: ServiceName) => PartStanding

  /** `countEndpoints`: number of usable endpoints of a service; `judgePart`: what its answers say of a part. */
  constructor (countEndpoints: (service: ServiceName) => number, judgePart: (part: Fingerprint, service: ServiceName) => PartStanding = () => 'suspicious') {
    this.#countEndpoints = countEndpoints
    this.#judgePart = judgePart
  }

  /** True if nothing is recorded: then every request is `free` without a lookup. */
  get isIdle (): boolean { return this.#history.crashes.length === 0 && this.#quarantine.size === 0 }

  /** Number of crashes while running a request that has not been answered since. */
  countCrashes (fingerprint: Fingerprint): number { return this.#history.listCrashesOf(fingerprint).length }

  find (fingerprint: Fingerprint): StoredEntry | undefined { return this.#quarantine.find(fingerprint) }

  /** The complete state, for a box that has none. */
  list (at: number): CrashUpdate {
    return { ends: this.#history.list(at), entries: this.#quarantine.list(at) }
  }

  /** Merges updates from this box or another one and re-evaluates the affected requests. Returns the resulting changes. */
  merge ({ ends, entries }: CrashUpdate, at: number): CrashUpdate {
    const newCrashes = this.#history.merge(ends, at)
    const newEntries = this.#quarantine.merge(entries, at)
    for (const { fingerprint, state } of newEntries) if (state === 'lifted') this.#history.withdraw(fingerprint, at)
    const affected = new Set(newCrashes.flatMap(({ runs }) => runs.flatMap(([fingerprint, ms]) => ms === null ? [] : [fingerprint])))
    const decided = [...affected].map(fingerprint => this.#decide(fingerprint, at)).filter(entry => entry !== null)
    return { ends: newCrashes, entries: [...newEntries, ...this.#quarantine.merge(decided, at)] }
  }

  /** Records that an endpoint with this software answered a request, so the request, or this part of its prompt, does not crash it. Evidence on a part at other software stays. */
  noteAnswered (fingerprint: Fingerprint, label: string, at: number): CrashUpdate {
    const entry = this.#quarantine.find(fingerprint)
    const ends = this.#history.withdraw(fingerprint, at, isPartKey(fingerprint) ? label : null)
    if (entry === undefined || entry.state === 'lifted' || entry.sound.includes(label)) return { ends, entries: [] }
    const changed = entry.ended.includes(label) ? composeLiftedEntry(entry, at) : composeEntry({ ...entry, sound: [...entry.sound, label] }, at)
    return { ends, entries: this.#quarantine.merge([changed], at) }
  }

  /** Lifts a quarantine on behalf of an operator; null if there is none. */
  lift (fingerprint: Fingerprint, at: number): CrashUpdate | null {
    const entry = this.#quarantine.find(fingerprint)
    if (entry === undefined || entry.state === 'lifted') return null
    const ends = this.#history.withdraw(fingerprint, at)
    return { ends, entries: this.#quarantine.merge([composeLiftedEntry(entry, at)], at) }
  }

  /** Decides where a request may be sent. `listLabels`: software of the endpoints that are ready; called only for a quarantined request. */
  decide (fingerprint: Fingerprint, listLabels: () => ReadonlySet<string>, at: number): SendDecision {
    const entry = this.#quarantine.find(fingerprint)
    const ended = new Set(this.#history.listCrashesOf(fingerprint).map(({ endpoint }) => endpoint))
    if (entry === undefined || entry.state === 'lifted') return ended.size === 0 ? free : { type: 'suspect', ended }
    if (at >= entry.until) return { type: 'trial', labels: [], ended }
    const labels = listLabels()
    const sound = entry.sound.filter(label => labels.has(label))
    if (sound.length > 0) return { type: 'sound', labels: sound }
    const untried = [...labels].filter(label => mayTrySoftware(entry, label))
    if (untried.length > 0) return { type: 'trial', labels: untried, ended }
    return { type: 'refused', retryAfterMs: entry.until - at, ends: entry.ends }
  }

  // Returns a new entry; null if the state does not change.
  #decide (fingerprint: Fingerprint, at: number): QuarantineEntry | null {
    const suspected = this.#history.listCrashesOf(fingerprint)
    const newest = suspected.at(-1)
    if (newest === undefined) return null
    const known = this.#quarantine.find(fingerprint)
    const { ends, weight, isHarmful } = weighEvidence(fingerprint, { crashes: this.#history.crashes, countEndpoints: () => this.#countEndpoints(newest.service), judgePart: part => this.#judgePart(part, newest.service) })
    const labels = [...new Set(suspected.map(labelSoftware))].sort()
    if (known !== undefined && known.state === 'refused') return this.#extend(known, labels, ends, at)
    if (!isHarmful) return null
    const round = (known?.round ?? 0) + 1
    return { fingerprint, round, state: 'refused', service: newest.service, ended: labels, sound: [], ends, weight, leftMs: computeRefusalMs(round) }
  }

  // Handles a trial that crashed its endpoint. Crashes from attempts that were already in flight change nothing.
  #extend (entry: StoredEntry, labels: readonly string[], ends: number, at: number): QuarantineEntry | null {
    const addedLabels = labels.filter(label => !entry.ended.includes(label))
    if (addedLabels.length === 0 && at < entry.until) return null
    const ended = [...entry.ended, ...addedLabels].sort()
    const round = entry.round + 1
    return { ...composeEntry(entry, at), round, ended, sound: entry.sound.filter(label => !ended.includes(label)), ends: Math.max(ends, entry.ends), leftMs: computeRefusalMs(round) }
  }
}

function composeEntry ({ until, ...entry }: StoredEntry, at: number): QuarantineEntry {
  return { ...entry, leftMs: Math.max(0, Math.round(until - at)) }
}

function composeLiftedEntry (entry: StoredEntry, at: number): QuarantineEntry {
  return { ...composeEntry(entry, at), round: entry.round + 1, state: 'lifted' }
}
