/** A point of the time line: wall milliseconds and a counter within them. */
export interface HybridTime {
  readonly ms: number
  readonly count: number
}

/**
 * A hybrid logical clock (Kulkarni et al., 2014): close to wall time, and later
 * than every event that was heard of.
 */
export class HybridClock {
  #now: () => number
  #ms = 0
  #count = 0

  constructor (now: () => number) {
    this.#now = now
  }

  /** The time of an event of this process. */
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

  /** Takes in the time of a message from another process. */
  merge (heard: HybridTime): void {
    if (heard.ms > this.#ms) {
      this.#ms = heard.ms
      this.#count = heard.count
    } else if (heard.ms === this.#ms) {
      this.#count = Math.max(this.#count, heard.count)
    }
  }
}

/** Writes a time as `ms.count`, which sorts as the times do. */
export function formatTime (time: HybridTime): string {
  return `${time.ms}.${String(time.count).padStart(4, '0')}`
}
