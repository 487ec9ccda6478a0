import { rateWindowMs } from './kind-tracker.js'

/** A kind counts as congested for this long after it was last seen so, ms; prevents oscillation when limits are lifted. */
const retentionMs = 1000
/** Longest gap between observations of congestion within one period, ms: over a longer one, engines may have been idle. */
const maxGapMs = 100

/** Tracks for which kinds the engines of a service were recently congested. */
export class CongestionTracker {
  #lastSeenAt = new Map<number, number>()
  #startedAt = Infinity
  #lastAt = -Infinity

  /** True if engines have been congested without a gap for a whole rate window. */
  isSustained (at: number): boolean { return at - this.#lastAt <= maxGapMs && at - this.#startedAt >= rateWindowMs }

  /**
   * Records the level of the most urgent kind for which engines are congested now, or Infinity if there is none.
   * Returns the most urgent level recorded within the retention time, or Infinity.
   */
  update (level: number, at: number): number {
    if (level !== Infinity) {
      if (at - this.#lastAt > maxGapMs) this.#startedAt = at
      this.#lastAt = at
      this.#lastSeenAt.set(level, at)
    }
    return [...this.#lastSeenAt].reduce((least, [known, seenAt]) => at - seenAt <= retentionMs ? Math.min(least, known) : least, Infinity)
  }
}
