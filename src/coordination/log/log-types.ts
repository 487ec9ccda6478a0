/** Values of the replicated log: entries, members, snapshots. */

declare const replicaBrand: unique symbol

/**
 * A replica bound to its disk: a keeper's name and a random part that is made
 * when the disk is first used. An emptied disk makes another replica.
 */
export type ReplicaId = string & { readonly [replicaBrand]: true }

/** The replicas of a log. Learners receive the log but don't vote. */
export interface Members {
  readonly voters: readonly ReplicaId[]
  readonly learners: readonly ReplicaId[]
}

/** What an entry holds. */
export type EntryContent =
  | { readonly type: 'noop' }
  | { readonly type: 'command', readonly command: unknown }
  | { readonly type: 'members', readonly members: Members }

/** One entry of the log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  /** Agreed time, ms since 1970, never falling along the log. */
  readonly time: number
  readonly content: EntryContent
}

/** The state after an entry, in place of all entries up to it. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly time: number
  readonly members: Members
  readonly state: unknown
}

/** What a replica must remember to vote at most once a term. */
export interface HardState {
  readonly term: number
  readonly vote: ReplicaId | null
}

/** All that a replica finds on its disk when it starts. */
export interface StoredLog {
  readonly hard: HardState
  readonly snapshot: Snapshot | null
  readonly entries: readonly LogEntry[]
}

/** Times of a replica, ms. */
export interface RaftTiming {
  readonly heartbeatMs: number
  readonly electionMs: number
}
