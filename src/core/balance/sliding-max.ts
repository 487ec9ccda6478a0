/** The maximum over a sliding window of `windowMs`. */
export class SlidingMax {
  #windowMs: number
  #noted: { readonly at: number, readonly value: number }[] = []

  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  // A value is dropped once a later one is at least as large: it can't be the maximum any more.
  note (at: number, value: number): void {
    this.#noted = this.#noted.filter(one => one.value > value && at - one.at <= this.#windowMs)
    this.#noted.push({ at, value })
  }

  /** The maximum; `fallback` if there is no value in the window. */
  find (at: number, fallback: number): number {
    const recent = this.#noted.filter(one => at - one.at <= this.#windowMs).map(one => one.value)
    return recent.length === 0 ? fallback : Math.max(...recent)
  }
}
