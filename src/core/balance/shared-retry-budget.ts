/**
 * Limits how many retries this box sends. All boxes together may retry a fraction of a service's requests, plus a
 * fixed number per window. Each box counts the fraction of its own requests and an equal part of the fixed number,
 * so that the total holds without communication between boxes.
 */

/** Bounds over all boxes. */
export interface RetryBounds {
  /** Retries per request, 0 to 1. */
  readonly ratio: number
  /** Additional retries per window, over all boxes. */
  readonly extra: number
  readonly windowMs: number
}

/** Number of buckets in a window. */
const bucketsPerWindow = 10
/** Fraction of the budget that is used: requests at the start of a burst may lie outside the window that contains their retries. */
const safetyFactor = 0.8

interface Bucket {
  readonly number: number
  requests: number
  retries: number
}

export class SharedRetryBudget {
  #bounds: RetryBounds
  #buckets: Bucket[] = []

  constructor (bounds: RetryBounds) {
    this.#bounds = bounds
  }

  noteRequest (at: number): void { this.#openBucket(at).requests += 1 }

  /** True if a retry is left of the given share, 0 to 1, of the window's budget. `boxes`: number of boxes that share the fixed number. */
  has (at: number, boxes: number, share = 1): boolean {
    this.#openBucket(at)
    let requests = 0
    let retries = 0
    for (const one of this.#buckets) {
      requests += one.requests
      retries += one.retries
    }
    const { ratio, extra } = this.#bounds
    return retries + 1 <= share * safetyFactor * (ratio * requests + extra / Math.max(1, boxes))
  }

  /** Consumes one retry; false if none is left. */
  tryConsume (at: number, boxes: number, share = 1): boolean {
    const isLeft = this.has(at, boxes, share)
    if (isLeft) this.#openBucket(at).retries += 1
    return isLeft
  }

  #openBucket (at: number): Bucket {
    const number = Math.floor(at / (this.#bounds.windowMs / bucketsPerWindow))
    while (this.#buckets.length > 0 && this.#buckets[0].number <= number - bucketsPerWindow) this.#buckets.shift()
    const last = this.#buckets[this.#buckets.length - 1]
    if (last !== undefined && last.number >= number) return last
    const made: Bucket = { number, requests: 0, retries: 0 }
    this.#buckets.push(made)
    return made
  }
}
