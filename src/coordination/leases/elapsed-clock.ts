/**
 * Measures elapsed time on a box that may be suspended or have its wall clock
 * set. The monotonic clock of some boxes stops during suspension; the wall clock
 * continues, but can jump. Each interval between two readings counts as the
 * larger of the two differences, so a lease is never taken to last longer than
 * it does: setting the wall clock back subtracts nothing, and a later suspension
 * still counts. A suspension and a backward step within the same interval can
 * cancel out unnoticed, so the clock must be read often.
 */

/** Simultaneous readings of both clocks of a box, ms. */
export interface ClockReading {
  /** Monotonic clock. */
  readonly monotonic: number
  /** Wall clock. */
  readonly wall: number
}

export class ElapsedClock {
  #previous: ClockReading
  #elapsedMs = 0

  constructor (start: ClockReading) {
    this.#previous = start
  }

  /** Upper estimate of the time since construction, ms. */
  read (now: ClockReading): number {
    this.#elapsedMs += Math.max(0, now.monotonic - this.#previous.monotonic, now.wall - this.#previous.wall)
    this.#previous = now
    return this.#elapsedMs
  }
}
