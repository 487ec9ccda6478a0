import { SlidingMax } from './sliding-max.js'

/** How long the time of a stream counts, ms. */
const ttlMs = 60_000

/** How slowly the recent streams of a service were written: the slowest bounds how long a further one takes from its first event to its end. */
export class StreamPace {
  #slowest = new SlidingMax(ttlMs)

  /** Notes a complete stream; `tookMs`: from its first event to its end, `maxTokens`: as its caller declared, 0 if not at all. */
  note (tookMs: number, maxTokens: number, at: number): void {
    if (maxTokens > 0) this.#slowest.note(at, tookMs / maxTokens)
  }

  /** Longest expected time from the first event to the end, ms; null if the stream declares no length, or none ended recently. */
  estimateMs (maxTokens: number, at: number): number | null {
    const msPerToken = this.#slowest.find(at, -1)
    return maxTokens === 0 || msPerToken < 0 ? null : msPerToken * maxTokens
  }
}
