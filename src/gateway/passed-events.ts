import type { NumberedEvent } from './event-cutter.js'

/** The events of a stream that the caller was given, from whichever endpoints they came. */
export class PassedEvents {
  #lastId: string | null
  #count = 0
  #at = 0
  #longestPauseMs = 0

  /** `lastId`: of the last event that the caller has from before. */
  constructor (lastId: string | null) {
    this.#lastId = lastId
  }

  get lastId (): string | null { return this.#lastId }
  get count (): number { return this.#count }
  get longestPauseMs (): number { return this.#longestPauseMs }

  /** Notes events that go out together. Returns the pause before them, ms; null for the first ones. */
  add (events: readonly NumberedEvent[], at: number): number | null {
    const pauseMs = this.#count === 0 ? null : at - this.#at
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs ?? 0)
    this.#at = at
    this.#count += events.length
    for (const { id } of events) this.#lastId = id ?? this.#lastId
    return pauseMs
  }
}
