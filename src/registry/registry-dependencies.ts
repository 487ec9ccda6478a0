import type { RegistrySettings } from '../config/index.js'
import { ContentionSwitch, computeBudgetBytes } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import { ClientIntake } from '../runtime/index.js'
import type { EventLog, IntakeTools, Metrics } from '../runtime/index.js'

/** What a registry needs besides its settings. */
export interface RegistryDependencies {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly metrics: Metrics
  /** That of the process; by default the box has one of its own. */
  readonly intake?: ClientIntake
  /** Null where links are not authenticated. */
  readonly secret: string | null
}

/** Dependencies of the parts of a registry. */
export interface PartDependencies extends RegistryDependencies {
  readonly intake: ClientIntake
}

/** What the box has for its clients. */
export function createIntake ({ memoryMb }: Pick<RegistrySettings, 'memoryMb'>, tools: IntakeTools): ClientIntake {
  return new ClientIntake(computeBudgetBytes(null, memoryMb), tools)
}

/** Whether orders follow price and availability. The CPU shares of boxes are not known to registries. */
export function createContentionSwitch ({ contention, features }: RegistrySettings, { dialect, log }: RegistryDependencies): ContentionSwitch {
  const created = new ContentionSwitch({ mode: contention.mode, cpuShare: null, isMarked: dialect.isContended(features) })
  if (created.reason !== null) log.info('contention-handled', { why: created.reason })
  return created
}
