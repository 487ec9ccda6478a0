/** The pauses that the requests of a service bear, from those that came of late. */
import { RecentMost } from './sliding-max.js'

/** Kinds of request that didn't come for so long no longer count, ms. */
const retentionMs = 60_000

export class PauseRange {
  #longest = new RecentMost(retentionMs)
  /** Of the pauses' negatives: the shortest pause is the largest of them. */
  #shortest = new RecentMost(retentionMs)

  /** Notes a request that bears pauses of `pauseMs`. */
  note (at: number, pauseMs: number): void {
    this.#longest.note(at, pauseMs)
    this.#shortest.note(at, -pauseMs)
  }

  /** The longest pause that any kind bears, ms, where others bear less; null where all are alike. */
  findLongest (at: number): number | null {
    const longest = this.#longest.find(at, 0)
    return longest > -this.#shortest.find(at, 0) ? longest : null
  }
}
