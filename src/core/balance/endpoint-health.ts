/**
 * Belief in an endpoint's health, from the outcomes of real work alone: a
 * health check may lie, costs the endpoint a place, and says nothing on errors.
 */

/** A refused connection says at once that nobody listens. First wait before the next try, ms; doubles. */
const initialEjectionMs = 250
/** Longest wait, ms: crashed endpoints of the users' days are back within 2 to 5 s. */
const maxEjectionMs = 2000
/** Broken answers in a row that put an endpoint out. One alone may be a lost answer. */
const breaksToEject = 2
/** For so long after one broken answer an endpoint is taken last, ms. */
const doubtfulMs = 700
/** Weight of the newest outcome in the share of failures. */
const newestWeight = 0.12

/** `probing`: nobody listened there; a connection may be tried to see whether somebody does now. */
export type HealthState = 'good' | 'doubtful' | 'out' | 'probing'

export class EndpointHealth {
  #breaks = 0
  #ejectionMs = initialEjectionMs
  #ejectedUntil = -Infinity
  #doubtfulUntil = -Infinity
  #failureShare = 0
  #isReachable = true

  /** False where no connection came about: the endpoint is out until one does. */
  get isReachable (): boolean { return this.#isReachable }

  /** Share of the last answers that were failures of the endpoint's own, 0 to 1. */
  get failureShare (): number { return this.#failureShare }

  look (at: number): HealthState {
    if (at < this.#ejectedUntil) return 'out'
    if (!this.#isReachable) return 'probing'
    return at < this.#doubtfulUntil ? 'doubtful' : 'good'
  }

  /** No connection came about. */
  noteUnreachable (at: number): void {
    this.#isReachable = false
    this.#eject(at)
  }

  /** A connection came about that was tried for its own sake. */
  noteReachable (at: number): void {
    this.#isReachable = true
    this.#ejectedUntil = -Infinity
    this.#doubtfulUntil = at
  }

  /** The connection broke, or went silent, after the request was written. */
  noteBroken (at: number): void {
    this.#breaks += 1
    this.#doubtfulUntil = at + doubtfulMs
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
    this.#ejectionMs = initialEjectionMs
    this.#ejectedUntil = -Infinity
    this.#isReachable = true
    this.#addOutcome(0)
  }

  #addOutcome (failure: number): void {
    this.#failureShare += (failure - this.#failureShare) * newestWeight
  }

  #eject (at: number): void {
    this.#ejectedUntil = at + this.#ejectionMs
    this.#ejectionMs = Math.min(maxEjectionMs, this.#ejectionMs * 2)
  }
}
