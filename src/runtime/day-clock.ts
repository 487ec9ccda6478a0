/**
 * A wall clock that tolerates steps of the system time: it applies small
 * corrections at once, and larger steps only after they have persisted. After a
 * suspend during which the monotonic clock stopped, it is behind until then.
 */

/** Corrections up to this are attributed to time synchronization and applied at once, ms. */
const maxSlewMs = 100
/** A step is applied after it has persisted for this long, ms; a clock that was set wrongly is usually corrected sooner. */
const stepConfirmMs = 60_000

export class DayClock {
  #monotonic: () => number
  #wall: () => number
  #offset: number
  #stepSeenAt: number | null = null

  constructor (monotonic: () => number, wall: () => number) {
    this.#monotonic = monotonic
    this.#wall = wall
    this.#offset = wall() - monotonic()
  }

  /** The time, ms since 1970. */
  read (): number { return this.convert(this.#monotonic()) }

  /** Converts a time of the monotonic clock to ms since 1970. */
  convert (monotonicMs: number): number {
    this.#updateOffset()
    return monotonicMs + this.#offset
  }

  #updateOffset (): void {
    const nowMs = this.#monotonic()
    const offset = this.#wall() - nowMs
    if (Math.abs(offset - this.#offset) <= maxSlewMs) {
      this.#offset = offset
      this.#stepSeenAt = null
      return
    }
    this.#stepSeenAt ??= nowMs
    if (nowMs - this.#stepSeenAt < stepConfirmMs) return
    this.#offset = offset
    this.#stepSeenAt = null
  }
}
