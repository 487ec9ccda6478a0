import type { GatewaySettings } from '../config/index.js'
import { SharedRetryBudget } from '../core/index.js'
import type { ServiceName } from '../core/index.js'
import type { RetryUse } from './retry-policy.js'

/** Fraction of the budget up to which each use may take a retry: requests that fail without one go first, then streams that have begun. */
const shares: Readonly<Record<RetryUse, number>> = { retry: 1, hedge: 0.5, overdue: 0.25 }

/** The retry budgets of this box, one for each service. */
export class RetryBudgets {
  #bounds: GatewaySettings['retries']
  #budgets = new Map<ServiceName, SharedRetryBudget>()

  constructor (bounds: GatewaySettings['retries']) {
    this.#bounds = bounds
  }

  /** Adds a budget for a service; an existing budget is kept. */
  addService (service: ServiceName): void {
    const { ratio, extra, windowSeconds } = this.#bounds
    if (!this.#budgets.has(service)) this.#budgets.set(service, new SharedRetryBudget({ ratio, extra, windowMs: windowSeconds * 1000 }))
  }

  noteRequest (service: ServiceName, at: number): void { this.#budgets.get(service)?.noteRequest(at) }

  /** True if a retry is left. */
  has (service: ServiceName, use: RetryUse, at: number, boxCount: number): boolean { return this.#budgets.get(service)?.has(at, boxCount, shares[use]) ?? false }

  /** Takes one retry; false if none is left or the service is unknown. `boxCount`: boxes that share the extra budget. */
  take (service: ServiceName, use: RetryUse, at: number, boxCount: number): boolean { return this.#budgets.get(service)?.tryConsume(at, boxCount, shares[use]) ?? false }
}
