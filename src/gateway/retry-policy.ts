/**
 * The course of a request over its sends, as a pure state machine: what became
 * of a send goes in, what is to be done next comes out. A request that may not
 * be repeated goes elsewhere only where no byte of it was written, or the
 * endpoint said that it did not run it; "not run" is said to a caller on the
 * same grounds.
 */
import type { Route } from '../core/index.js'
import type { Refusal } from './answers.js'
import type { CallFailure } from './endpoint-call.js'
import { classifySend, mayRetryAfter, mayRepeat } from './retry-rules.js'

/** What became of a send, or why there was none. */
export type SendOutcome =
  /** No endpoint could be chosen. */
  | { readonly type: 'unplaced', readonly why: 'none-known' | 'none-usable' }
  /** The box backs off from every endpoint, or their limits are used up; `retryAfterMs`: until one takes the request. */
  | { readonly type: 'closed', readonly retryAfterMs: number }
  /** The endpoint said that it did not run the request; `isOther`: as another endpoint answers at its address; `openMs`: until an endpoint takes requests. */
  | { readonly type: 'not-run', readonly isOther: boolean, readonly openMs: number }
  /** The endpoint ran it and answered with a failure of its own. */
  | { readonly type: 'failed' }
  /** The connection did not come about, or broke. */
  | { readonly type: 'broke', readonly failure: CallFailure, readonly reason: string }
  /** The endpoint ran it, and its answer is here whole. */
  | { readonly type: 'answered', readonly status: number }
  /** Endpoints end under the request: it is sent no more. */
  | { readonly type: 'quarantined', readonly ends: number, readonly retryAfterMs: number }
  /** The request's time is over; `wasWritten`: bytes of it may have reached an endpoint that has not answered. */
  | { readonly type: 'given-up', readonly wasWritten: boolean }

/** What is to be done: `pass` the endpoint's answer on, `send` elsewhere, or `refuse`. */
export type NextStep =
  | { readonly type: 'pass' }
  | { readonly type: 'send' }
  | { readonly type: 'refuse', readonly refusal: Refusal }

/** Statuses that promise a caller that its request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])
/** When a caller is to come back where an endpoint was full, ms: about a place's time to come free. */
const fullRetryMs = 250
/** When a caller is to come back where no endpoint can be used, ms: about the time until one is tried again. */
const unusableRetryMs = 400

export class RetryPolicy {
  #route: Route
  #takeRetry: () => boolean
  #attempts = 0
  #unreachable = 0
  #mayHaveRun = false

  /** `takeRetry` takes one second send from the retry budget, if there is one left. */
  constructor (route: Route, takeRetry: () => boolean) {
    this.#route = route
    this.#takeRetry = takeRetry
  }

  /** True where a request that was sent may go elsewhere. Asking costs nothing. */
  get mayRetry (): boolean { return mayRepeat(this.#route) && this.#allowance !== 'no' }

  /** The request is sent once more. */
  noteSend (): void { this.#attempts += 1 }

  decide (outcome: SendOutcome): NextStep {
    switch (outcome.type) {
      case 'unplaced': return this.#handleUnplaced(outcome.why)
      case 'closed': return this.#handleClosed(outcome.retryAfterMs)
      case 'not-run': return this.#handleNotRun(outcome.isOther, outcome.openMs)
      case 'failed': return this.#handleFailed()
      case 'broke': return this.#handleBroken(outcome.failure, outcome.reason)
      case 'answered': return this.#handleAnswered(outcome.status)
      case 'quarantined': return this.#handleQuarantined(outcome.ends, outcome.retryAfterMs)
      case 'given-up': return this.#handleTimeout(outcome.wasWritten)
    }
  }

  #handleUnplaced (why: 'none-known' | 'none-usable'): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'no other endpoint could be tried')
    return refuse('no-engine', why === 'none-known' ? 'the service has no endpoint' : 'no endpoint of the service can be used now', unusableRetryMs)
  }

  #handleClosed (retryAfterMs: number): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send broke, and no other endpoint takes requests now')
    return refuse('overloaded', 'no endpoint takes the request now', retryAfterMs)
  }

  #handleNotRun (isOther: boolean, openMs: number): NextStep {
    if (isOther) this.#unreachable += 1
    if (this.#takeAttempt()) return { type: 'send' }
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send broke, and another endpoint is full')
    return refuse('overloaded', 'the endpoint is full', Math.max(fullRetryMs, openMs))
  }

  // The endpoint ran the request and said so; another may be asked as well.
  #handleFailed (): NextStep {
    if (!mayRepeat(this.#route) || !this.#takeAttempt()) return { type: 'pass' }
    this.#mayHaveRun = true
    return { type: 'send' }
  }

  #handleBroken (failure: CallFailure, reason: string): NextStep {
    if (failure === 'unreachable') this.#unreachable += 1
    else this.#mayHaveRun = true
    if (mayRetryAfter(this.#route, failure, this.#mayHaveRun) && this.#takeAttempt()) return { type: 'send' }
    if (this.#mayHaveRun) return refuse('engine-failed', `the endpoint failed: ${reason}`)
    return refuse('no-engine', 'no endpoint could be reached', unusableRetryMs)
  }

  // What an endpoint ran must not be called "not run" by its status.
  #handleAnswered (status: number): NextStep {
    if (!notRunStatuses.has(status)) return { type: 'pass' }
    return refuse('engine-failed', `the endpoint answered ${status}`)
  }

  #handleQuarantined (ends: number, retryAfterMs: number): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'endpoints ended under this request')
    return refuse('quarantined', `${ends} endpoints ended under this request`, retryAfterMs)
  }

  #handleTimeout (wasWritten: boolean): NextStep {
    if (this.#mayHaveRun || wasWritten) return refuse('engine-timeout', 'the endpoint did not answer in time')
    return refuse('overloaded', 'no endpoint took the request in time', unusableRetryMs)
  }

  get #allowance (): ReturnType<typeof classifySend> {
    return classifySend(this.#route, { attempts: this.#attempts, unreachable: this.#unreachable })
  }

  #takeAttempt (): boolean {
    switch (this.#allowance) {
      case 'no': return false
      case 'free': return true
      case 'paid': return this.#takeRetry()
    }
  }
}

function refuse (kind: Refusal['kind'], text: string, retryAfterMs?: number): NextStep {
  return { type: 'refuse', refusal: { kind, text, retryAfterMs } }
}
