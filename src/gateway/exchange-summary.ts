/** Summary of an exchange and of each of its sends, for the log and the metrics. */
import type { Admission, BoxId, EndpointId, ErrorKind, PlainExplanation, PromptPlan, StreamOrigin } from '../core/index.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { RetryDenial } from './retry-policy.js'

/** Why a box truncated an answer: a failure or a restart of its endpoint, no other endpoint of the software version that began the stream, an event after which no request can ask for the rest, the deadline, its own memory, an error of its own or its shutdown. A suspicion is no reason. */
export type CutReason = 'endpoint-failed' | 'version-gone' | 'restarted' | 'unnamed-event' | 'deadline' | 'no-room' | 'internal' | 'stopped'

/** One send and its outcome. */
export interface Attempt {
  readonly endpoint: EndpointId
  /** Version of its software; empty if it doesn't report it. */
  readonly software: string
  readonly expectedMs: number
  readonly candidates: number
  readonly dedicatedCount: number
  /** How the endpoint was expected to obtain the prompt, and whether it is the affinity engine of the shared parts. */
  readonly plan: PromptPlan
  readonly isAffinityEngine: boolean
  readonly sentAt: number
  /** Time spent on a permit for a rate-limited endpoint and on a slot of a brittle one, ms; null if none was needed. */
  readonly permitMs: number | null
  readonly slotMs: number | null
  /** The relay that it was sent through; null for a direct send. */
  readonly relay: BoxId | null
  /** True if it was sent while an earlier send went on, whose endpoint was suspected. */
  readonly isBeside: boolean
  /** True if it brought a whole answer with neither a length nor chunks. */
  isUnframed: boolean
  end: string
}

export interface ExchangeSummary {
  readonly request: AdmittedRequest
  /** `ok`; `endpoint-status`: the endpoint answered with an error status; `left`: the caller disconnected; `cut`: the answer was truncated; else the reason for refusal. */
  readonly outcome: ErrorKind | 'ok' | 'endpoint-status' | 'left' | 'cut'
  readonly status: number
  /** Why the answer was truncated; null if it wasn't. */
  readonly cutReason: CutReason | null
  /** Why a failed request was not sent again; null if no retry was denied. */
  readonly retryDenial: RetryDenial | null
  /** Null if the request was admitted without estimating its wait. */
  readonly admission: Admission | null
  /** Where its stream began; null for other answers, and before the first event. */
  readonly origin: StreamOrigin | null
  readonly attempts: readonly Attempt[]
  readonly firstMs: number | null
  readonly totalMs: number
  readonly events: number
  readonly maxPauseMs: number
  /** Number of permits denied to the request. */
  readonly denied: number
  /** The longest time until an endpoint would accept requests again, ms, over all searches that found none open; 0 if there was none. */
  readonly maxClosedMs: number
  /** Figures of the planned return of the caller, or of the request as a return; undefined if there are none. */
  readonly returns: string | undefined
  /** The newest choice among a plain service's endpoints; undefined if there was none, or the measures against contention are off. */
  readonly plain: PlainExplanation | undefined
}
