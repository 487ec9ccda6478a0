/**
 * Requests that are temporarily not sent to endpoints, as endpoints crashed while
 * running them. Entries of several boxes are merged: the higher round wins, and
 * within a round the union of what the boxes know.
 */
import type { Fingerprint, ServiceName } from '../ids.js'

/** `refused`: not sent; `lifted`: sent again, whatever was known before. */
export type QuarantineState = 'refused' | 'lifted'

/** A quarantined request, as boxes exchange it. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint
  /** Incremented each time the request is refused again, or lifted. */
  readonly round: number
  readonly state: QuarantineState
  readonly service: ServiceName
  /** Software that crashed while running it, as formatted by `labelSoftware`. */
  readonly ended: readonly string[]
  /** Software that has answered it since then. */
  readonly sound: readonly string[]
  /** Number of crashes that led to the decision, and the weight of the evidence. */
  readonly ends: number
  readonly weight: number
  /** Time until it may be tried again, ms. */
  readonly leftMs: number
}

/** An entry as it is stored; `until` on this box's clock, ms. */
export interface StoredEntry extends Omit<QuarantineEntry, 'leftMs'> {
  readonly until: number
}

/** Duration of the first refusal, ms: longer than endpoints take to restart and operators to react. Doubles with each further round. */
export const initialRefusalMs = 600_000
/** Upper bound on the duration of a refusal, ms: one day. */
export const maxRefusalMs = 86_400_000
/** Expired entries are kept for this time, ms: meanwhile one trial that crashes an endpoint is enough to refuse the request again. */
export const entryRetentionMs = 600_000
/** Maximum number of entries; those that expire first are evicted first. At about 300 bytes each, 0.3 MB. */
export const maxEntries = 1000
/** A request that has crashed this many software versions is not tried on further ones; it is tried again only once its refusal expires. */
const maxTriedVersions = 4

export class Quarantine {
  #entries = new Map<Fingerprint, StoredEntry>()

  get size (): number { return this.#entries.size }

  /** The entry of a request, even if it has expired or is lifted. */
  find (fingerprint: Fingerprint): StoredEntry | undefined { return this.#entries.get(fingerprint) }

  /** Merges entries; returns those that changed. */
  merge (received: readonly QuarantineEntry[], at: number): QuarantineEntry[] {
    const changed = received.filter(entry => this.#mergeOne(entry, at))
    this.#evictOld(at)
    return changed.map(({ fingerprint }) => this.#compose(fingerprint, at)).filter(entry => entry !== null)
  }

  /** All entries, for a box that has none. */
  list (at: number): QuarantineEntry[] {
    this.#evictOld(at)
    return [...this.#entries.keys()].map(fingerprint => this.#compose(fingerprint, at)).filter(entry => entry !== null)
  }

  #mergeOne ({ leftMs, ...received }: QuarantineEntry, at: number): boolean {
    const entry: StoredEntry = { ...received, until: at + leftMs }
    const known = this.#entries.get(received.fingerprint)
    if (known !== undefined && known.round > entry.round) return false
    if (known === undefined || known.round < entry.round) {
      this.#entries.set(entry.fingerprint, entry)
      return true
    }
    const merged = mergeEntries(known, entry)
    if (merged === known) return false
    this.#entries.set(entry.fingerprint, merged)
    return true
  }

  #compose (fingerprint: Fingerprint, at: number): QuarantineEntry | null {
    const entry = this.#entries.get(fingerprint)
    if (entry === undefined) return null
    const { until, ...rest } = entry
    return { ...rest, leftMs: Math.max(0, Math.round(until - at)) }
  }

  #evictOld (at: number): void {
    for (const [fingerprint, { until }] of this.#entries) if (at - until > entryRetentionMs) this.#entries.delete(fingerprint)
    if (this.#entries.size <= maxEntries) return
    const byExpiry = [...this.#entries.values()].sort((a, b) => a.until - b.until)
    for (const { fingerprint } of byExpiry.slice(0, this.#entries.size - maxEntries)) this.#entries.delete(fingerprint)
  }
}

/** Log fields of an entry. */
export function describeEntry ({ fingerprint, state, round, service, ended, sound, ends, weight, leftMs }: QuarantineEntry): Record<string, string | number> {
  return { fingerprint, state, round, service, software: ended.join(','), sound: sound.join(','), ends, weight: weight.toFixed(1), leftMs }
}

/** Duration of the refusal in a round, ms. */
export function computeRefusalMs (round: number): number {
  return Math.min(maxRefusalMs, initialRefusalMs * 2 ** (round - 1))
}

/** Identifies the software of an endpoint by its service and version. */
export function labelSoftware ({ service, software }: { readonly service: ServiceName, readonly software: string }): string {
  return `${service} ${software}`
}

/** True if a request may be tried on software with this label, which has neither crashed on it nor answered it. */
export function mayTrySoftware ({ ended, sound }: StoredEntry, label: string): boolean {
  return ended.length < maxTriedVersions && !ended.includes(label) && !sound.includes(label)
}

// Returns the same object if the other adds nothing. Within a round, `lifted` wins over `refused` and `ended` over `sound`.
function mergeEntries (known: StoredEntry, other: StoredEntry): StoredEntry {
  const ended = mergeLists(known.ended, other.ended)
  const sound = mergeLists(known.sound, other.sound).filter(label => !ended.includes(label))
  const state = known.state === 'lifted' || other.state === 'lifted' ? 'lifted' : 'refused'
  const isSame = ended.length === known.ended.length && sound.length === known.sound.length && state === known.state
  return isSame ? known : { ...known, ended, sound, state, ends: Math.max(known.ends, other.ends), weight: Math.max(known.weight, other.weight) }
}

function mergeLists (a: readonly string[], b: readonly string[]): string[] { return [...new Set([...a, ...b])].sort() }
