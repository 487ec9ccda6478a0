/** Waits that end at their deadlines, and all at once when their owner ends them. */
import { performance } from 'node:perf_hooks'

export class BoundedWaits {
  #ends = new Set<() => void>()
  #areEnded = false

  /** True once all waits were ended; further ones then end at once. */
  get areEnded (): boolean { return this.#areEnded }

  /** Resolves with the result, or with `fallback` at the deadline, as of `performance.now()`. */
  limit<T> (result: Promise<T>, deadline: number, fallback: T): Promise<T> {
    return new Promise((resolve, reject) => {
      const end = (): void => {
        clearTimeout(timer)
        this.#ends.delete(end)
        resolve(fallback)
      }
      const timer = setTimeout(end, Math.max(0, deadline - performance.now()))
      this.#ends.add(end)
      result.then(resolve, reject).finally(end)
      if (this.#areEnded) end()
    })
  }

  async pause (ms: number): Promise<void> {
    await this.limit(new Promise<void>(() => {}), performance.now() + ms, undefined)
  }

  /** Ends all waits. */
  end (): void {
    this.#areEnded = true
    for (const end of [...this.#ends]) end()
  }
}
