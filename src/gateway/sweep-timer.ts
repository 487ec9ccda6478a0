import { sweepIntervalMs } from './gateway-timing.js'

/** A box counts as held up if its checks are this far apart, ms: less than the shortest silence from which they conclude anything. */
const heldUpMs = 200
/** Time in which a box that was held up reads what has arrived meanwhile, ms: an interval of the checks of its links, and a little more. */
const catchUpMs = 120

/**
 * Runs the periodic checks of a box. After it was held up, suspended or busy with one long task, its timers may be due before
 * it has read what arrived meanwhile. Its checks wait until it has, so that it doesn't take its own silence for that of others.
 */
export class SweepTimer {
  #now: () => number
  #sweep: (at: number) => void
  #noteHeldUp: (ms: number) => void
  #timer: NodeJS.Timeout | null = null
  #tickedAt = 0
  #previousTickAt = 0
  /** Until when the checks wait; null while they don't. */
  #waitsUntil: number | null = null

  /** `now`: monotonic time, ms. `noteHeldUp`: called with the time for which the box was held up, ms. */
  constructor (now: () => number, sweep: (at: number) => void, noteHeldUp: (ms: number) => void) {
    this.#now = now
    this.#sweep = sweep
    this.#noteHeldUp = noteHeldUp
  }

  /** The earliest time at which a signal that is handled now can have been sent, ms: signals are read between two ticks. */
  get earliestSignalAt (): number { return this.#previousTickAt }

  start (): void {
    this.#tickedAt = this.#now()
    this.#previousTickAt = this.#tickedAt
    this.#timer = setInterval(() => this.#tick(), sweepIntervalMs)
  }

  stop (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
  }

  // The wait isn't prolonged, so that a box which is always late still makes its checks.
  #tick (): void {
    const at = this.#now()
    const sinceMs = at - this.#tickedAt
    if (sinceMs > heldUpMs) this.#noteHeldUp(sinceMs)
    if (this.#waitsUntil === null && sinceMs > heldUpMs) this.#waitsUntil = at + catchUpMs
    this.#previousTickAt = this.#tickedAt
    this.#tickedAt = at
    if (this.#waitsUntil !== null && at < this.#waitsUntil) return
    this.#waitsUntil = null
    this.#sweep(at)
  }
}
