import type { BoxId, EngineId, LoadReport } from '../core/index.js'
import type { SimEngine } from './sim-engine.js'
import type { SimRequest } from './sim-request.js'
import type { UserProfile } from './user-profile.js'
import type { Scenario } from './scenario.js'

/** What a policy can do and see in a run. */
export interface PolicyHost {
  readonly user: UserProfile
  readonly scenario: Scenario
  readonly engines: readonly SimEngine[]
  readonly boxes: readonly { readonly id: BoxId, readonly zone: number }[]
  now (): number
  after (delayMs: number, run: () => void): void
  random (): number
  /** True where a box can reach a zone now. */
  canReach (box: BoxId, zone: number): boolean
  zoneOf (engine: EngineId): number
  send (request: SimRequest, engine: EngineId, priority: number): void
  refuse (request: SimRequest): void
  notePreempted (): void
  /** A request was handed to a shard, over the wire or on the same box. */
  noteSubmitted (isRemote: boolean): void
  noteViolation (rule: string, detail: string): void
}

/** A way to decide who takes each request. Every box decides for its own. */
export interface Policy {
  arrive (request: SimRequest): void
  noteFirstToken (request: SimRequest): void
  noteFinished (request: SimRequest): void
  /** The caller left; the engine was told already. */
  noteCancelled (request: SimRequest): void
  /** The engine failed; true where the policy tries again. */
  noteFailed (request: SimRequest, engine: EngineId, wasReached: boolean): boolean
  report (engine: EngineId, report: LoadReport): void
  tick (): void
  noteBoxLost (box: BoxId): void
}

/** Makes a policy for a run. */
export type PolicyFactory = (host: PolicyHost) => Policy
