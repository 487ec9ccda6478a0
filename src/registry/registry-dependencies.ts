import type { Dialect } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'

/** What a registry is given beside its settings. */
export interface RegistryDependencies {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly metrics: Metrics
  /** Null where links go without authentication. */
  readonly secret: string | null
}
