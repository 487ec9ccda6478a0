interface Entry {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** A queue of things to do in virtual time: earliest first, equal ones in order of arrival. */
export class EventQueue {
  #heap: Entry[] = []
  #order = 0
  #now = 0

  /** Virtual time, ms. */
  get now (): number { return this.#now }

  /** Does `run` after `delayMs`. */
  after (delayMs: number, run: () => void): void {
    this.#push({ at: this.#now + delayMs, order: this.#order, run })
    this.#order += 1
  }

  /** Does everything due up to `until`. */
  runUntil (until: number): void {
    while (this.#heap.length > 0 && this.#heap[0].at <= until) {
      const next = this.#pop()
      this.#now = next.at
      next.run()
    }
    this.#now = until
  }

  #push (entry: Entry): void {
    const heap = this.#heap
    let at = heap.length
    heap.push(entry)
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!isBefore(entry, heap[parent])) break
      heap[at] = heap[parent]
      at = parent
    }
    heap[at] = entry
  }

  #pop (): Entry {
    const heap = this.#heap
    const top = heap[0]
    const last = heap.pop() as Entry
    if (heap.length === 0) return top
    let at = 0
    for (;;) {
      let child = at * 2 + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child += 1
      if (!isBefore(heap[child], last)) break
      heap[at] = heap[child]
      at = child
    }
    heap[at] = last
    return top
  }
}

function isBefore (a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
