import type { EventGap } from '../core/index.js'
import type { StreamEvent } from './event-splitter.js'

/** Statistics of the events relayed to the caller, from all endpoints that continued the stream. */
export class PassedEvents {
  #lastId: string | null
  #count = 0
  #lastAt = 0
  #maxPauseMs = 0
  #latestGap: EventGap | null = null
  #completeGap: EventGap | null = null

  /** `lastId`: id of the last event that the caller received in an earlier request. */
  constructor (lastId: string | null) {
    this.#lastId = lastId
  }

  get lastId (): string | null { return this.#lastId }
  get count (): number { return this.#count }
  get maxPauseMs (): number { return this.#maxPauseMs }

  /**
   * The events that preceded the latest ones, and the time before them; null if there is none. The time before the last
   * event of a stream never appears: that event has fewer tokens, so that it follows sooner.
   */
  get completeGap (): EventGap | null { return this.#completeGap }

  /** Notes events that are written together. Returns the time before them, ms, if it is a single one; null for the first and for several. */
  add (events: readonly StreamEvent[], at: number): number | null {
    const pauseMs = this.#count === 0 ? null : at - this.#lastAt
    this.#completeGap = this.#latestGap
    this.#latestGap = pauseMs === null ? null : { ms: pauseMs, events: events.length }
    this.#maxPauseMs = Math.max(this.#maxPauseMs, pauseMs ?? 0)
    this.#lastAt = at
    this.#count += events.length
    for (const { id } of events) this.#lastId = id ?? this.#lastId
    return events.length === 1 ? pauseMs : null
  }
}
