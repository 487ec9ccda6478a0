import type { BoxId, EngineId, RequestClass, RequestId, WorkspaceName } from '../core/index.js'
import type { ClassTraffic } from './user-profile.js'

/** How a request ended; `left`: its caller gave up before the first token. */
export type SimOutcome = 'finished' | 'refused' | 'left' | 'failed'

/** A request in a simulation, from arrival to outcome. Times are in virtual ms. */
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
  /** Tokens that the caller has received. */
  receivedTokens: number
  firstTokenAt: number | null
  lastTokenAt: number
  /** Gaps between tokens that were longer than the target of the class. */
  lateGaps: number
  /** Engine effort so far, in generated tokens. `wastedEffort` is the part whose output had to be discarded. */
  effort: number
  wastedEffort: number
  attempts: number
  outcome: SimOutcome | null
}
