/**
 * Belief in an endpoint's health, from the outcomes of real work alone: a
 * health check may lie, costs the endpoint a place, and says nothing on errors.
 */

/** A refused connection says at once that nobody listens. First wait before the next try, ms; doubles. */
const firstOutMs = 250
/** Longest wait, ms: crashed endpoints of the users' days are back within 2 to 5 s. */
const longestOutMs = 2000
/** Broken answers in a row that put an endpoint out. One alone may be a lost answer. */
const breaksToEject = 2
/** For so long after one broken answer an endpoint is taken last, ms. */
const doubtMs = 700
/** Weight of the newest outcome in the share of failures. */
const gainOfNewest = 0.12

/** `probing`: nobody listened there; a connection may be tried to see whether somebody does now. */
export type TrustState = 'good' | 'doubtful' | 'out' | 'probing'

export class EndpointTrust {
  #breaks = 0
  #outMs = firstOutMs
  #outUntil = -Infinity
  #doubtUntil = -Infinity
  #failures = 0
  #isReachable = true

  /** False where no connection came about: the endpoint is out until one does. */
  get isReachable (): boolean { return this.#isReachable }

  /** Share of the last answers that were failures of the endpoint's own, 0 to 1. */
  get failureShare (): number { return this.#failures }

  look (at: number): TrustState {
    if (at < this.#outUntil) return 'out'
    if (!this.#isReachable) return 'probing'
    return at < this.#doubtUntil ? 'doubtful' : 'good'
  }

  /** No connection came about. */
  noteUnreachable (at: number): void {
    this.#isReachable = false
    this.#eject(at)
  }

  /** A connection came about that was tried for its own sake. */
  noteReachable (at: number): void {
    this.#isReachable = true
    this.#outUntil = -Infinity
    this.#doubtUntil = at
  }

  /** The connection broke, or went silent, after the request was written. */
  noteBroken (at: number): void {
    this.#breaks += 1
    this.#doubtUntil = at + doubtMs
    this.#addOutcome(1)
    if (this.#breaks >= breaksToEject) this.#eject(at)
  }

  /** The endpoint answered with a failure of its own. */
  noteFailure (): void {
    this.#breaks = 0
    this.#addOutcome(1)
  }

  /** The endpoint works: it began an answer, or turned a request away in good form. */
  noteGood (): void {
    this.#breaks = 0
    this.#outMs = firstOutMs
    this.#outUntil = -Infinity
    this.#isReachable = true
    this.#addOutcome(0)
  }

  #addOutcome (failure: number): void {
    this.#failures += (failure - this.#failures) * gainOfNewest
  }

  #eject (at: number): void {
    this.#outUntil = at + this.#outMs
    this.#outMs = Math.min(longestOutMs, this.#outMs * 2)
  }
}
