/** Gathers what comes within a short time, so that it goes out as one. */
export class Gatherer<Item> {
  #waitMs: number
  #take: (items: readonly Item[]) => void
  #items: Item[] = []

  /** `take` is called with what came, in order, `waitMs` after the first of it. */
  constructor (waitMs: number, take: (items: readonly Item[]) => void) {
    this.#waitMs = waitMs
    this.#take = take
  }

  add (item: Item): void {
    this.#items.push(item)
    if (this.#items.length === 1) setTimeout(() => this.#flush(), this.#waitMs)
  }

  #flush (): void {
    const items = this.#items
    this.#items = []
    this.#take(items)
  }
}
