/** Rules for retrying a request whose endpoint failed or did not run it, as pure functions. */
import { limitSilence } from '../core/index.js'
import type { Route } from '../core/index.js'
import type { CallFailure } from './endpoint-call.js'

/** Unreachable endpoints that are tolerated beyond the attempts that a route allows: failed connections cost no endpoint any work. */
const maxUnreachable = 3

export interface SendCount {
  /** All sends, including those of which no byte was written. */
  readonly attempts: number
  /** Sends that failed because the endpoint was unreachable, or another endpoint answered at its address. */
  readonly unreachable: number
}

/** True if a request may run a second time, or be resumed at another endpoint. */
export function mayRepeat ({ kind, resumable }: Route): boolean {
  return kind === 'repeatable' || (kind === 'events' && resumable)
}

/** True if a request may be sent to another endpoint after a failure; `mayHaveRun`: this or an earlier send may have run it. */
export function mayRetryAfter (route: Route, failure: CallFailure, mayHaveRun: boolean): boolean {
  if (mayRepeat(route)) return true
  return failure === 'unreachable' && !mayHaveRun
}

/**
 * Whether a route allows one more send: `free` if no endpoint was reached yet, `paid`
 * if it must be taken from the retry budget. Unreachable endpoints don't count as sends.
 */
export function classifySend (route: Route, { attempts, unreachable }: SendCount): 'no' | 'free' | 'paid' {
  if (unreachable > maxUnreachable) return 'no'
  const sends = attempts - unreachable
  if (sends === 0) return 'free'
  return sends < route.mostAttempts ? 'paid' : 'no'
}

/** How long a stream that has begun may be silent before its endpoint is suspected, ms. */
export function computeMaxSilenceMs ({ pauseMs }: Route): number { return limitSilence(pauseMs) }
