/** The longest pause of a stream while its engine reads prompts, measured over recent streams of a service. */
import { SlidingMax } from './sliding-max.js'

/** Number of recent pauses over which the quantile is computed: a few seconds of a busy service. */
const maxSamples = 240
/** Minimum number of pauses: the first prompts are few, and pauses beside a single one are short. */
const minSamples = 120
/**
 * Quantile of the pauses. A stream has dozens of pauses, and its longest decides: at 0.9, half of the streams of a
 * few hundred events violate their pause limit.
 */
const quantile = 0.99
/** Number of new pauses after which the quantile is recomputed: sorting costs more than a choice. */
const refreshAfter = 12
/**
 * The largest quantile within this time is used, ms. The pause at an engine that reads continuously is a property
 * of the engine, but shows only under load: if a kind of request were classified as tolerant when the load falls,
 * its pause limits would be violated as soon as it rises.
 */
const retentionMs = 60_000

export class ReadingPause {
  #samples: number[] = []
  #next = 0
  #added = 0
  #max = new SlidingMax(retentionMs)

  /** The reading pause at an engine of median speed, ms; null until there are enough samples. */
  find (at: number): number | null {
    const most = this.#max.find(at, -1)
    return most < 0 ? null : most
  }

  /** Adds a pause at an engine slower than the median by the factor `slowness`. */
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
