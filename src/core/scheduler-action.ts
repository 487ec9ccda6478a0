import type { BoxId, EngineId, RequestId } from './ids.js'

/** Why a scheduler gives a request back unplaced. */
export type RefusalReason = 'overloaded' | 'late' | 'no-engine' | 'queue-full'

/** What a scheduler wants done. */
export type SchedulerAction =
  | {
    readonly type: 'grant'
    readonly box: BoxId
    readonly request: RequestId
    readonly attempt: number
    readonly engine: EngineId
    /** Sent to the engine, which runs smaller numbers first. */
    readonly priority: number
  }
  | {
    readonly type: 'refuse'
    readonly box: BoxId
    readonly request: RequestId
    readonly attempt: number
    readonly reason: RefusalReason
    /** When to come back, from the measured drain, ms. */
    readonly retryAfterMs: number
    /** True where this scheduler still runs work of a lower class that could yield. */
    readonly lowerCouldYield: boolean
  }
  /** A stream that the engine pauses because one of a higher class was granted. */
  | { readonly type: 'yield', readonly request: RequestId, readonly engine: EngineId, readonly to: RequestId }
  /** An invariant did not hold. Counted and logged; never ends the process. */
  | { readonly type: 'violation', readonly rule: string, readonly detail: string }
