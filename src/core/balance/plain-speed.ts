/**
 * Learns how long one plain endpoint takes for an answer. Load: a quarter of the endpoints is half as fast as the
 * others all the time, and each is 2.5 times slower for stretches of 600 ms. The usual time is a median, which the
 * stretches don't move; the ratio to it rises within a few answers and fades when the stretch is over.
 */

/** Number of first answers of which the usual time is the average; after them, it is moved in small steps. */
const averagedAnswers = 6
/** Relative step of the usual time per answer. */
const usualStep = 0.03
/** Weight of the newest answer in the ratio to the usual time, if it is slower or faster than the ratio. */
const slowerWeight = 0.5
const fasterWeight = 0.25
/** Time constant with which the ratio fades without answers, ms: about half a slow stretch. */
const ratioFadeMs = 300
/** Time constant with which the usual time of an endpoint without answers returns to that of its service, ms: it is then tried again. */
const usualFadeMs = 8000
/** A request in flight for this many times the usual time shows that its endpoint is slow before it has answered. */
const overdueRatio = 1.3

export class PlainSpeed {
  #usualMs = 0
  #count = 0
  #ratio = 1
  #answeredAt = -Infinity

  /** Usual time of an answer, ms; null before the first. */
  get usualMs (): number | null { return this.#count === 0 ? null : this.#usualMs }

  /** Records an answer that took `tookMs` from sending. */
  note (tookMs: number, at: number): void {
    const ratio = this.#fadeRatio(at)
    this.#count += 1
    if (this.#count <= averagedAnswers) this.#usualMs += (tookMs - this.#usualMs) / this.#count
    else this.#usualMs *= tookMs > this.#usualMs ? 1 + usualStep : 1 - usualStep
    const sample = tookMs / Math.max(1, this.#usualMs)
    this.#ratio = ratio + (sample - ratio) * (sample > ratio ? slowerWeight : fasterWeight)
    this.#answeredAt = at
  }

  /** Expected time of an answer, ms. `serviceMs`: the usual one of the service's endpoints; `longestMs`: time since the oldest unanswered send of this box, 0 for none. */
  estimate (serviceMs: number, longestMs: number, at: number): number {
    const kept = this.#count === 0 ? 0 : Math.exp(-Math.max(0, at - this.#answeredAt) / usualFadeMs)
    const usualMs = serviceMs + (this.#usualMs - serviceMs) * kept
    const expectedMs = usualMs * Math.max(1, this.#fadeRatio(at))
    return longestMs > usualMs * overdueRatio ? Math.max(expectedMs, longestMs) : expectedMs
  }

  #fadeRatio (at: number): number {
    return 1 + (this.#ratio - 1) * Math.exp(-Math.max(0, at - this.#answeredAt) / ratioFadeMs)
  }
}
