const maxPrefixes = 256
const shareAfterGap = 0.3

/**
 * Estimated contents of an engine's prefix cache. Cache events arrive late and
 * with gaps, so a gap lowers the confidence in every entry but removes none.
 */
export class PrefixCacheEstimate {
  #prefixes = new Map<string, number>()

  /** The fraction (0 to 1) of a prefix that is expected to be cached. */
  estimateShare (prefix: string | null): number {
    if (prefix === null) return 0
    return this.#prefixes.get(prefix) ?? 0
  }

  /** Records that a request with this prefix was sent to the engine. */
  add (prefix: string | null): void {
    if (prefix === null) return
    this.#prefixes.delete(prefix)
    if (this.#prefixes.size >= maxPrefixes) this.#evictOldest()
    this.#prefixes.set(prefix, 1)
  }

  /** Handles evictions reported by the engine; `unknown` if events were missed. */
  evict (prefixes: readonly string[] | 'unknown'): void {
    if (prefixes === 'unknown') {
      for (const [prefix, share] of this.#prefixes) this.#prefixes.set(prefix, share * shareAfterGap)
      return
    }
    for (const prefix of prefixes) this.#prefixes.delete(prefix)
  }

  #evictOldest (): void {
    const [oldest] = this.#prefixes.keys()
    this.#prefixes.delete(oldest)
  }
}
