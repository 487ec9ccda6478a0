import type { Dialect } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'

/** Dependencies of a gateway other than its settings. */
export interface GatewayDependencies {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly metrics: Metrics
  /** Shared secret of the links; null to run them without authentication. */
  readonly secret: string | null
}
