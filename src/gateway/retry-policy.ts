/**
 * Decides what follows each send of a request, as a pure state machine: its input
 * is the outcome of a send, its output the next step. A request that may not be
 * repeated is retried only if no byte of it was written or the endpoint stated
 * that it did not run it; "not run" is reported to callers on the same grounds.
 */
import type { Route } from '../core/index.js'
import { drainRefusal } from './answers.js'
import type { Refusal } from './answers.js'
import type { CallFailure } from './endpoint-call.js'
import { classifySend, mayRetryAfter, mayRepeat } from './retry-rules.js'

/** The outcome of a send, or the reason why there was none. */
export type SendOutcome =
  /** No endpoint could be chosen. */
  | { readonly type: 'unplaced', readonly why: 'none-known' | 'none-usable' }
  /** No endpoint of the software version that began the stream takes new requests; `isGone`: it did before, else this box has never known one. */
  | { readonly type: 'no-version', readonly isGone: boolean }
  /** The box backs off from every endpoint, or their rate limits are exhausted; `retryAfterMs`: until one accepts the request. */
  | { readonly type: 'closed', readonly retryAfterMs: number }
  /** The endpoint stated that it did not run the request; `isMisdirected`: because another endpoint answers at its address; `availableInMs`: until an endpoint accepts requests. */
  | { readonly type: 'not-run', readonly isMisdirected: boolean, readonly availableInMs: number }
  /** The endpoint ran it and answered with an error. */
  | { readonly type: 'failed' }
  /** The connection could not be established or broke, or the answer was not valid. */
  | { readonly type: 'broke', readonly failure: CallFailure, readonly reason: string }
  /** The endpoint ran it, and its answer is complete. */
  | { readonly type: 'answered', readonly status: number }
  /** The request is in quarantine because `ends` endpoints crashed while running it: it is not sent again. */
  | { readonly type: 'quarantined', readonly ends: number, readonly retryAfterMs: number }
  /** The box is stopping and can't be sure to finish the request; `wasWritten`: as below. */
  | { readonly type: 'leaving', readonly wasWritten: boolean }
  /** The deadline has passed; `wasWritten`: bytes of the request may have reached an endpoint that has not answered. */
  | { readonly type: 'given-up', readonly wasWritten: boolean }

/** The next step: `pass` the endpoint's answer on, `send` to another endpoint, or `refuse`. */
export type NextStep =
  | { readonly type: 'pass' }
  | { readonly type: 'send' }
  | { readonly type: 'refuse', readonly refusal: Refusal }

/** Why a request that could have been repeated was not: all attempts that its route allows were made, or the retry budget was used up. */
export type RetryDenial = 'attempts' | 'budget'

/** What a retry is for: a request that would fail without it, a second send beside one that may still answer, or one beside an overdue answer. */
export type RetryUse = 'retry' | 'hedge' | 'overdue'

/** Statuses that tell a caller that its request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])
/** `retry-after` if an endpoint was full, ms: about the time until a slot becomes free. */
const fullRetryMs = 250
/** `retry-after` if no endpoint is usable, ms: about the time until one is probed again. */
const unusableRetryMs = 400

export class RetryPolicy {
  #route: Route
  #takeRetry: (use: RetryUse) => boolean
  #attempts = 0
  #unreachable = 0
  /** Second sends that were given up after they may have begun to run. */
  #givenUp = 0
  #mayHaveRun = false
  #denial: RetryDenial | null = null
  #planReturn: (notBeforeMs: number, defaultMs: number) => number

  /**
   * `takeRetry` takes one retry from the retry budget; false if none is left. `planReturn` gives the `retry-after` of
   * a request that found endpoints full, ms: `notBeforeMs` until any accepts requests, `defaultMs` without a plan.
   */
  constructor (route: Route, takeRetry: (use: RetryUse) => boolean, planReturn: (notBeforeMs: number, defaultMs: number) => number = (_, defaultMs) => defaultMs) {
    this.#route = route
    this.#takeRetry = takeRetry
    this.#planReturn = planReturn
  }

  /** True if the route allows another send. Does not consume the retry budget, and does not check it. */
  get mayRetry (): boolean { return mayRepeat(this.#route) && this.#allowance !== 'no' }

  /** Why the last retry was denied; null if none was. */
  get denial (): RetryDenial | null { return this.#denial }

  /** Takes a retry for a second send beside one that may have run; false if the route or the budget allows none. */
  tryHedge (use: RetryUse): boolean {
    if (!this.mayRetry || !this.#takeAttempt(use)) return false
    this.#mayHaveRun = true
    this.noteSend()
    return true
  }

  /** Notes that a second send reached no endpoint: it doesn't count as a send. */
  noteUnreached (): void { this.#unreachable += 1 }

  /** Notes that one of two sends did not run. */
  noteNotRun (): void { this.#attempts -= 1 }

  /** Notes that a second send was given up: another one may go to the same endpoint. */
  noteGivenUp (): void { this.#givenUp += 1 }

  /** True if the route allows the request to run at another endpoint. */
  get mayUseAnother (): boolean { return classifySend(this.#route, { attempts: this.#attempts, unreachable: this.#unreachable }) !== 'no' }

  noteSend (): void { this.#attempts += 1 }

  decide (outcome: SendOutcome): NextStep {
    switch (outcome.type) {
      case 'unplaced': return this.#handleUnplaced(outcome.why)
      case 'no-version': return this.#handleNoVersion(outcome.isGone)
      case 'closed': return this.#handleClosed(outcome.retryAfterMs)
      case 'not-run': return this.#handleNotRun(outcome.isMisdirected, outcome.availableInMs)
      case 'failed': return this.#handleFailed()
      case 'broke': return this.#handleBroken(outcome.failure, outcome.reason)
      case 'answered': return this.#handleAnswered(outcome.status)
      case 'quarantined': return this.#handleQuarantined(outcome.ends, outcome.retryAfterMs)
      case 'leaving': return this.#handleLeaving(outcome.wasWritten)
      case 'given-up': return this.#handleTimeout(outcome.wasWritten)
    }
  }

  #handleUnplaced (why: 'none-known' | 'none-usable'): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send failed, and no other endpoint is available')
    return refuse('no-engine', why === 'none-known' ? 'the service has no endpoint' : 'no endpoint of the service is available', unusableRetryMs)
  }

  #handleNoVersion (isGone: boolean): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send failed, and no other endpoint of the software version that began the stream is available')
    if (isGone) return refuse('stream-version-gone', 'no endpoint of the software version that began the stream serves any more')
    return refuse('stream-unknown', 'no endpoint of the software version that began the stream is known to this box', unusableRetryMs)
  }

  #handleClosed (retryAfterMs: number): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send failed, and no other endpoint accepts requests at present')
    return refuse('overloaded', 'no endpoint accepts the request at present', retryAfterMs)
  }

  #handleNotRun (isMisdirected: boolean, availableInMs: number): NextStep {
    if (isMisdirected) this.#unreachable += 1
    if (this.#takeAttempt()) return { type: 'send' }
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send failed, and another endpoint has no free capacity')
    return refuse('overloaded', 'the endpoint has no free capacity', this.#planReturn(availableInMs, Math.max(fullRetryMs, availableInMs)))
  }

  // The endpoint ran the request and reported an error, so a retry is a second run.
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
    return refuse('no-engine', 'no endpoint of the service is reachable', unusableRetryMs)
  }

  // The endpoint ran the request, so a status that means "not run" must not be passed on.
  #handleAnswered (status: number): NextStep {
    if (!notRunStatuses.has(status)) return { type: 'pass' }
    return refuse('engine-failed', `the endpoint answered with status ${status}`)
  }

  #handleQuarantined (ends: number, retryAfterMs: number): NextStep {
    if (this.#mayHaveRun) return refuse('engine-failed', 'endpoints crashed while running this request')
    return refuse('quarantined', `${ends} endpoints crashed while running this request`, retryAfterMs)
  }

  // Refused as not run only if that is true: a request that was sent may have run.
  #handleLeaving (wasWritten: boolean): NextStep {
    if (wasWritten) return refuse('engine-timeout', 'the endpoint did not answer before this box stopped')
    if (this.#mayHaveRun) return refuse('engine-failed', 'an earlier send failed, and this box is shutting down')
    return { type: 'refuse', refusal: drainRefusal }
  }

  #handleTimeout (wasWritten: boolean): NextStep {
    if (this.#mayHaveRun || wasWritten) return refuse('engine-timeout', 'the endpoint did not answer before the time-out')
    return refuse('overloaded', 'no endpoint accepted the request before the time-out', unusableRetryMs)
  }

  get #allowance (): ReturnType<typeof classifySend> {
    return classifySend(this.#route, { attempts: this.#attempts - this.#givenUp, unreachable: this.#unreachable })
  }

  #takeAttempt (use: RetryUse = 'retry'): boolean {
    switch (this.#allowance) {
      case 'no': return this.#deny('attempts')
      case 'free': return true
      case 'paid': return this.#takeRetry(use) || this.#deny('budget')
    }
  }

  #deny (denial: RetryDenial): false {
    this.#denial = denial
    return false
  }
}

function refuse (kind: Refusal['kind'], text: string, retryAfterMs?: number): NextStep {
  return { type: 'refuse', refusal: { kind, text, retryAfterMs } }
}
