import type { RegistrySettings } from '../config/index.js'
import { ContentionSwitch } from '../core/index.js'
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

/** Whether orders follow price and availability. The CPU shares of boxes are not known to registries. */
export function createContentionSwitch ({ contention, features }: RegistrySettings, { dialect, log }: RegistryDependencies): ContentionSwitch {
  const created = new ContentionSwitch({ mode: contention.mode, cpuShare: null, isMarked: dialect.isContended(features) })
  if (created.reason !== null) log.info('contention-handled', { why: created.reason })
  return created
}
