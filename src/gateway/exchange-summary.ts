/** How an exchange went, with each of its sends. */
import type { EndpointId, ErrorKind } from '../core/index.js'
import type { Order } from './order.js'

/** What became of one send. */
export interface Attempt {
  readonly endpoint: EndpointId
  readonly expectedMs: number
  readonly candidates: number
  readonly share: number
  /** Prompt tokens that the endpoint was expected to read, and whether it is the home of the shared ones. */
  readonly readTokens: number
  readonly isHome: boolean
  readonly sentAt: number
  end: string
}

/** How an exchange went, for log and metrics. */
export interface ExchangeSummary {
  readonly order: Order
  /** `ok`, `left` where the caller was gone, `cut` where a begun answer broke off, else why it was refused. */
  readonly outcome: ErrorKind | 'ok' | 'endpoint-status' | 'left' | 'cut'
  readonly status: number
  readonly attempts: readonly Attempt[]
  readonly firstMs: number | null
  readonly totalMs: number
  readonly events: number
  readonly longestPauseMs: number
}
