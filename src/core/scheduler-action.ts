import type { BoxId, EngineId, RequestId } from './ids.js'

/** Why a scheduler refuses a request. */
export type RefusalReason = 'overloaded' | 'late' | 'no-engine' | 'queue-full'

/** Output of the scheduler. */
export type SchedulerAction =
  | {
    readonly type: 'grant'
    readonly box: BoxId
    readonly request: RequestId
    readonly attempt: number
    readonly engine: EngineId
    /** Passed to the engine, which runs smaller numbers first. */
    readonly priority: number
  }
  | {
    readonly type: 'refuse'
    readonly box: BoxId
    readonly request: RequestId
    readonly attempt: number
    readonly reason: RefusalReason
    /** Retry delay, from the measured rate at which the queue drains, ms. */
    readonly retryAfterMs: number
    /** True if this scheduler still runs a stream of a lower class that could be paused. */
    readonly lowerCouldYield: boolean
  }
  /** The engine pauses `request` because `to`, of a higher class, was granted. */
  | { readonly type: 'yield', readonly request: RequestId, readonly engine: EngineId, readonly to: RequestId }
  /** An invariant was violated. Counted and logged; never terminates the process. */
  | { readonly type: 'violation', readonly rule: string, readonly detail: string }
