/** Buckets of the window that demand is measured over. */
const bucketCount = 10
/** Length of a bucket, ms. 2.5 s in all: callers come in clumps, and what waits shows a burst sooner. */
const defaultBucketMs = 250

/** How much arrives a second, over the last seconds. */
export class DemandMeter {
  #sums = new Array<number>(bucketCount).fill(0)
  #bucket = 0
  #bucketMs: number

  constructor (windowMs = bucketCount * defaultBucketMs) { this.#bucketMs = windowMs / bucketCount }

  add (at: number, amount: number): void {
    this.#advance(at)
    this.#sums[this.#bucket % bucketCount] += amount
  }

  /** Amount a second. */
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
