import { performance } from 'node:perf_hooks'

interface QueuedCallback {
  readonly dueAt: number
  readonly run: () => void
}

/** Runs callbacks after a delay, always in the order in which they were added. */
export class DelayLine {
  #queue: QueuedCallback[] = []
  #dueAt = 0
  #timer: NodeJS.Timeout | null = null
  #isClosed = false

  /** Calls `run` after `delayMs` and after all callbacks added before; synchronously if the queue is empty and no delay remains. */
  add (delayMs: number, run: () => void): void {
    const now = performance.now()
    this.#dueAt = Math.max(this.#dueAt, now + delayMs)
    if (this.#dueAt <= now && this.#queue.length === 0) return run()
    this.#queue.push({ dueAt: this.#dueAt, run })
    this.#schedule(now)
  }

  /** Discards the queued callbacks. */
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
