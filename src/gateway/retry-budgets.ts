import type { GatewaySettings } from '../config/index.js'
import { RetryPurse } from '../core/index.js'
import type { ServiceName } from '../core/index.js'

/** What this box may spend on second sends, for each service by itself. */
export class RetryBudgets {
  #bounds: GatewaySettings['retries']
  #budgets = new Map<ServiceName, RetryPurse>()

  constructor (bounds: GatewaySettings['retries']) {
    this.#bounds = bounds
  }

  /** Knows a service from now on; one that is known already keeps what it has. */
  addService (service: ServiceName): void {
    const { ratio, extra, windowSeconds } = this.#bounds
    if (!this.#budgets.has(service)) this.#budgets.set(service, new RetryPurse({ ratio, extra, windowMs: windowSeconds * 1000 }))
  }

  noteRequest (service: ServiceName, at: number): void { this.#budgets.get(service)?.noteRequest(at) }

  /** Takes one second send; false where none is left. `boxes`: how many boxes share what is allowed to all. */
  take (service: ServiceName, at: number, boxCount: number): boolean { return this.#budgets.get(service)?.take(at, boxCount) ?? false }
}
