import type { ClassName, WorkspaceName } from './ids.js'

const bucketCount = 64
const bucketsPerDoubling = 4
const halveAt = 512
const minimumSamples = 20
const maximumKeys = 2048
const defaultTokens = 128

/** A histogram of answer lengths that forgets old ones by halving. */
class LengthHistogram {
  #counts = new Float64Array(bucketCount)
  #total = 0

  get total (): number { return this.#total }

  add (tokens: number): void {
    const bucket = Math.round(Math.log2(Math.max(1, tokens)) * bucketsPerDoubling)
    this.#counts[Math.min(bucketCount - 1, bucket)] += 1
    this.#total += 1
    if (this.#total >= halveAt) this.#halve()
  }

  quantile (share: number): number {
    let left = share * this.#total
    for (let i = 0; i < bucketCount; i++) {
      left -= this.#counts[i]
      if (left <= 0) return 2 ** (i / bucketsPerDoubling)
    }
    return 2 ** ((bucketCount - 1) / bucketsPerDoubling)
  }

  #halve (): void {
    for (let i = 0; i < bucketCount; i++) this.#counts[i] /= 2
    this.#total /= 2
  }
}

/**
 * Learns how long answers are, by class and by workspace of a class. A pair
 * with few samples falls back on its class, a class with few on a default.
 * Holds at most 2,048 histograms; the oldest pair is forgotten first.
 */
export class LengthEstimate {
  #byKey = new Map<string, LengthHistogram>()

  /** Records a finished answer of `tokens` tokens. */
  add (name: ClassName, workspace: WorkspaceName, tokens: number): void {
    this.#open(name).add(tokens)
    this.#open(`${name}\n${workspace}`).add(tokens)
  }

  /** The quantile `share` (0 to 1) of the answer's length, in tokens. */
  quantile (name: ClassName, workspace: WorkspaceName, share: number): number {
    const own = this.#byKey.get(`${name}\n${workspace}`)
    if (own !== undefined && own.total >= minimumSamples) return own.quantile(share)
    const all = this.#byKey.get(name)
    if (all !== undefined && all.total >= minimumSamples) return all.quantile(share)
    return defaultTokens
  }

  #open (key: string): LengthHistogram {
    const found = this.#byKey.get(key)
    if (found !== undefined) return found
    if (this.#byKey.size >= maximumKeys) this.#forgetOldest()
    const made = new LengthHistogram()
    this.#byKey.set(key, made)
    return made
  }

  #forgetOldest (): void {
    const [oldest] = this.#byKey.keys()
    this.#byKey.delete(oldest)
  }
}
