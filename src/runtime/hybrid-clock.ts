/** A hybrid logical timestamp: wall time in ms, and a counter within one ms. */
export interface HybridTime {
  readonly ms: number
  readonly count: number
}

/**
 * A hybrid logical clock (Kulkarni et al., 2014): close to wall time, and never
 * behind the timestamps of received messages.
 */
export class HybridClock {
  #now: () => number
  #ms = 0
  #count = 0

  constructor (now: () => number) {
    this.#now = now
  }

  /** Advances the clock and returns the timestamp for a local event. */
  read (): HybridTime {
    const wall = this.#now()
    if (wall > this.#ms) {
      this.#ms = wall
      this.#count = 0
    } else {
      this.#count += 1
    }
    return { ms: this.#ms, count: this.#count }
  }

  /** Advances the clock to the timestamp of a received message. */
  merge (received: HybridTime): void {
    if (received.ms > this.#ms) {
      this.#ms = received.ms
      this.#count = received.count
    } else if (received.ms === this.#ms) {
      this.#count = Math.max(this.#count, received.count)
    }
  }
}

/** Formats a timestamp as `ms.count`, which sorts in order of time. */
export function formatTime (time: HybridTime): string {
  return `${time.ms}.${String(time.count).padStart(4, '0')}`
}
