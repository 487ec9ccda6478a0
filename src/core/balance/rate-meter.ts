/** Number of buckets in the window over which demand is measured. */
const bucketCount = 10
/** Length of a bucket, ms. The window of 2.5 s smooths arrivals that come in clumps; the backlog shows a burst sooner. */
const defaultBucketMs = 250

/** Measures an arrival rate over a sliding window. */
export class RateMeter {
  #sums = new Array<number>(bucketCount).fill(0)
  #bucket = 0
  #bucketMs: number

  constructor (windowMs = bucketCount * defaultBucketMs) { this.#bucketMs = windowMs / bucketCount }

  add (at: number, amount: number): void {
    this.#advance(at)
    this.#sums[this.#bucket % bucketCount] += amount
  }

  /** Amount per second. */
  rate (at: number): number {
    this.#advance(at)
    return this.#sums.reduce((sum, one) => sum + one, 0) * 1000 / (bucketCount * this.#bucketMs)
  }

  #advance (at: number): void {
    const bucket = Math.floor(at / this.#bucketMs)
    if (bucket - this.#bucket >= bucketCount) this.#sums.fill(0)
    else for (let b = this.#bucket + 1; b <= bucket; b++) this.#sums[b % bucketCount] = 0
    this.#bucket = Math.max(this.#bucket, bucket)
  }
}
