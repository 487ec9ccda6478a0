/** The pause that a stream makes while its engine reads prompts, as seen in the last streams. */

/** Pauses that are kept: those of some seconds of a busy service, so that a change of load shows. */
const mostKept = 240
/** Pauses that must be seen before they count. */
const leastKept = 24
/** A stream makes dozens of pauses, and its longest decides: at 0.9 half of the streams of some hundred events had a pause too long. */
const quantile = 0.99
/** What was seen is told to other boxes for so long, ms: a box without streams knows nothing of the load now. */
const freshMs = 5000
/** Pauses that are added before the quantile is worked out anew: sorting costs more than a choice. */
const refreshAfter = 12

export class ReadingPause {
  #kept: number[] = []
  #next = 0
  #added = 0
  #addedAt = -Infinity
  #valueMs: number | null = null

  /** The pause, ms, at an engine of middling speed; null where too few were seen, or none of late. */
  find (at: number): number | null {
    return at - this.#addedAt <= freshMs ? this.#valueMs : null
  }

  /** Adds a pause of `ms` at an engine `slowness` times slower than the middle one. */
  add (ms: number, slowness: number, at: number): void {
    this.#addedAt = at
    this.#kept[this.#next] = ms / slowness
    this.#next = (this.#next + 1) % mostKept
    this.#added += 1
    if (this.#kept.length >= leastKept && this.#added % refreshAfter === 0) this.#refresh()
  }

  #refresh (): void {
    const sorted = [...this.#kept].sort((a, b) => a - b)
    this.#valueMs = sorted[Math.floor((sorted.length - 1) * quantile)]
  }
}
