/**
 * Measures the time between events of a stream over runs of events.
 *
 * The load that this answers: boxes that are busy with many streams receive events late, and several of them at once.
 * Gaps between single events are then up to ten times too short, so that the engines with the most streams pass for
 * the fastest and attract more. Within a run, the delays of single events cancel out.
 */

/** Events of a stream that were received together. */
export interface ReceivedEvents {
  readonly at: number
  readonly events: number
  /** Whether the engine was known to read a prompt when they arrived. */
  readonly isReading: boolean
}

/** Events received together, and the time since the events before them, ms. */
export interface EventGap {
  readonly ms: number
  readonly events: number
  /** Whether the engine was known to read a prompt at its start or its end. */
  readonly isReading: boolean
}

/** A gap that is complete, and the mean gap of the run that it completes, ms; null for none. */
export interface RunProgress {
  readonly gap: EventGap | null
  readonly meanMs: number | null
}

/** Number of gaps in a run: a delay of one event by a whole gap changes the mean by an eighth. */
const gapsPerRun = 8
/** A longer gap ends a run, ms: the box or the engine stood still. */
const maxGapMs = 2000

/** The current run of one stream at one endpoint. */
export class EventRun {
  #last: ReceivedEvents | null = null
  /** The gap before the last events. It is complete once others follow: the last event of a stream has fewer tokens, so that it follows sooner. */
  #latest: EventGap | null = null
  #events = 0
  #totalMs = 0

  /** Adds events. A gap beside prompt reading starts the run anew. */
  add (received: ReceivedEvents): RunProgress {
    const gap = this.#latest
    const { at, events, isReading } = received
    this.#latest = this.#last === null ? null : { ms: at - this.#last.at, events, isReading: isReading || this.#last.isReading }
    this.#last = received
    return { gap, meanMs: gap === null ? null : this.#addGap(gap) }
  }

  /** Ends the run; the next events start another. */
  end (): void {
    this.#last = null
    this.#latest = null
    this.#reset()
  }

  #addGap ({ ms, events, isReading }: EventGap): number | null {
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
