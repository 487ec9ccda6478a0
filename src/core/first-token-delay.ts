const smoothingGain = 0.05
const deviations = 2
const initialMs = 50

/**
 * Estimates the time from grant to first token by its moving mean and mean
 * deviation, as TCP estimates round-trip times (Jacobson, 1988).
 */
export class FirstTokenDelay {
  #meanMs = initialMs
  #deviationMs = 0
  #samples = 0

  /** Upper estimate, which most first tokens meet, ms. */
  get upperMs (): number { return this.#meanMs + deviations * this.#deviationMs }

  add (ms: number): void {
    this.#samples += 1
    const gain = Math.max(smoothingGain, 1 / this.#samples)
    this.#deviationMs += (Math.abs(ms - this.#meanMs) - this.#deviationMs) * gain
    this.#meanMs += (ms - this.#meanMs) * gain
  }
}
