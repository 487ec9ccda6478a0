/**
 * Tells requests that end the endpoints which run them from all that only ran
 * beside them, and says what may be done with a request. Pure: what is heard
 * goes in, what is news for other boxes comes out. All boxes that heard the same
 * decide alike, each by itself.
 */
import type { EndpointId, Fingerprint, ServiceName } from '../ids.js'
import { EndBook } from './end-book.js'
import type { EndpointEnd } from './endpoint-end.js'
import { weighEvidence } from './evidence.js'
import { Quarantine, findRefusalMs, labelSoftware, mayTrySoftware } from './quarantine.js'
import type { HeldEntry, QuarantineEntry } from './quarantine.js'

/** What boxes tell one another of ends and of requests in quarantine. */
export interface CrashNews {
  readonly ends: readonly EndpointEnd[]
  readonly entries: readonly QuarantineEntry[]
}

/** What may be done with a request. */
export type Ruling =
  | { readonly type: 'free' }
  /** Endpoints ended under it: all boxes send it to the same endpoint, which is none of these. */
  | { readonly type: 'suspect', readonly ended: ReadonlySet<EndpointId> }
  /** In quarantine, but software that has answered it may be asked. */
  | { readonly type: 'sound', readonly labels: readonly string[] }
  /** In quarantine, but one send shows whether it still is as it was; at software with these labels, or at any where there are none. */
  | { readonly type: 'trial', readonly labels: readonly string[], readonly ended: ReadonlySet<EndpointId> }
  | { readonly type: 'refused', readonly retryAfterMs: number, readonly ends: number }

/** Several pieces of news as one. */
export function joinNews (news: readonly CrashNews[]): CrashNews {
  return { ends: news.flatMap(({ ends }) => ends), entries: news.flatMap(({ entries }) => entries) }
}

/** News that waits to be told shares a message, ms: an end breaks many requests within some ms, and boxes in touch have seconds to act on it. */
export const gatherNewsMs = 10

const free: Ruling = { type: 'free' }

export class CrashWatch {
  #book = new EndBook()
  #quarantine = new Quarantine()
  #countEndpoints: (service: ServiceName) => number

  /** `countEndpoints`: endpoints of a service that may be used now. */
  constructor (countEndpoints: (service: ServiceName) => number) {
    this.#countEndpoints = countEndpoints
  }

  /** True where nothing is known: then every request is free, and need not be looked up. */
  get isIdle (): boolean { return this.#book.ends.length === 0 && this.#quarantine.size === 0 }

  /** Ends under a request that was not answered since. */
  countEnds (fingerprint: Fingerprint): number { return this.#book.listUnder(fingerprint).length }

  find (fingerprint: Fingerprint): HeldEntry | undefined { return this.#quarantine.find(fingerprint) }

  /** Everything, for a box that knows nothing. */
  list (at: number): CrashNews {
    return { ends: this.#book.list(at), entries: this.#quarantine.list(at) }
  }

  /** Takes in what was seen here or told by another box; decides anew on the requests that it names. */
  merge ({ ends, entries }: CrashNews, at: number): CrashNews {
    const freshEnds = this.#book.merge(ends, at)
    const freshEntries = this.#quarantine.merge(entries, at)
    for (const { fingerprint, state } of freshEntries) if (state === 'lifted') this.#book.withdraw(fingerprint, at)
    const named = new Set(freshEnds.flatMap(({ runs }) => runs.flatMap(([fingerprint, ms]) => ms === null ? [] : [fingerprint])))
    const decided = [...named].map(fingerprint => this.#decide(fingerprint, at)).filter(entry => entry !== null)
    return { ends: freshEnds, entries: [...freshEntries, ...this.#quarantine.merge(decided, at)] }
  }

  /** Notes that an endpoint with this software answered a request: it does not end what runs it. */
  noteAnswered (fingerprint: Fingerprint, label: string, at: number): CrashNews {
    const entry = this.#quarantine.find(fingerprint)
    const ends = this.#book.withdraw(fingerprint, at)
    if (entry === undefined || entry.state === 'lifted' || entry.sound.includes(label)) return { ends, entries: [] }
    const changed = entry.ended.includes(label) ? composeLift(entry, at) : composeTold({ ...entry, sound: [...entry.sound, label] }, at)
    return { ends, entries: this.#quarantine.merge([changed], at) }
  }

  /** Lifts a quarantine by an operator's word; null where there is none. */
  lift (fingerprint: Fingerprint, at: number): CrashNews | null {
    const entry = this.#quarantine.find(fingerprint)
    if (entry === undefined || entry.state === 'lifted') return null
    const ends = this.#book.withdraw(fingerprint, at)
    return { ends, entries: this.#quarantine.merge([composeLift(entry, at)], at) }
  }

  /** What may be done with a request. `listLabels`, asked only for one in quarantine: software of the endpoints that are ready. */
  rule (fingerprint: Fingerprint, listLabels: () => ReadonlySet<string>, at: number): Ruling {
    const entry = this.#quarantine.find(fingerprint)
    const ended = new Set(this.#book.listUnder(fingerprint).map(({ endpoint }) => endpoint))
    if (entry === undefined || entry.state === 'lifted') return ended.size === 0 ? free : { type: 'suspect', ended }
    if (at >= entry.until) return { type: 'trial', labels: [], ended }
    const labels = listLabels()
    const sound = entry.sound.filter(label => labels.has(label))
    if (sound.length > 0) return { type: 'sound', labels: sound }
    const untried = [...labels].filter(label => mayTrySoftware(entry, label))
    if (untried.length > 0) return { type: 'trial', labels: untried, ended }
    return { type: 'refused', retryAfterMs: entry.until - at, ends: entry.ends }
  }

  // An entry that is news; null where nothing new is decided.
  #decide (fingerprint: Fingerprint, at: number): QuarantineEntry | null {
    const under = this.#book.listUnder(fingerprint)
    const newest = under.at(-1)
    if (newest === undefined) return null
    const known = this.#quarantine.find(fingerprint)
    const { ends, weight, isHarmful } = weighEvidence(fingerprint, this.#book.ends, () => this.#countEndpoints(newest.service))
    const labels = [...new Set(under.map(labelSoftware))].sort()
    if (known !== undefined && known.state === 'refused') return this.#extend(known, labels, ends, at)
    if (!isHarmful) return null
    const round = (known?.round ?? 0) + 1
    return { fingerprint, round, state: 'refused', service: newest.service, ended: labels, sound: [], ends, weight, leftMs: findRefusalMs(round) }
  }

  // A trial ended its endpoint. Ends of sends that were under way before change nothing.
  #extend (entry: HeldEntry, labels: readonly string[], ends: number, at: number): QuarantineEntry | null {
    const fresh = labels.filter(label => !entry.ended.includes(label))
    if (fresh.length === 0 && at < entry.until) return null
    const ended = [...entry.ended, ...fresh].sort()
    const round = entry.round + 1
    return { ...composeTold(entry, at), round, ended, sound: entry.sound.filter(label => !ended.includes(label)), ends: Math.max(ends, entry.ends), leftMs: findRefusalMs(round) }
  }
}

function composeTold ({ until, ...entry }: HeldEntry, at: number): QuarantineEntry {
  return { ...entry, leftMs: Math.max(0, Math.round(until - at)) }
}

function composeLift (entry: HeldEntry, at: number): QuarantineEntry {
  return { ...composeTold(entry, at), round: entry.round + 1, state: 'lifted' }
}
