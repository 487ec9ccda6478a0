import { performance } from 'node:perf_hooks'

interface QueuedCallback {
  readonly dueAt: number
  readonly run: () => void
}

/** Lets things pass late, but never one before another that came earlier. */
export class DelayLine {
  #queue: QueuedCallback[] = []
  #dueAt = 0
  #timer: NodeJS.Timeout | null = null
  #isClosed = false

  /** Calls `pass` after this time, ms, and after all that came before. */
  add (delayMs: number, run: () => void): void {
    const now = performance.now()
    this.#dueAt = Math.max(this.#dueAt, now + delayMs)
    if (this.#dueAt <= now && this.#queue.length === 0) return run()
    this.#queue.push({ dueAt: this.#dueAt, run })
    this.#schedule(now)
  }

  /** What waits does not pass any more. */
  close (): void {
    this.#isClosed = true
    this.#queue = []
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #schedule (now: number): void {
    if (this.#isClosed || this.#timer !== null || this.#queue.length === 0) return
    this.#timer = setTimeout(() => this.#runDue(), Math.max(0, this.#queue[0].dueAt - now))
  }

  #runDue (): void {
    this.#timer = null
    const now = performance.now()
    while (this.#queue.length > 0 && this.#queue[0].dueAt <= now) this.#queue.shift()?.run()
    this.#schedule(now)
  }
}
