import { ExponentialAverage } from './average.js'

/** Weight of the newest first event: a burst must show within a second. */
const newestWeight = 0.08
/** Upper bound on the lateness of a single first event: one that hangs says nothing about the others. */
const maxLateness = 6

/**
 * Ratio of the actual to the expected time to first event, by kind. Averaged over all kinds, it would overestimate
 * the lateness of kinds that do not wait for one another.
 */
export class Lateness {
  #byLevel = new Map<number, ExponentialAverage>()

  /** The lateness of a kind by its level; 1 (on time) before any was measured. */
  find (level: number): number { return this.#byLevel.get(level)?.value ?? 1 }

  add (level: number, ratio: number): void {
    let average = this.#byLevel.get(level)
    if (average === undefined) this.#byLevel.set(level, average = new ExponentialAverage(1, newestWeight))
    average.add(Math.min(maxLateness, ratio))
  }

  /** For the log: each kind's level and lateness. */
  describe (): string {
    return [...this.#byLevel].sort(([a], [b]) => a - b).map(([level, average]) => `${level}:${average.value.toFixed(2)}`).join(',') || '-'
  }
}
