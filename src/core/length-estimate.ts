import type { ClassName, WorkspaceName } from './ids.js'

const bucketCount = 64
const bucketsPerDoubling = 4
const maxTotal = 512
const minSamples = 20
const maxHistograms = 2048
const defaultTokens = 128

/** A histogram of output lengths on a logarithmic scale. Older samples decay by halving all counts. */
class LengthHistogram {
  #counts = new Float64Array(bucketCount)
  #total = 0

  get total (): number { return this.#total }

  add (tokens: number): void {
    const bucket = Math.round(Math.log2(Math.max(1, tokens)) * bucketsPerDoubling)
    this.#counts[Math.min(bucketCount - 1, bucket)] += 1
    this.#total += 1
    if (this.#total >= maxTotal) this.#halve()
  }

  quantile (share: number): number {
    let remaining = share * this.#total
    for (let i = 0; i < bucketCount; i++) {
      remaining -= this.#counts[i]
      if (remaining <= 0) return 2 ** (i / bucketsPerDoubling)
    }
    return 2 ** ((bucketCount - 1) / bucketsPerDoubling)
  }

  #halve (): void {
    for (let i = 0; i < bucketCount; i++) this.#counts[i] /= 2
    this.#total /= 2
  }
}

/**
 * Estimates output lengths by class and by workspace of a class. A pair with few
 * samples falls back to its class, a class with few to a default.
 * Keeps at most 2,048 histograms and evicts the oldest first.
 */
export class LengthEstimate {
  #byKey = new Map<string, LengthHistogram>()

  /** Records a finished output of `tokens` tokens. */
  add (name: ClassName, workspace: WorkspaceName, tokens: number): void {
    this.#getOrCreate(name).add(tokens)
    this.#getOrCreate(`${name}\n${workspace}`).add(tokens)
  }

  /** The quantile `share` (0 to 1) of the output length, in tokens. */
  quantile (name: ClassName, workspace: WorkspaceName, share: number): number {
    const own = this.#byKey.get(`${name}\n${workspace}`)
    if (own !== undefined && own.total >= minSamples) return own.quantile(share)
    const all = this.#byKey.get(name)
    if (all !== undefined && all.total >= minSamples) return all.quantile(share)
    return defaultTokens
  }

  #getOrCreate (key: string): LengthHistogram {
    const found = this.#byKey.get(key)
    if (found !== undefined) return found
    if (this.#byKey.size >= maxHistograms) this.#evictOldest()
    const created = new LengthHistogram()
    this.#byKey.set(key, created)
    return created
  }

  #evictOldest (): void {
    const [oldest] = this.#byKey.keys()
    this.#byKey.delete(oldest)
  }
}
