/**
 * Combines a keeper's replica, its log store and the state machine that the log
 * drives. Every program that holds replicated state is built on it.
 */
import { performance } from 'node:perf_hooks'
import { KeeperState, defaultBounds } from './keeper-state.js'
import type { KeeperCommand, KeeperSnapshot } from './keeper-state.js'
import { LogStore, Replica } from './log/index.js'
import type { DiskRetryPolicy, Members, ProposalOutcome, RaftMessage, RaftTiming, ReplicaId, Snapshot } from './log/index.js'

/** Callbacks and settings that the embedding program provides. */
export interface KeeperLogHost {
  readonly timing: RaftTiming
  /** Number of log entries after which a snapshot is taken. */
  readonly snapshotEvery: number
  send (to: ReplicaId, message: RaftMessage): void
  noteRole (role: string, term: number, leader: ReplicaId | null): void
  noteViolation (rule: string, detail: string): void
  noteApplied (): void
  noteDiskFault (error: Error): void
}

/** Location and owner of a log. */
export interface KeeperLogOptions {
  readonly folder: string
  /** The keeper's name, used as the first part of the replica id. */
  readonly name: string
  /** Second part of the replica id when the folder is created; random if omitted. */
  readonly idSuffix?: string
  /** How to retry failed disk writes; without it the replica stops at the first failure. */
  readonly diskRetry?: DiskRetryPolicy
}

export class KeeperLog {
  #store: LogStore
  #host: KeeperLogHost
  #stateMachine = new KeeperState(defaultBounds, null)
  #replica: Replica | null = null
  #isForming = false

  private constructor (store: LogStore, host: KeeperLogHost) {
    this.#store = store
    this.#host = host
  }

  /** Opens the store, and starts the replica if the store already holds a log. Throws if the log is damaged. */
  static async open (options: KeeperLogOptions, host: KeeperLogHost): Promise<KeeperLog> {
    const log = new KeeperLog(await LogStore.open(options.folder, options.name, options.idSuffix, options.diskRetry), host)
    if (log.isFormed) log.startReplica()
    return log
  }

  get id (): ReplicaId { return this.#store.id }
  get store (): LogStore { return this.#store }
  get state (): KeeperState { return this.#stateMachine }
  /** Null until the replica is started. */
  get replica (): Replica | null { return this.#replica }
  get isFormed (): boolean { return this.#store.stored.snapshot !== null }
  get isForming (): boolean { return this.#isForming }
  get isLeader (): boolean { return this.#replica?.isLeader === true }
  get leader (): ReplicaId | null { return this.#replica?.leader ?? null }
  /** True if a leader is known and everything accepted before its term has been applied here. */
  get isCurrent (): boolean { return this.#replica?.node.isCurrent === true }

  /** Bootstraps a new log with the given members. Every member must bootstrap with the same list. False if the replica has started or is not a voter. */
  async form (members: Members): Promise<boolean> {
    if (this.#replica !== null || this.#isForming || !members.voters.includes(this.id)) return false
    this.#isForming = true
    const snapshot: Snapshot = { index: 1, term: 1, time: 0, members, state: null }
    await this.#store.persist([{ type: 'persist', hard: { term: 1, vote: null }, entries: [], snapshot }])
    this.#isForming = false
    this.startReplica()
    return true
  }

  /** Starts the replica. With an empty store it waits until an existing group adds it as a member. */
  startReplica (): void {
    if (this.#replica !== null) return
    const host = this.#host
    this.#replica = new Replica(this.#store, {
      machine: {
        apply: (command, time) => this.#stateMachine.apply(command as KeeperCommand, time),
        save: () => this.#stateMachine.save(),
        restore: state => { this.#stateMachine = new KeeperState(defaultBounds, state as KeeperSnapshot | null) }
      },
      timing: host.timing,
      snapshotEvery: host.snapshotEvery,
      send: (to, message) => host.send(to, message),
      now: () => performance.now(),
      wall: Date.now,
      random: Math.random,
      noteRole: (role, term, leader) => host.noteRole(role, term, leader),
      noteViolation: (rule, detail) => host.noteViolation(rule, detail),
      noteApplied: () => host.noteApplied(),
      noteDiskFault: error => host.noteDiskFault(error)
    })
  }

  receive (from: ReplicaId, to: ReplicaId, message: RaftMessage): void {
    if (to === this.id) this.#replica?.receive(from, message)
  }

  propose (command: KeeperCommand): Promise<ProposalOutcome> {
    if (this.#replica === null) return Promise.resolve({ type: 'rejected', fault: 'not-leader' })
    return this.#replica.propose(command)
  }

  /** Linearizable read barrier: resolves to true once the local state includes everything committed before this call, to false if this replica can't confirm that. */
  read (): Promise<boolean> {
    return this.#replica === null ? Promise.resolve(false) : this.#replica.read()
  }

  stop (): void { this.#replica?.stop() }

  async close (): Promise<void> {
    this.stop()
    await this.#store.close()
  }
}
