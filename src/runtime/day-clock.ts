/**
 * The time of day of a box whose clock may be stepped: it follows small
 * corrections at once, and a step only once it has stood for long. A box that
 * was suspended, and whose steady clock stood still, is behind until then.
 */

/** Corrections up to this are those of time services, ms. */
const smallStepMs = 100
/** A step that has stood for so long is taken for the truth, ms: clocks that were set wrongly are set back sooner. */
const standsMs = 60_000

export class DayClock {
  #steady: () => number
  #wall: () => number
  #offset: number
  #steppedAt: number | null = null

  constructor (steady: () => number, wall: () => number) {
    this.#steady = steady
    this.#wall = wall
    this.#offset = wall() - steady()
  }

  /** Time of day, ms since 1970. */
  read (): number { return this.convert(this.#steady()) }

  /** The time of day at a moment of the steady clock, ms since 1970. */
  convert (steadyMs: number): number {
    this.#follow()
    return steadyMs + this.#offset
  }

  #follow (): void {
    const steady = this.#steady()
    const offset = this.#wall() - steady
    if (Math.abs(offset - this.#offset) <= smallStepMs) {
      this.#offset = offset
      this.#steppedAt = null
      return
    }
    this.#steppedAt ??= steady
    if (steady - this.#steppedAt < standsMs) return
    this.#offset = offset
    this.#steppedAt = null
  }
}
