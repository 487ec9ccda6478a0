import type { Fleet } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import type { CrashGuard } from './crash-guard.js'
import type { EndpointAgent } from './endpoint-agent.js'
import type { ExchangeSummary } from './exchange-summary.js'
import type { LimitDesk } from './limit-desk.js'
import type { Order } from './order.js'

/** What an exchange needs of its box; `One` is the exchange. */
export interface ExchangeHost<E> {
  readonly dialect: Dialect
  readonly fleet: Fleet
  readonly agent: EndpointAgent
  readonly guard: CrashGuard
  readonly limits: LimitDesk
  now (): number
  /** A number from 0 up to 1. */
  draw (): number
  /** Takes one second send from the retry budget. */
  takeRetry (order: Order): boolean
  /** The work at the endpoints has changed. */
  noteLoad (): void
  /** Holds the exchange until `tryPlace` finds room for it. */
  hold (exchange: E): void
  /** The exchange waits no more. */
  unhold (exchange: E): void
  /** An endpoint began with the request at `at`, as far as this box can tell. */
  noteRun (order: Order, at: number): void
  noteEnd (exchange: E, summary: ExchangeSummary): void
}
