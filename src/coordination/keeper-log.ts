/**
 * A keeper's replica with its disk and the state that it drives: what every
 * program that keeps state is built around.
 */
import { performance } from 'node:perf_hooks'
import { KeeperState, defaultBounds } from './keeper-state.js'
import type { KeeperCommand, KeeperSnapshot } from './keeper-state.js'
import { LogStore, Replica } from './log/index.js'
import type { DiskPatience, Members, ProposalEnd, RaftMessage, RaftTiming, ReplicaId, Snapshot } from './log/index.js'

/** What a keeper's log needs of its program. */
export interface KeeperLogHost {
  readonly timing: RaftTiming
  /** A snapshot is taken after so many entries. */
  readonly snapshotEvery: number
  send (to: ReplicaId, message: RaftMessage): void
  noteRole (role: string, term: number, leader: ReplicaId | null): void
  noteViolation (rule: string, detail: string): void
  noteApplied (): void
  noteDiskFault (error: Error): void
}

/** Where a log lies and whose it is. */
export interface KeeperLogOptions {
  readonly folder: string
  /** The keeper's name, the first part of its replica's id. */
  readonly name: string
  /** The second part, for a disk that is used for the first time; random where it is left out. */
  readonly firstPart?: string
  /** How to bear a disk that refuses writes; a keeper without it ends at the first refusal. */
  readonly patience?: DiskPatience
}

export class KeeperLog {
  #store: LogStore
  #host: KeeperLogHost
  #stateMachine = new KeeperState(defaultBounds, null)
  #replica: Replica | null = null
  #forming = false

  private constructor (store: LogStore, host: KeeperLogHost) {
    this.#store = store
    this.#host = host
  }

  /** Opens the disk; starts the replica where a log was formed there. Throws where the log is damaged. */
  static async open (options: KeeperLogOptions, host: KeeperLogHost): Promise<KeeperLog> {
    const log = new KeeperLog(await LogStore.open(options.folder, options.name, options.firstPart, options.patience), host)
    if (log.isFormed) log.startReplica()
    return log
  }

  get id (): ReplicaId { return this.#store.id }
  get store (): LogStore { return this.#store }
  get state (): KeeperState { return this.#stateMachine }
  /** Null until a log is formed, or joined. */
  get replica (): Replica | null { return this.#replica }
  get isFormed (): boolean { return this.#store.stored.snapshot !== null }
  get isForming (): boolean { return this.#forming }
  get isLeader (): boolean { return this.#replica?.isLeader === true }
  get leader (): ReplicaId | null { return this.#replica?.leader ?? null }
  /** True where a leader is known and what was accepted before its term is applied here. */
  get isCurrent (): boolean { return this.#replica?.node.isCurrent === true }

  /** Begins a new log with these members; every one of them must begin the same. */
  async form (members: Members): Promise<boolean> {
    if (this.#replica !== null || this.#forming || !members.voters.includes(this.id)) return false
    this.#forming = true
    const snapshot: Snapshot = { index: 1, term: 1, time: 0, members, state: null }
    await this.#store.persist([{ type: 'persist', hard: { term: 1, vote: null }, entries: [], snapshot }])
    this.#forming = false
    this.startReplica()
    return true
  }

  /** Starts the replica: on an empty disk it waits to be let into a log that others formed. */
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

  propose (command: KeeperCommand): Promise<ProposalEnd> {
    if (this.#replica === null) return Promise.resolve({ type: 'rejected', fault: 'not-leader' })
    return this.#replica.propose(command)
  }

  /** True once the state is as new as this call; false where this replica can't be sure. */
  read (): Promise<boolean> {
    return this.#replica === null ? Promise.resolve(false) : this.#replica.read()
  }

  stop (): void { this.#replica?.stop() }

  async close (): Promise<void> {
    this.stop()
    await this.#store.close()
  }
}
