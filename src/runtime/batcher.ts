/** Batches items that are added within a short time. */
export class Batcher<Item> {
  #delayMs: number
  #deliver: (items: readonly Item[]) => void
  #items: Item[] = []

  /** `deliver` gets each batch in order, `delayMs` after its first item was added. */
  constructor (delayMs: number, deliver: (items: readonly Item[]) => void) {
    this.#delayMs = delayMs
    this.#deliver = deliver
  }

  add (item: Item): void {
    this.#items.push(item)
    if (this.#items.length === 1) setTimeout(() => this.#flush(), this.#delayMs)
  }

  #flush (): void {
    const items = this.#items
    this.#items = []
    this.#deliver(items)
  }
}
