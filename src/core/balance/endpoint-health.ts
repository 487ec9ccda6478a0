/**
 * Tracks an endpoint's health from the outcomes of real requests only: a health check may be wrong, takes a slot
 * of the endpoint, and reveals nothing about errors.
 */

/** First wait before the endpoint is retried, ms; doubles. Short, as a refused connection reveals immediately that nothing listens there. */
const initialEjectionMs = 250
/** Longest wait, ms: crashed endpoints usually restart within 2 to 5 s. */
const maxEjectionMs = 2000
/** Consecutive broken answers after which an endpoint is ejected. A single one may be one lost answer. */
const breaksToEject = 2
/** How long after a broken answer an endpoint is avoided, ms. */
const doubtfulMs = 700
/** Weight of the newest outcome in the failure share. */
const newestWeight = 0.12

/** `out`: ejected; `probing`: the endpoint was unreachable, and a connection may be attempted to check whether it is back. */
export type HealthState = 'good' | 'doubtful' | 'out' | 'probing'

export class EndpointHealth {
  #brokenAnswers = 0
  #ejectionMs = initialEjectionMs
  #ejectedUntil = -Infinity
  #doubtfulUntil = -Infinity
  #failureShare = 0
  #isReachable = true
  /** True from a silence until it writes again. */
  #isSilent = false

  /** False after a failed connection attempt: the endpoint is ejected until one succeeds. */
  get isReachable (): boolean { return this.#isReachable }

  /** Fraction of recent answers that were failures of the endpoint itself, 0 to 1. */
  get failureShare (): number { return this.#failureShare }

  findState (at: number): HealthState {
    if (at < this.#ejectedUntil) return 'out'
    if (!this.#isReachable) return 'probing'
    return at < this.#doubtfulUntil ? 'doubtful' : 'good'
  }

  /** A connection attempt failed. */
  noteUnreachable (at: number): void {
    this.#isSilent = false
    this.#isReachable = false
    this.#eject(at)
  }

  /** A probe connection succeeded. */
  noteReachable (at: number): void {
    this.#isReachable = true
    this.#ejectedUntil = -Infinity
    this.#doubtfulUntil = at
  }

  /** The connection broke or timed out after the request was written. */
  noteBroken (at: number): void {
    this.#isSilent = false
    this.#brokenAnswers += 1
    this.#doubtfulUntil = at + doubtfulMs
    this.#addOutcome(1)
    if (this.#brokenAnswers >= breaksToEject) this.#eject(at)
  }

  /** It wrote nothing while others answered: it is avoided like after a broken answer, until it writes again. */
  noteSilent (at: number): void {
    this.noteBroken(at)
    this.#isSilent = true
  }

  /** It has written something: a silence is over. */
  noteActive (): void {
    if (!this.#isSilent) return
    this.#isSilent = false
    this.#brokenAnswers = 0
    this.#ejectionMs = initialEjectionMs
    this.#ejectedUntil = -Infinity
    this.#doubtfulUntil = -Infinity
  }

  /** The endpoint answered with a failure of its own. */
  noteFailure (): void {
    this.#brokenAnswers = 0
    this.#addOutcome(1)
  }

  /** The endpoint works: it started an answer, or rejected a request properly. */
  noteGood (): void {
    this.#isSilent = false
    this.#brokenAnswers = 0
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
