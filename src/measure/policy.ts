import type { BoxId, EngineId, LoadReport } from '../core/index.js'
import type { SimEngine } from './sim-engine.js'
import type { SimRequest } from './sim-request.js'
import type { UserProfile } from './user-profile.js'
import type { Scenario } from './scenario.js'

/** The simulation as a policy sees it. */
export interface PolicyHost {
  readonly user: UserProfile
  readonly scenario: Scenario
  readonly engines: readonly SimEngine[]
  readonly boxes: readonly { readonly id: BoxId, readonly zone: number }[]
  now (): number
  schedule (delayMs: number, run: () => void): void
  random (): number
  /** True where the network currently connects the box with the zone. */
  canReach (box: BoxId, zone: number): boolean
  getZone (engine: EngineId): number
  send (request: SimRequest, engine: EngineId, priority: number): void
  refuse (request: SimRequest): void
  notePreempted (): void
  /** A request was submitted to the owner of a shard; `isRemote`: the owner is another box. */
  noteSubmitted (isRemote: boolean): void
  noteViolation (rule: string, detail: string): void
}

/** Decides which engine runs each request. Every box decides for the requests that it received. */
export interface Policy {
  handleArrival (request: SimRequest): void
  noteFirstToken (request: SimRequest): void
  noteFinished (request: SimRequest): void
  /** The caller gave up; the stream has already been cancelled at its engine. */
  noteCancelled (request: SimRequest): void
  /** An attempt failed at an engine; true where the policy retries. `wasReached`: the engine had accepted the request. */
  noteFailed (request: SimRequest, engine: EngineId, wasReached: boolean): boolean
  noteReport (engine: EngineId, report: LoadReport): void
  tick (): void
  noteBoxFailed (box: BoxId): void
}

/** Creates a policy for one run. */
export type PolicyFactory = (host: PolicyHost) => Policy
