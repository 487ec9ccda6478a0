/**
 * The time for which a prompt token occupies an engine, learned from load totals: tokens whose prompts were read per
 * second, against the number of engines that had unread tokens meanwhile. Answers loads in which few slots are in use
 * although engines read most of the time: about 300 of 3,000 slots at the worst load of customer F.
 */

/** Range of the time, ms per token. The fastest engines measured need 0.009; above the upper bound, waits were counted as reading. */
const minMsPerToken = 0.008
const maxMsPerToken = 0.024
/** Time constant over which totals are averaged, ms: longer than two waves of 15 s. */
const averageMs = 30_000
/** Time and reading time over all engines that must have been observed before the average is used, ms: enough for a new holder to decide with its first orders. */
const minObservedMs = 1500
const minBusyMs = 5000
/** The longest time that one sample stands for, ms: it must not dominate after a pause of the planner. */
const maxStepMs = 1000

export class ReadingCost {
  #busyMs = 0
  #tokens = 0
  #observedMs = 0
  #at: number | null = null
  #agreed = Infinity

  /** Notes the number of engines with unread tokens, and the tokens read per second. */
  add (at: number, busyEngines: number, tokensPerSecond: number): void {
    const stepMs = this.#at === null ? 0 : Math.min(maxStepMs, Math.max(0, at - this.#at))
    this.#at = at
    this.#observedMs += stepMs
    const kept = Math.exp(-stepMs / averageMs)
    this.#busyMs = this.#busyMs * kept + busyEngines * stepMs
    this.#tokens = this.#tokens * kept + tokensPerSecond * stepMs / 1000
  }

  /** Notes the time per token that the gateways agree on, which contains no waiting time; null if they report none. */
  noteAgreed (msPerToken: number | null): void { this.#agreed = msPerToken ?? Infinity }

  /** Engine time per token, ms, at most the agreed one; null until enough was observed. */
  get msPerToken (): number | null {
    if (this.#observedMs < minObservedMs || this.#busyMs < minBusyMs || this.#tokens === 0) return null
    return Math.min(maxMsPerToken, Math.max(minMsPerToken, Math.min(this.#agreed, this.#busyMs / this.#tokens)))
  }
}
