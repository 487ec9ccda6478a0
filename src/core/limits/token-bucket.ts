/** A token bucket. It starts empty, so that no tokens are available for the time before it was created. */
export class TokenBucket {
  #perMs: number
  #burst: number
  #tokens = 0
  #at: number

  /** Adds `perSecond` tokens per second, up to `burst`. */
  constructor (perSecond: number, burst: number, at: number) {
    this.#perMs = perSecond / 1000
    this.#burst = burst
    this.#at = at
  }

  /** Changes the rate; tokens above the new burst are discarded. */
  setRate (perSecond: number, burst: number, at: number): void {
    this.#advance(at)
    this.#perMs = perSecond / 1000
    this.#burst = burst
    this.#tokens = Math.min(this.#tokens, burst)
  }

  /** Takes a token; false if there is none beyond `reserve`. */
  take (at: number, reserve = 0): boolean {
    this.#advance(at)
    if (this.#tokens < 1 + reserve) return false
    this.#tokens -= 1
    return true
  }

  /** Time until there is a token beyond `reserve`, ms; Infinity if the rate is 0. */
  measureWait (at: number, reserve = 0): number {
    this.#advance(at)
    const missing = 1 + reserve - this.#tokens
    if (missing <= 0) return 0
    return this.#perMs <= 0 ? Infinity : missing / this.#perMs
  }

  #advance (at: number): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + Math.max(0, at - this.#at) * this.#perMs)
    this.#at = Math.max(this.#at, at)
  }
}
