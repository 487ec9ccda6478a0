import type { LogEntry, Snapshot } from './log-types.js'

/** Messages between replicas. `pre` marks a pre-vote; `transfer` marks a vote requested by a leadership transfer; `round` is the leader's heartbeat round. */
export type RaftMessage =
  | { readonly type: 'vote', readonly term: number, readonly pre: boolean, readonly lastIndex: number, readonly lastTerm: number, readonly transfer: boolean }
  | { readonly type: 'voteReply', readonly term: number, readonly pre: boolean, readonly granted: boolean }
  | { readonly type: 'append', readonly term: number, readonly prevIndex: number, readonly prevTerm: number, readonly entries: readonly LogEntry[], readonly commit: number, readonly round: number }
  | { readonly type: 'appendReply', readonly term: number, readonly ok: boolean, readonly match: number, readonly round: number }
  | { readonly type: 'snapshot', readonly term: number, readonly snapshot: Snapshot, readonly round: number }
  | { readonly type: 'timeoutNow', readonly term: number }
