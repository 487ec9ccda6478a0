import { decodeHeaderText, isHeaderText } from '../core/index.js'
import type { StreamEvent } from './event-splitter.js'

/** Statistics of the events relayed to the caller, from all endpoints that continued the stream. */
export class PassedEvents {
  #lastId: string | null
  #count = 0
  #lastAt = 0
  #maxPauseMs = 0

  /** `lastId`: id of the last event that the caller received in an earlier request. */
  constructor (lastId: string | null) {
    this.#lastId = lastId
  }

  /** Id of the last event with one; null if none had. */
  get lastId (): string | null { return this.#lastId }

  /** True if a request can name the event after which the stream goes on, or no event was passed on. */
  get canResume (): boolean {
    if (this.#lastId === null) return this.#count === 0
    return this.#lastId !== '' && isHeaderText(decodeHeaderText(this.#lastId))
  }

  get figures (): { readonly events: number, readonly maxPauseMs: number } { return { events: this.#count, maxPauseMs: this.#maxPauseMs } }

  /** Notes events that are written together. Returns the time before them, ms, if it is a single one; null for the first and for several. */
  add (events: readonly StreamEvent[], at: number): number | null {
    const pauseMs = this.#count === 0 ? null : at - this.#lastAt
    this.#maxPauseMs = Math.max(this.#maxPauseMs, pauseMs ?? 0)
    this.#lastAt = at
    this.#count += events.length
    for (const { id } of events) this.#lastId = id ?? this.#lastId
    return events.length === 1 ? pauseMs : null
  }
}
