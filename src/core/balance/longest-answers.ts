import { SlidingMax } from './sliding-max.js'

/** How long a long answer counts as usual, ms. */
const ttlMs = 20_000
/** A call that takes longer than the longest recent one by this factor is unusual. */
const unusualRatio = 1.5

/** The longest recent times to an answer or first event of a plain service, over all its endpoints: a call that is long by nature is no sign that its endpoint hangs. */
export class LongestAnswers {
  #longest = new SlidingMax(ttlMs)

  note (tookMs: number, at: number): void { this.#longest.note(at, tookMs) }

  /** True if a call that has waited for `waitedMs` takes far longer than any recent one. */
  isExceeded (waitedMs: number, at: number): boolean { return waitedMs > unusualRatio * this.#longest.find(at, 0) }
}
