import type { Fleet } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import type { AnswerStore } from './answer-store.js'
import type { CrashGuard } from './crash-guard.js'
import type { EndpointPaths } from './endpoint-paths.js'
import type { ExchangeSummary } from './exchange-summary.js'
import type { EndpointLimits } from './endpoint-limits.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { Hedges } from './hedges.js'
import type { RetryUse } from './retry-policy.js'
import type { StreamOrigins } from './stream-origins.js'

/** What an exchange of type `E` needs from its box. */
export interface ExchangeHost<E> {
  readonly dialect: Dialect
  readonly fleet: Fleet
  readonly paths: EndpointPaths
  readonly guard: CrashGuard
  readonly limits: EndpointLimits
  readonly hedges: Hedges
  readonly answers: AnswerStore
  readonly origins: StreamOrigins
  now (): number
  /** A random number, at least 0 and less than 1. */
  draw (): number
  /** True if the retry budget has one left for a request that would fail without it. */
  hasRetry (request: AdmittedRequest): boolean
  /** True if a request that is sent now has an answer, or has reached its deadline, before the box stops; always true unless the box is draining. */
  canFinish (request: AdmittedRequest): boolean
  /** Takes one retry from the retry budget; false if none is left for this use. */
  takeRetry (request: AdmittedRequest, use: RetryUse): boolean
  /** The load at the endpoints has changed. */
  noteLoad (): void
  /** Queues the exchange until `tryPlace` finds room for it. */
  enqueue (exchange: E): void
  /** Removes the exchange from the queue. */
  dequeue (exchange: E): void
  /** An endpoint started the request at `at`, as far as this box can tell. */
  noteRun (request: AdmittedRequest, at: number): void
  noteEnd (exchange: E, summary: ExchangeSummary): void
  /** An unexpected error ends a request. */
  noteError (requestId: string, error: Error): void
}
