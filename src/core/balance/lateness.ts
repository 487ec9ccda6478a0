import { ExponentialAverage } from './average.js'

/** Weight of the newest first event in how late they are: a burst makes them late within a second. */
const newestWeight = 0.08
/** A first event counts as at most so many times later than expected: one that hangs says nothing of the others. */
const maxLateness = 6

/**
 * How many times longer first events took than was expected of prompts as they were sent, of each kind by
 * itself: kinds that wait for one another are late more often, and drew up what was believed of the others.
 */
export class Lateness {
  #byLevel = new Map<number, ExponentialAverage>()

  /** Of a kind by its level; 1, which is on time, before any was seen. */
  find (level: number): number { return this.#byLevel.get(level)?.value ?? 1 }

  add (level: number, times: number): void {
    let average = this.#byLevel.get(level)
    if (average === undefined) this.#byLevel.set(level, average = new ExponentialAverage(1, newestWeight))
    average.add(Math.min(maxLateness, times))
  }

  /** For the log: each kind's level and its lateness. */
  describe (): string {
    return [...this.#byLevel].sort(([a], [b]) => a - b).map(([level, average]) => `${level}:${average.value.toFixed(2)}`).join(',') || '-'
  }
}
