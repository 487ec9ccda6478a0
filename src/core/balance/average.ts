/** An exponential moving average; the plain average until there are many samples. */
export class ExponentialAverage {
  #value: number
  #count = 0
  #gain: number

  /** `gain`: weight of the newest sample once there are many, 0 to 1. */
  constructor (initial: number, gain: number) {
    this.#value = initial
    this.#gain = gain
  }

  get value (): number { return this.#value }
  get count (): number { return this.#count }

  add (sample: number): void {
    this.#count += 1
    this.#value += (sample - this.#value) * Math.max(this.#gain, 1 / (this.#count + 1))
  }
}

/** Estimates a quantile in small multiplicative steps, so that a few outliers do not move it, however large. */
export class RunningQuantile {
  #value: number
  #up: number
  #down: number

  /** `quantile`: fraction of the samples that lie below, 0 to 1; `step`: relative change caused by one sample above and one below. */
  constructor (initial: number, quantile: number, step: number) {
    this.#value = initial
    this.#up = 1 + step * quantile
    this.#down = 1 - step * (1 - quantile)
  }

  get value (): number { return this.#value }

  add (sample: number): void {
    this.#value *= sample > this.#value ? this.#up : this.#down
  }
}

/** Quantiles of the most recent samples. */
export class RecentQuantile {
  #samples: number[] = []
  #next = 0
  #size: number
  #quantile: number
  #value: number | null = null

  /** `quantile`: fraction of the samples that lie below, 0 to 1; `size`: number of samples that are kept. */
  constructor (quantile: number, size: number) {
    this.#quantile = quantile
    this.#size = size
  }

  get count (): number { return this.#samples.length }

  /** Null before the first sample. */
  get value (): number | null {
    if (this.#samples.length === 0) return null
    this.#value ??= [...this.#samples].sort((a, b) => a - b)[Math.floor((this.#samples.length - 1) * this.#quantile)]
    return this.#value
  }

  add (sample: number): void {
    this.#samples[this.#next] = sample
    this.#next = (this.#next + 1) % this.#size
    this.#value = null
  }
}

/** The median, the lower of two middle values; null for an empty list. */
export function findMedian (values: readonly number[]): number | null {
  if (values.length === 0) return null
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[(sorted.length - 1) >> 1]
}
