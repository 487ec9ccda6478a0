import type { Dialect } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'

/** What a registry needs besides its settings. */
export interface RegistryDependencies {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly metrics: Metrics
  /** Null where links are not authenticated. */
  readonly secret: string | null
}
