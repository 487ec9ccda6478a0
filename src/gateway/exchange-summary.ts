/** How an exchange went, with each of its sends. */
import type { Admission, EndpointId, ErrorKind, PromptPlan } from '../core/index.js'
import type { Order } from './order.js'

/** What became of one send. */
export interface Attempt {
  readonly endpoint: EndpointId
  readonly expectedMs: number
  readonly candidates: number
  readonly share: number
  /** How the endpoint was expected to come by the prompt, and whether it is the home of the shared parts. */
  readonly plan: PromptPlan
  readonly isHome: boolean
  readonly sentAt: number
  /** How long it took to get a permit for an endpoint with a limit, ms; null where none was needed. */
  readonly permitMs: number | null
  end: string
}

/** How an exchange went, for log and metrics. */
export interface ExchangeSummary {
  readonly order: Order
  /** `ok`, `left` where the caller was gone, `cut` where a begun answer broke off, else why it was refused. */
  readonly outcome: ErrorKind | 'ok' | 'endpoint-status' | 'left' | 'cut'
  readonly status: number
  /** Null where the request was let in without a look at what waits. */
  readonly admission: Admission | null
  readonly attempts: readonly Attempt[]
  readonly firstMs: number | null
  readonly totalMs: number
  readonly events: number
  readonly maxPauseMs: number
  /** Permits that were denied to it. */
  readonly denied: number
  /** The longest time until an endpoint takes requests again, ms, as seen when none did; 0 where one always did. */
  readonly closedMs: number
}
