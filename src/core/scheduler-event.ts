import type { BoxId, EngineId, RequestId } from './ids.js'
import type { CacheState } from './prefix-cache-estimate.js'
import type { Submission } from './submission.js'
import type { SchedulerConfig } from './scheduler-config.js'

/** How a stream at an engine ended. */
export type StreamEnd =
  | 'done'
  | 'cancelled'
  | 'engine-failed'
  /** The connection attempt failed: no byte was sent. */
  | 'engine-unreachable'

/** An engine's report of its load; it arrives with a delay. */
export interface LoadReport {
  /** Streams in the running batch. */
  readonly running: number
  /** Streams that are queued or paused at the engine. */
  readonly waiting: number
  /** Fraction of the KV cache in use, 0 to 1. */
  readonly kvUsed: number
  /** Mean time of the last decoding steps, ms. */
  readonly stepMs: number
  readonly leaving: boolean
}

/** Input of a scheduler. `at`: monotonic time, ms. */
export type SchedulerEvent =
  | { readonly type: 'submit', readonly at: number, readonly submission: Submission }
  | { readonly type: 'adopt', readonly at: number, readonly submission: Submission, readonly engine: EngineId }
  | { readonly type: 'cancel', readonly at: number, readonly request: RequestId, readonly attempt: number }
  | { readonly type: 'firstToken', readonly at: number, readonly request: RequestId, readonly attempt: number }
  /** `backoffMs`: time for which the engine asked to get no requests when it rejected this one. */
  | { readonly type: 'end', readonly at: number, readonly request: RequestId, readonly attempt: number, readonly how: StreamEnd, readonly tokens: number, readonly backoffMs?: number }
  | { readonly type: 'report', readonly at: number, readonly engine: EngineId, readonly report: LoadReport }
  | { readonly type: 'evicted', readonly at: number, readonly engine: EngineId, readonly prefixes: readonly string[] }
  | { readonly type: 'cacheState', readonly at: number, readonly engine: EngineId, readonly state: CacheState }
  | { readonly type: 'drain', readonly at: number, readonly engine: EngineId, readonly leaving: boolean }
  | { readonly type: 'boxLost', readonly at: number, readonly box: BoxId }
  | { readonly type: 'configure', readonly at: number, readonly config: SchedulerConfig }
  | { readonly type: 'tick', readonly at: number }
