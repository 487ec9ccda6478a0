/**
 * What this box may spend on sending requests a second time. All boxes together
 * may send a share of a service's requests again, and a fixed number more in
 * each window. Each box takes its share of its own requests, and its part of
 * the fixed number, so that the sum holds without a word between boxes.
 */

/** The bounds of the whole system. */
export interface RetryBounds {
  /** Second sends for each request, 0 to 1. */
  readonly ratio: number
  /** Second sends beyond those, over all boxes. */
  readonly extra: number
  readonly windowMs: number
}

/** Buckets that a window is divided into. */
const bucketsPerWindow = 10
/** Part of what is allowed that is spent: requests of a burst's beginning may lie outside a window that its retries lie in. */
const safetyFactor = 0.8

interface Bucket {
  readonly number: number
  requests: number
  retries: number
}

export class RetryPurse {
  #bounds: RetryBounds
  #buckets: Bucket[] = []

  constructor (bounds: RetryBounds) {
    this.#bounds = bounds
  }

  noteRequest (at: number): void { this.#open(at).requests += 1 }

  /** Takes one second send; false where the window's are spent. `boxes`: how many boxes share the fixed number. */
  take (at: number, boxes: number): boolean {
    const bucket = this.#open(at)
    let requests = 0
    let retries = 0
    for (const one of this.#buckets) {
      requests += one.requests
      retries += one.retries
    }
    const { ratio, extra } = this.#bounds
    if (retries + 1 > safetyFactor * (ratio * requests + extra / Math.max(1, boxes))) return false
    bucket.retries += 1
    return true
  }

  #open (at: number): Bucket {
    const number = Math.floor(at / (this.#bounds.windowMs / bucketsPerWindow))
    while (this.#buckets.length > 0 && this.#buckets[0].number <= number - bucketsPerWindow) this.#buckets.shift()
    const last = this.#buckets[this.#buckets.length - 1]
    if (last !== undefined && last.number >= number) return last
    const made: Bucket = { number, requests: 0, retries: 0 }
    this.#buckets.push(made)
    return made
  }
}
