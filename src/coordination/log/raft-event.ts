import type { HardState, LogEntry, Members, ReplicaId, Snapshot } from './log-types.js'
import type { RaftMessage } from './raft-message.js'

/** Input events of a replica. `at` is monotonic time, ms; `wall` is wall-clock time, ms since 1970. */
export type RaftEvent =
  | { readonly type: 'tick', readonly at: number }
  | { readonly type: 'receive', readonly at: number, readonly from: ReplicaId, readonly message: RaftMessage }
  | { readonly type: 'propose', readonly at: number, readonly wall: number, readonly proposal: number, readonly command: unknown }
  | { readonly type: 'changeMembers', readonly at: number, readonly wall: number, readonly proposal: number, readonly members: Members }
  | { readonly type: 'read', readonly at: number, readonly read: number }
  | { readonly type: 'transfer', readonly at: number }
  /** Entries up to this one are durable on this replica's disk. */
  | { readonly type: 'synced', readonly at: number, readonly index: number, readonly term: number }
  | { readonly type: 'compact', readonly at: number, readonly index: number, readonly state: unknown }

/** A proposal of a command or a membership change. */
export type Proposal = Extract<RaftEvent, { type: 'propose' | 'changeMembers' }>

/** Why a proposal was rejected before it was appended. */
export type ProposalFault = 'not-leader' | 'change-in-progress' | 'not-one-change' | 'not-caught-up' | 'not-ready'

/**
 * Output effects of a replica. The effects of one step, or of a batch of steps,
 * are executed as follows: every `persist` in order, synced; then every `send`
 * that is not `early`; then a `synced` event. An `early` send need not wait for
 * the sync.
 */
export type RaftEffect =
  | { readonly type: 'persist', readonly hard: HardState | null, readonly entries: readonly LogEntry[], readonly snapshot: Snapshot | null }
  | { readonly type: 'send', readonly to: ReplicaId, readonly message: RaftMessage, readonly early: boolean }
  | { readonly type: 'apply', readonly entry: LogEntry }
  | { readonly type: 'restore', readonly snapshot: Snapshot }
  | { readonly type: 'accepted', readonly proposal: number, readonly index: number, readonly term: number }
  | { readonly type: 'rejected', readonly proposal: number, readonly fault: ProposalFault }
  | { readonly type: 'readReady', readonly read: number, readonly index: number }
  | { readonly type: 'readFailed', readonly read: number }
  | { readonly type: 'role', readonly role: RaftRole, readonly term: number, readonly leader: ReplicaId | null }
  | { readonly type: 'violation', readonly rule: string, readonly detail: string }

export type RaftRole = 'follower' | 'candidate' | 'leader'
