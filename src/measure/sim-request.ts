import type { BoxId, EngineId, RequestClass, RequestId, WorkspaceName } from '../core/index.js'
import type { ClassTraffic } from './user-profile.js'

/** How a request ended. */
export type SimOutcome = 'finished' | 'refused' | 'left' | 'failed'

/** A request in a run, from arrival to end. */
export interface SimRequest {
  readonly id: RequestId
  readonly traffic: ClassTraffic
  readonly class: RequestClass
  readonly workspace: WorkspaceName
  readonly box: BoxId
  readonly promptTokens: number
  readonly tokens: number
  readonly prefix: string
  readonly arrivedAt: number
  engine: EngineId | null
  /** Tokens that the caller has. */
  receivedTokens: number
  firstTokenAt: number | null
  lastTokenAt: number
  lateGaps: number
  /** Engine effort so far, in tokens; and the part that was lost. */
  effort: number
  wastedEffort: number
  attempts: number
  outcome: SimOutcome | null
}
