/** The pause that a stream makes at worst while its engine reads prompts, as seen in the last streams of a service. */
import { RecentMost } from './sliding-max.js'

/** Pauses that are kept: those of some seconds of a busy service. */
const maxSamples = 240
/** Pauses that must be seen before they count: the first prompts are few, and pauses beside one alone are short. */
const minSamples = 120
/** A stream makes dozens of pauses, and its longest decides: at 0.9 half of the streams of some hundred events had a pause too long. */
const quantile = 0.99
/** Pauses that are added before the quantile is worked out anew: sorting costs more than a choice. */
const refreshAfter = 12
/**
 * The longest value of so long counts, ms. The pause beside an engine that reads all
 * the time belongs to the engine, but shows only while it does: a kind of request that
 * was let in beside reading as the load fell had its pauses broken as soon as it rose.
 */
const retentionMs = 60_000

export class ReadingPause {
  #samples: number[] = []
  #next = 0
  #added = 0
  #max = new RecentMost(retentionMs)

  /** The pause at an engine of middling speed, ms; null where too few were seen. */
  find (at: number): number | null {
    const most = this.#max.find(at, -1)
    return most < 0 ? null : most
  }

  /** Adds a pause of `ms` at an engine `slowness` times slower than the middle one. */
  add (ms: number, slowness: number, at: number): void {
    this.#samples[this.#next] = ms / slowness
    this.#next = (this.#next + 1) % maxSamples
    this.#added += 1
    if (this.#samples.length >= minSamples && this.#added % refreshAfter === 0) this.#refresh(at)
  }

  #refresh (at: number): void {
    const sorted = [...this.#samples].sort((a, b) => a - b)
    this.#max.note(at, sorted[Math.floor((sorted.length - 1) * quantile)])
  }
}
