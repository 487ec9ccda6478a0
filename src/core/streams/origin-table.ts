/**
 * The origins of streams: which service and software version wrote the first
 * event of each. What two versions write doesn't fit together, so a stream is
 * continued only at the version that began it.
 */
import type { ServiceName, StreamKey } from '../ids.js'

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: ServiceName
  /** Version of the endpoint's software; empty if the endpoint does not report it. */
  readonly software: string
}

interface StoredOrigin {
  /** Null if two different origins were noted, so that neither is known to be true. */
  readonly origin: StreamOrigin | null
  readonly at: number
}

/** Origins are kept for this long after they were last noted, ms: longer than callers take to return. */
export const originRetentionMs = 120_000
/** Maximum number of origins; the oldest are dropped first. At some 140 bytes each, 40 MB. */
const maxOrigins = 300_000

export class OriginTable {
  #retentionMs: number
  #maxOrigins: number
  /** Ordered by the time of the latest note. */
  #origins = new Map<StreamKey, StoredOrigin>()

  constructor (retentionMs = originRetentionMs, most = maxOrigins) {
    this.#retentionMs = retentionMs
    this.#maxOrigins = most
  }

  get size (): number { return this.#origins.size }

  /** Notes the origin of a stream, or that it still goes on. */
  note (key: StreamKey, origin: StreamOrigin, at: number): void {
    const known = this.find(key, at)
    const isAmbiguous = known === 'ambiguous' || (known !== null && !isSameOrigin(known, origin))
    this.#origins.delete(key)
    this.#origins.set(key, { origin: isAmbiguous ? null : origin, at })
    this.#dropOld(at)
  }

  /** The origin of a stream; null if it is not known, `ambiguous` if different origins were noted for it. */
  find (key: StreamKey, at: number): StreamOrigin | 'ambiguous' | null {
    const stored = this.#origins.get(key)
    if (stored === undefined || at - stored.at > this.#retentionMs) return null
    return stored.origin ?? 'ambiguous'
  }

  /** Up to `most` streams with a known origin, those that were noted last. */
  listLatest (most: number, at: number): [StreamKey, StreamOrigin][] {
    this.#dropOld(at)
    const listed: [StreamKey, StreamOrigin][] = []
    for (const [key, { origin }] of [...this.#origins].slice(-most)) if (origin !== null) listed.push([key, origin])
    return listed
  }

  #dropOld (at: number): void {
    for (const [key, stored] of this.#origins) {
      if (at - stored.at <= this.#retentionMs && this.#origins.size <= this.#maxOrigins) return
      this.#origins.delete(key)
    }
  }
}

/** True if endpoints of both origins write the same streams. */
export function isSameOrigin (a: StreamOrigin, b: StreamOrigin): boolean { return a.service === b.service && a.software === b.software }
