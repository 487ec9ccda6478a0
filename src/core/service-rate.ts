const gainOfNewest = 0.05
const firstGuessMs = 2000

/** Learns how long a place stays taken, to predict waits. Times in ms. */
export class ServiceRate {
  #meanMs = firstGuessMs
  #samples = 0

  /** Mean time from grant to end. */
  get meanMs (): number { return this.#meanMs }

  add (heldMs: number): void {
    this.#samples += 1
    const gain = Math.max(gainOfNewest, 1 / (this.#samples + 1))
    this.#meanMs += (heldMs - this.#meanMs) * gain
  }

  /** Expected wait of a request behind `ahead` others, on `places` places. */
  predictWait (ahead: number, places: number): number {
    if (places <= 0) return Infinity
    return (ahead + 1) * this.#meanMs / places
  }
}
