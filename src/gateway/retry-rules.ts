/** What may be done with a request whose endpoint failed, or said that it did not run it: pure rules. */
import type { Route } from '../core/index.js'
import type { CallFailure } from './endpoint-call.js'

/** Connections that don't come about cost nobody anything; so many are tried beyond the attempts that a route allows. */
const maxUnreachable = 3
/** A stream that may be continued elsewhere is, once it has been silent for this many of the pauses that its route allows, and at least so long, ms. */
const silentPauses = 4
const minSilentMs = 600

/** How often a request was sent. */
export interface SendCount {
  /** Sends in all, those included that no byte was written of. */
  readonly attempts: number
  /** Endpoints that could not be reached, or were others. */
  readonly unreachable: number
}

/** True where a request may run a second time, or be continued elsewhere. */
export function mayRepeat ({ kind, resumable }: Route): boolean {
  return kind === 'repeatable' || (kind === 'events' && resumable)
}

/** True where a request may go to another endpoint after a failure; `mayHaveRun`: an earlier send may have run it. */
export function mayRetryAfter (route: Route, failure: CallFailure, mayHaveRun: boolean): boolean {
  if (mayRepeat(route)) return true
  return failure === 'unreachable' && !mayHaveRun
}

/**
 * Whether a route allows one more send: `free` where nothing was sent yet, `paid`
 * where it must be taken from the retry budget. Endpoints that could not be reached don't count.
 */
export function classifySend (route: Route, { attempts, unreachable }: SendCount): 'no' | 'free' | 'paid' {
  if (unreachable > maxUnreachable) return 'no'
  const sends = attempts - unreachable
  if (sends === 0) return 'free'
  return sends < route.mostAttempts ? 'paid' : 'no'
}

/** How long a begun stream may be silent before it is continued elsewhere, ms. */
export function computeMaxSilenceMs ({ pauseMs }: Route): number {
  return Math.max(minSilentMs, silentPauses * (pauseMs ?? 0))
}
