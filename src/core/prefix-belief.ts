const maximumPrefixes = 256
const unsureShare = 0.3

/**
 * What is believed of an engine's prefix cache. Events of the cache come late
 * and with gaps, so a gap turns every entry into "unknown", not "absent".
 */
export class PrefixBelief {
  #prefixes = new Map<string, number>()

  /** The share (0 to 1) of a prefix that is expected to be cached. */
  expect (prefix: string | null): number {
    if (prefix === null) return 0
    return this.#prefixes.get(prefix) ?? 0
  }

  /** A request with this prefix was sent to the engine. */
  add (prefix: string | null): void {
    if (prefix === null) return
    this.#prefixes.delete(prefix)
    if (this.#prefixes.size >= maximumPrefixes) this.#forgetOldest()
    this.#prefixes.set(prefix, 1)
  }

  /** The engine said what it dropped; `unknown` where events were missed. */
  evict (prefixes: readonly string[] | 'unknown'): void {
    if (prefixes === 'unknown') {
      for (const [prefix, share] of this.#prefixes) this.#prefixes.set(prefix, share * unsureShare)
      return
    }
    for (const prefix of prefixes) this.#prefixes.delete(prefix)
  }

  #forgetOldest (): void {
    const [oldest] = this.#prefixes.keys()
    this.#prefixes.delete(oldest)
  }
}
