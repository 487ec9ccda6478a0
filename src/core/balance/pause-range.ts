/** The pauses that recent requests of a service tolerate. */
import { SlidingMax } from './sliding-max.js'

/** Requests older than this are ignored, ms. */
const retentionMs = 60_000

export class PauseRange {
  #longest = new SlidingMax(retentionMs)
  /** Maximum of the negated pauses, that is, the negated shortest pause. */
  #shortest = new SlidingMax(retentionMs)

  /** Records a request that tolerates pauses of `pauseMs`. */
  note (at: number, pauseMs: number): void {
    this.#longest.note(at, pauseMs)
    this.#shortest.note(at, -pauseMs)
  }

  /** The shortest pause that any recent request tolerates, ms; null if none is known. */
  findShortest (at: number): number | null {
    const shortest = -this.#shortest.find(at, 0)
    return shortest === 0 ? null : shortest
  }

  /** The longest pause that any recent request tolerates, ms, if others tolerate less; null if all are alike. */
  findLongest (at: number): number | null {
    const longest = this.#longest.find(at, 0)
    return longest > -this.#shortest.find(at, 0) ? longest : null
  }
}
