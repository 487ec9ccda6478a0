import type { EngineId, RequestId } from './ids.js'
import type { SchedulerAction } from './scheduler-action.js'
import type { StreamEnd } from './scheduler-event.js'
import type { Submission } from './submission.js'

/** A message from a box to the scheduler of a shard. */
export type ShardMessage =
  | { readonly type: 'submit', readonly submission: Submission, readonly leftMs: number }
  | { readonly type: 'adopt', readonly submission: Submission, readonly engine: EngineId }
  | { readonly type: 'cancel', readonly request: RequestId, readonly attempt: number }
  | { readonly type: 'firstToken', readonly request: RequestId, readonly attempt: number }
  | { readonly type: 'end', readonly request: RequestId, readonly attempt: number, readonly how: StreamEnd, readonly tokens: number, readonly backoffMs?: number }

/** A scheduler's reply to a box: a grant or a refusal. */
export type ShardReply = Extract<SchedulerAction, { type: 'grant' | 'refuse' }>
