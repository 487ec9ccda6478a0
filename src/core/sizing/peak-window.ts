/** The highest of what was noted within a window that slides, in steps so that it holds few figures. */
export class PeakWindow {
  #stepMs: number
  #steps: number
  /** The highest of each step, the newest last. */
  #peaks: { readonly step: number, peak: number }[] = []

  constructor (windowMs: number, steps: number) {
    this.#stepMs = windowMs / steps
    this.#steps = steps
  }

  note (at: number, value: number): void {
    const step = Math.floor(at / this.#stepMs)
    const last = this.#peaks.at(-1)
    if (last !== undefined && last.step === step) last.peak = Math.max(last.peak, value)
    else this.#peaks.push({ step, peak: value })
    this.#peaks = this.#peaks.filter(one => one.step > step - this.#steps)
  }

  /** The highest within the window; 0 where nothing was noted. */
  get peak (): number { return this.#peaks.reduce((most, one) => Math.max(most, one.peak), 0) }
}
