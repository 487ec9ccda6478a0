const smoothingGain = 0.05
const initialMs = 2000

/** Estimates how long a request occupies a place, to predict waiting times. Times in ms. */
export class ServiceTime {
  #meanMs = initialMs
  #samples = 0

  /** Moving mean of the time from grant to end. */
  get meanMs (): number { return this.#meanMs }

  add (serviceMs: number): void {
    this.#samples += 1
    const gain = Math.max(smoothingGain, 1 / (this.#samples + 1))
    this.#meanMs += (serviceMs - this.#meanMs) * gain
  }

  /** Expected wait of a request behind `ahead` others with `places` places. Infinity without places. */
  predictWait (ahead: number, places: number): number {
    if (places <= 0) return Infinity
    return (ahead + 1) * this.#meanMs / places
  }
}
