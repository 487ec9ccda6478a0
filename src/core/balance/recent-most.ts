/** The largest of what was noted over the last while. */
export class RecentMost {
  #windowMs: number
  #noted: { readonly at: number, readonly value: number }[] = []

  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  note (at: number, value: number): void {
    this.#noted = this.#noted.filter(one => one.value > value && at - one.at <= this.#windowMs)
    this.#noted.push({ at, value })
  }

  /** `fallback` where nothing was noted for so long. */
  find (at: number, fallback: number): number {
    const recent = this.#noted.filter(one => at - one.at <= this.#windowMs).map(one => one.value)
    return recent.length === 0 ? fallback : Math.max(...recent)
  }
}
