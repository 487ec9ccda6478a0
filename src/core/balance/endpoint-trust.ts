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

/** `probing`: one request may try whether the endpoint is back. */
export type TrustState = 'good' | 'doubtful' | 'out' | 'probing'

export class EndpointTrust {
  #breaks = 0
  #outMs = firstOutMs
  #outUntil = -Infinity
  #doubtUntil = -Infinity
  #probingSince: number | null = null
  #failures = 0

  /** Share of the last answers that were failures of the endpoint's own, 0 to 1. */
  get failureShare (): number { return this.#failures }

  look (at: number): TrustState {
    if (at < this.#outUntil) return 'out'
    if (this.#breaks >= breaksToEject) return this.#probingSince === null ? 'probing' : 'out'
    return at < this.#doubtUntil ? 'doubtful' : 'good'
  }

  /** A request is sent; where the endpoint is being probed, it is the only one meanwhile. */
  noteSent (at: number): void {
    if (this.look(at) === 'probing') this.#probingSince = at
  }

  /** No connection came about. */
  noteUnreachable (at: number): void {
    this.#breaks = breaksToEject
    this.#eject(at)
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
    this.#probingSince = null
    this.#breaks = 0
    this.#addOutcome(1)
  }

  /** The endpoint works: it began an answer, or turned a request away in good form. */
  noteGood (): void {
    this.#breaks = 0
    this.#outMs = firstOutMs
    this.#outUntil = -Infinity
    this.#probingSince = null
    this.#addOutcome(0)
  }

  #addOutcome (failure: number): void {
    this.#failures += (failure - this.#failures) * gainOfNewest
  }

  #eject (at: number): void {
    this.#outUntil = at + this.#outMs
    this.#outMs = Math.min(longestOutMs, this.#outMs * 2)
    this.#probingSince = null
  }
}
