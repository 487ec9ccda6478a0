import { ExponentialAverage } from './average.js'
import { limitDelay } from './overdue.js'

/** Expected time of a call to a plain service before any was measured, ms. */
const initialAnswerMs = 100
/** Weight of the newest sample. */
const newestWeight = 0.15
/** An endpoint from which nothing has arrived for this long was silent, ms. */
const silenceMs = 500
/** Time in which the difference of an estimate from the usual time of the service halves while no answer is measured, ms. */
const halfLifeMs = 2000

/**
 * Answer times of a plain service's endpoint. All calls that waited through one silence count as one sample, and an old
 * estimate counts less: an endpoint that is avoided for it gets no call that would correct it.
 */
export class AnswerTimes {
  #average = new ExponentialAverage(initialAnswerMs, newestWeight)
  #receivedAt = -Infinity
  /** End of the last silence. */
  #resumedAt = -Infinity
  #isSilenceSampled = false
  #sampledAt = -Infinity

  /** The average, ms. */
  get value (): number { return this.#average.value }
  /** Number of samples. */
  get count (): number { return this.#average.count }

  /** Notes that a part of any answer has arrived. */
  noteReceived (at: number): void {
    if (at - this.#receivedAt > silenceMs) {
      this.#resumedAt = at
      this.#isSilenceSampled = false
    }
    this.#receivedAt = at
  }

  /** Adds a call that took `tookMs` until now. */
  add (tookMs: number, at: number): void {
    const isDelayedBySilence = at - tookMs < this.#resumedAt
    if (isDelayedBySilence && this.#isSilenceSampled) return
    if (isDelayedBySilence) this.#isSilenceSampled = true
    this.#sampledAt = at
    this.#average.add(isDelayedBySilence ? Math.min(tookMs, limitDelay(this.value)) : tookMs)
  }

  /** Expected time of a call, ms; `usualMs`: the usual time at the service's endpoints. */
  estimate (usualMs: number, at: number): number {
    if (this.value <= usualMs) return this.value
    return usualMs + (this.value - usualMs) * 0.5 ** ((at - this.#sampledAt) / halfLifeMs)
  }
}
