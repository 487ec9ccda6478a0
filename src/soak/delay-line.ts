import { performance } from 'node:perf_hooks'

interface Waiting {
  readonly at: number
  readonly pass: () => void
}

/** Lets things pass late, but never one before another that came earlier. */
export class DelayLine {
  #waiting: Waiting[] = []
  #dueAt = 0
  #timer: NodeJS.Timeout | null = null
  #isClosed = false

  /** Calls `pass` after this time, ms, and after all that came before. */
  add (delayMs: number, pass: () => void): void {
    const now = performance.now()
    this.#dueAt = Math.max(this.#dueAt, now + delayMs)
    if (this.#dueAt <= now && this.#waiting.length === 0) return pass()
    this.#waiting.push({ at: this.#dueAt, pass })
    this.#schedule(now)
  }

  /** What waits does not pass any more. */
  close (): void {
    this.#isClosed = true
    this.#waiting = []
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #schedule (now: number): void {
    if (this.#isClosed || this.#timer !== null || this.#waiting.length === 0) return
    this.#timer = setTimeout(() => this.#passDue(), Math.max(0, this.#waiting[0].at - now))
  }

  #passDue (): void {
    this.#timer = null
    const now = performance.now()
    while (this.#waiting.length > 0 && this.#waiting[0].at <= now) this.#waiting.shift()?.pass()
    this.#schedule(now)
  }
}
