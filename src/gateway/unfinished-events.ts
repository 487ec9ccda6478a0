import type { ClientMemory } from '../runtime/index.js'

/** An event of which only a part has arrived. */
export interface UnfinishedEvent {
  readonly heldBytes: number
  /** Fails the send to the endpoint that writes it. */
  drop (): void
}

/** Share of the box's budget that the unfinished events of all streams may take together. */
const maxShare = 1 / 4

/** The account of events that endpoints have begun and not ended: nobody can read them, so the largest is dropped where there is no room. */
export class UnfinishedEvents {
  #memory: ClientMemory
  #sizes = new Map<UnfinishedEvent, number>()
  #totalBytes = 0

  constructor (memory: ClientMemory) {
    this.#memory = memory
  }

  get totalBytes (): number { return this.#totalBytes }

  /** Notes the size of an event after it has changed. Drops others, or this one, while there is no room. */
  note (event: UnfinishedEvent): void {
    this.#resize(event, event.heldBytes)
    while (this.#totalBytes > this.#memory.budgetBytes * maxShare) {
      const largest = this.#findLargest()
      this.forget(largest)
      largest.drop()
    }
  }

  /** Notes that nothing of the event is held any more. */
  forget (event: UnfinishedEvent): void { this.#resize(event, 0) }

  #resize (event: UnfinishedEvent, bytes: number): void {
    const delta = bytes - (this.#sizes.get(event) ?? 0)
    if (bytes === 0) this.#sizes.delete(event)
    else this.#sizes.set(event, bytes)
    this.#totalBytes += delta
    this.#memory.noteAnswers(delta)
  }

  #findLargest (): UnfinishedEvent {
    return [...this.#sizes].reduce((largest, one) => one[1] > largest[1] ? one : largest)[0]
  }
}
