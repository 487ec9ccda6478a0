/** An average in which old samples fade. The first samples count fully. */
export class FadingAverage {
  #value: number
  #count = 0
  #gain: number

  /** `gain`: weight of the newest sample once there are many, 0 to 1. */
  constructor (initial: number, gain: number) {
    this.#value = initial
    this.#gain = gain
  }

  get value (): number { return this.#value }
  get count (): number { return this.#count }

  add (sample: number): void {
    this.#count += 1
    this.#value += (sample - this.#value) * Math.max(this.#gain, 1 / (this.#count + 1))
  }
}
