/**
 * Requests that are not sent to endpoints for a while, as endpoints ended under
 * them. Words of several boxes are merged: the later round counts, and within
 * one round what any of them knows.
 */
import type { Fingerprint, ServiceName } from '../ids.js'

/** `refused`: not sent; `lifted`: sent again, whatever was known before. */
export type QuarantineState = 'refused' | 'lifted'

/** What is told of a request in quarantine. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint
  /** Rises each time it is refused anew, or lifted. */
  readonly round: number
  readonly state: QuarantineState
  readonly service: ServiceName
  /** What ended under it: the software of its endpoints, as `labelSoftware` says. */
  readonly ended: readonly string[]
  /** Software that has answered it since. */
  readonly sound: readonly string[]
  /** Ends of endpoints that decided it, and their weight. */
  readonly ends: number
  readonly weight: number
  /** Until it may be tried again, ms. */
  readonly leftMs: number
}

/** An entry as it is held; `until` on this box's clock, ms. */
export interface HeldEntry extends Omit<QuarantineEntry, 'leftMs'> {
  readonly until: number
}

/** First time that a request is refused for, ms: longer than endpoints take to restart and operators to look; doubles with each further round. */
export const firstRefusalMs = 600_000
/** The longest, ms: a day. */
export const longestRefusalMs = 86_400_000
/** An entry that is over is kept for so long, ms: a trial that ends an endpoint is then enough to refuse it anew. */
export const keepEntriesMs = 600_000
/** Entries that are kept; beyond them those go first that end first. At some 300 bytes each, 0.3 MB. */
export const mostEntries = 1000
/** Kinds of software that are tried for one request; beyond them only its time tells when it is tried again. */
const mostSoftware = 4

export class Quarantine {
  #entries = new Map<Fingerprint, HeldEntry>()

  get size (): number { return this.#entries.size }

  /** The entry of a request, also one that is over or lifted. */
  find (fingerprint: Fingerprint): HeldEntry | undefined { return this.#entries.get(fingerprint) }

  /** Takes in what was told; returns what of it is news. */
  merge (told: readonly QuarantineEntry[], at: number): QuarantineEntry[] {
    const news = told.filter(entry => this.#mergeOne(entry, at))
    this.#forgetOld(at)
    return news.map(({ fingerprint }) => this.#compose(fingerprint, at)).filter(entry => entry !== null)
  }

  /** All of it, for a box that knows nothing. */
  list (at: number): QuarantineEntry[] {
    this.#forgetOld(at)
    return [...this.#entries.keys()].map(fingerprint => this.#compose(fingerprint, at)).filter(entry => entry !== null)
  }

  #mergeOne ({ leftMs, ...told }: QuarantineEntry, at: number): boolean {
    const entry: HeldEntry = { ...told, until: at + leftMs }
    const known = this.#entries.get(told.fingerprint)
    if (known !== undefined && known.round > entry.round) return false
    if (known === undefined || known.round < entry.round) {
      this.#entries.set(entry.fingerprint, entry)
      return true
    }
    const joined = joinEntries(known, entry)
    if (joined === known) return false
    this.#entries.set(entry.fingerprint, joined)
    return true
  }

  #compose (fingerprint: Fingerprint, at: number): QuarantineEntry | null {
    const entry = this.#entries.get(fingerprint)
    if (entry === undefined) return null
    const { until, ...rest } = entry
    return { ...rest, leftMs: Math.max(0, Math.round(until - at)) }
  }

  #forgetOld (at: number): void {
    for (const [fingerprint, { until }] of this.#entries) if (at - until > keepEntriesMs) this.#entries.delete(fingerprint)
    if (this.#entries.size <= mostEntries) return
    const byEnd = [...this.#entries.values()].sort((a, b) => a.until - b.until)
    for (const { fingerprint } of byEnd.slice(0, this.#entries.size - mostEntries)) this.#entries.delete(fingerprint)
  }
}

/** What a log line says of an entry. */
export function describeEntry ({ fingerprint, state, round, service, ended, sound, ends, weight, leftMs }: QuarantineEntry): Record<string, string | number> {
  return { fingerprint, state, round, service, software: ended.join(','), sound: sound.join(','), ends, weight: weight.toFixed(1), leftMs }
}

/** How long a request is refused in a round, ms. */
export function findRefusalMs (round: number): number {
  return Math.min(longestRefusalMs, firstRefusalMs * 2 ** (round - 1))
}

/** Names what an endpoint runs: its service, and the version of its software. */
export function labelSoftware ({ service, software }: { readonly service: ServiceName, readonly software: string }): string {
  return `${service} ${software}`
}

/** True where a request may be tried at software that it has not ended yet. */
export function mayTrySoftware ({ ended, sound }: HeldEntry, label: string): boolean {
  return ended.length < mostSoftware && !ended.includes(label) && !sound.includes(label)
}

// The same object where the other adds nothing. Within a round a lift counts, and software that ended goes before its being sound.
function joinEntries (known: HeldEntry, other: HeldEntry): HeldEntry {
  const ended = joinLists(known.ended, other.ended)
  const sound = joinLists(known.sound, other.sound).filter(label => !ended.includes(label))
  const state = known.state === 'lifted' || other.state === 'lifted' ? 'lifted' : 'refused'
  const isSame = ended.length === known.ended.length && sound.length === known.sound.length && state === known.state
  return isSame ? known : { ...known, ended, sound, state, ends: Math.max(known.ends, other.ends), weight: Math.max(known.weight, other.weight) }
}

function joinLists (a: readonly string[], b: readonly string[]): string[] { return [...new Set([...a, ...b])].sort() }
