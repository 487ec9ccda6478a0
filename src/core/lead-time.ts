const gainOfNewest = 0.05
const deviations = 2
const firstGuessMs = 50

/**
 * Learns how long the first token takes once a place is granted: the mean and
 * the mean deviation, as TCP learns its round trips (Jacobson, 1988).
 */
export class LeadTime {
  #meanMs = firstGuessMs
  #deviationMs = 0
  #samples = 0

  /** A time that most first tokens keep, ms. */
  get safeMs (): number { return this.#meanMs + deviations * this.#deviationMs }

  add (ms: number): void {
    this.#samples += 1
    const gain = Math.max(gainOfNewest, 1 / this.#samples)
    this.#deviationMs += (Math.abs(ms - this.#meanMs) - this.#deviationMs) * gain
    this.#meanMs += (ms - this.#meanMs) * gain
  }
}
