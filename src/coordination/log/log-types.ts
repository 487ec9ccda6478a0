/** Data types of the replicated log: entries, members, snapshots. */

declare const replicaBrand: unique symbol

/**
 * Identifies a replica and its disk: the keeper's name, `#`, and a part that is
 * chosen when the disk is first used. A keeper whose disk was erased becomes a
 * different replica, because it no longer knows its votes.
 */
export type ReplicaId = string & { readonly [replicaBrand]: true }

/** The members of a Raft group. Learners receive the log but don't vote. */
export interface Members {
  readonly voters: readonly ReplicaId[]
  readonly learners: readonly ReplicaId[]
  /** Those that joined a running log and have not yet taken over the vote of an earlier replica of their zone. */
  readonly newcomers?: readonly ReplicaId[]
}

/** Payload of a log entry. */
export type EntryContent =
  | { readonly type: 'noop' }
  | { readonly type: 'command', readonly command: unknown }
  | { readonly type: 'members', readonly members: Members }

export interface LogEntry {
  readonly index: number
  readonly term: number
  /** Wall time assigned by the leader, ms since 1970; never decreases along the log. */
  readonly time: number
  readonly content: EntryContent
}

/** The state after the entry at `index`, replacing all entries up to it. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly time: number
  readonly members: Members
  readonly state: unknown
}

/** Raft's persistent state, which ensures that a replica votes at most once per term. */
export interface HardState {
  readonly term: number
  readonly vote: ReplicaId | null
}

/** The stored state from which a replica starts. */
export interface StoredLog {
  readonly hard: HardState
  readonly snapshot: Snapshot | null
  readonly entries: readonly LogEntry[]
}

/** Raft timing parameters, ms. */
export interface RaftTiming {
  readonly heartbeatMs: number
  readonly electionMs: number
}
