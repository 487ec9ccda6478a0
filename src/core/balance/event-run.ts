/**
 * Measures the time between events of a stream over runs of events.
 *
 * The load that this answers: boxes that are busy with many streams receive events late, and several of them at once.
 * Gaps between single events are then up to ten times too short, so that the engines with the most streams pass for
 * the fastest and attract more. Within a run, the delays of single events cancel out.
 */

/** Events received together, and the time since the events before them, ms. */
export interface EventGap {
  readonly ms: number
  readonly events: number
}

/** Number of gaps in a run: a delay of one event by a whole gap changes the mean by an eighth. */
const gapsPerRun = 8
/** A longer gap ends a run, ms: the box or the engine stood still. */
const maxGapMs = 2000

export class EventRun {
  #events = 0
  #totalMs = 0

  /** Adds a gap; returns the mean gap, ms, if it completes a run. A gap beside prompt reading starts the run anew. */
  add ({ ms, events }: EventGap, isReading: boolean): number | null {
    if (isReading || ms > maxGapMs) {
      this.#reset()
      return null
    }
    this.#events += events
    this.#totalMs += ms
    if (this.#events < gapsPerRun) return null
    const meanMs = this.#totalMs / this.#events
    this.#reset()
    return meanMs
  }

  #reset (): void {
    this.#events = 0
    this.#totalMs = 0
  }
}
