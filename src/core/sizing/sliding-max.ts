/** Maximum over a sliding window, which advances in steps to bound memory. */
export class SlidingMax {
  #stepMs: number
  #steps: number
  /** The maximum of each step, newest last. */
  #maxima: { readonly step: number, peak: number }[] = []

  constructor (windowMs: number, steps: number) {
    this.#stepMs = windowMs / steps
    this.#steps = steps
  }

  add (at: number, value: number): void {
    const step = Math.floor(at / this.#stepMs)
    const last = this.#maxima.at(-1)
    if (last !== undefined && last.step === step) last.peak = Math.max(last.peak, value)
    else this.#maxima.push({ step, peak: value })
    this.#maxima = this.#maxima.filter(one => one.step > step - this.#steps)
  }

  /** The maximum within the window up to the last value added; 0 if it is empty. */
  get max (): number { return this.#maxima.reduce((most, one) => Math.max(most, one.peak), 0) }
}
