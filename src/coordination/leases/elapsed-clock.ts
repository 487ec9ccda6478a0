/**
 * How much time has passed, for a box that may be suspended and whose time of
 * day may be set. Its steady clock stands still while some boxes are suspended;
 * the time of day goes on, but jumps. Of each stretch between two readings the
 * larger counts, so that a lease is never believed to last longer than it does:
 * a time of day that was set back takes nothing off, and a sleep after it is
 * counted all the same. Both faults within one stretch go unseen, so that it is
 * to be read often.
 */

/** Both clocks of a box at one moment, ms. */
export interface ClockReading {
  /** Rises only. */
  readonly steady: number
  /** Time of day. */
  readonly wall: number
}

export class ElapsedClock {
  #previous: ClockReading
  #elapsedMs = 0

  constructor (start: ClockReading) {
    this.#previous = start
  }

  /** The most that may have passed since the start, ms. */
  read (now: ClockReading): number {
    this.#elapsedMs += Math.max(0, now.steady - this.#previous.steady, now.wall - this.#previous.wall)
    this.#previous = now
    return this.#elapsedMs
  }
}
