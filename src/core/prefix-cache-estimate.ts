const maxPrefixes = 256
const staleShare = 0.3

/** `stale`: the engine doesn't answer, so its evictions are unknown; `emptied`: it has started anew, or says that events are lost. */
export type CacheState = 'stale' | 'current' | 'emptied'

/**
 * Estimated contents of an engine's prefix cache. While the engine is silent the
 * confidence in every entry is lower, and back with its next answer.
 */
export class PrefixCacheEstimate {
  #prefixes = new Set<string>()
  #isStale = false

  /** The fraction (0 to 1) of a prefix that is expected to be cached. */
  estimateShare (prefix: string | null): number {
    if (prefix === null || !this.#prefixes.has(prefix)) return 0
    return this.#isStale ? staleShare : 1
  }

  /** Records that a request with this prefix was sent to the engine. */
  add (prefix: string | null): void {
    if (prefix === null) return
    this.#prefixes.delete(prefix)
    if (this.#prefixes.size >= maxPrefixes) this.#evictOldest()
    this.#prefixes.add(prefix)
  }

  /** Handles evictions reported by the engine. */
  evict (prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.#prefixes.delete(prefix)
  }

  setState (state: CacheState): void {
    this.#isStale = state === 'stale'
    if (state === 'emptied') this.#prefixes.clear()
  }

  #evictOldest (): void {
    const [oldest] = this.#prefixes.keys()
    this.#prefixes.delete(oldest)
  }
}
