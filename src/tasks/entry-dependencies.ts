import type { EntrySettings } from '../config/index.js'
import { computeBudgetBytes } from '../core/index.js'
import { ClientIntake } from '../runtime/index.js'
import type { EventLog, IntakeTools, Metrics } from '../runtime/index.js'

/** What an entry box needs besides its settings. */
export interface EntryDependencies {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly secret: string
  /** That of the process; by default the box has one of its own. */
  readonly intake?: ClientIntake
}

/** What the box has for its clients. */
export function createIntake ({ memoryMb }: Pick<EntrySettings, 'memoryMb'>, tools: IntakeTools): ClientIntake {
  return new ClientIntake(computeBudgetBytes(null, memoryMb), tools)
}
