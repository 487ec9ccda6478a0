interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** Priority queue of callbacks in virtual time: earliest first, in insertion order where times are equal. */
export class EventQueue {
  #heap: ScheduledEvent[] = []
  #nextOrder = 0
  #now = 0

  /** Current virtual time, ms. */
  get now (): number { return this.#now }

  /** Schedules `run` to be called `delayMs` from now. */
  schedule (delayMs: number, run: () => void): void {
    this.#push({ at: this.#now + delayMs, order: this.#nextOrder, run })
    this.#nextOrder += 1
  }

  /** Runs all callbacks that are due up to and including `until`, and advances the clock to it. */
  runUntil (until: number): void {
    while (this.#heap.length > 0 && this.#heap[0].at <= until) {
      const next = this.#pop()
      this.#now = next.at
      next.run()
    }
    this.#now = until
  }

  #push (entry: ScheduledEvent): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(entry)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, heap[parent])) break
      heap[index] = heap[parent]
      index = parent
    }
    heap[index] = entry
  }

  #pop (): ScheduledEvent {
    const heap = this.#heap
    const top = heap[0]
    const last = heap.pop() as ScheduledEvent
    if (heap.length === 0) return top
    let index = 0
    for (;;) {
      let child = index * 2 + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child += 1
      if (!isBefore(heap[child], last)) break
      heap[index] = heap[child]
      index = child
    }
    heap[index] = last
    return top
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
