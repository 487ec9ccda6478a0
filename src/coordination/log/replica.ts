/**
 * Drives one replica: feeds events to the pure Raft node and executes its
 * effects, i.e. writes to the store and sends messages. Events that arrive while
 * a sync runs are batched and share the next sync (group commit).
 */
import { Inbox, waitUntil } from '../../runtime/index.js'
import type { LogEntry, Members, RaftTiming, ReplicaId, Snapshot, StoredLog } from './log-types.js'
import { RaftNode } from './raft-node.js'
import type { ProposalFault, RaftEffect, RaftEvent } from './raft-event.js'
import type { RaftMessage } from './raft-message.js'

type PersistEffect = Extract<RaftEffect, { type: 'persist' }>
type SendEffect = Extract<RaftEffect, { type: 'send' }>

/** Stable storage of a replica. Implemented by `LogStore`, and by fakes in tests. */
export interface ReplicaStore {
  readonly id: ReplicaId
  readonly stored: StoredLog
  /** True if the log is so large in bytes that a snapshot is due regardless of the number of entries. */
  readonly isOversized: boolean
  persist (effects: readonly PersistEffect[]): Promise<void>
}

/** The state machine that the log drives. */
export interface ReplicatedMachine {
  /** Applies a committed command at its log entry's time, ms since 1970. */
  apply (command: unknown, time: number): unknown
  /** Returns the complete state for a snapshot. */
  save (): unknown
  /** Replaces the state by that of a snapshot. */
  restore (state: unknown): void
}

/** The environment of a replica. */
export interface ReplicaHost {
  readonly machine: ReplicatedMachine
  readonly timing: RaftTiming
  /** Number of entries after which a snapshot is taken; one is also taken when the store is oversized. */
  readonly snapshotEvery: number
  send (to: ReplicaId, message: RaftMessage): void
  /** Monotonic clock, ms. */
  now (): number
  /** Wall clock, ms since 1970. */
  wall (): number
  random (): number
  noteRole (role: string, term: number, leader: ReplicaId | null): void
  noteViolation (rule: string, detail: string): void
  /** Called after each batch of applied entries. */
  noteApplied (): void
  /** Called when a disk write failed. The replica has stopped and must not be used further. */
  noteDiskFault (error: Error): void
}

/** Outcome of a proposal. `lost`: it is unknown whether it will be applied. */
export type ProposalOutcome =
  | { readonly type: 'applied', readonly result: unknown }
  | { readonly type: 'rejected', readonly fault: ProposalFault }
  | { readonly type: 'lost' }

interface AppendedProposal {
  readonly term: number
  readonly resolve: (outcome: ProposalOutcome) => void
}

type ReplicaInput =
  | { readonly type: 'event', readonly event: RaftEvent }
  | { readonly type: 'persisted' }
  | { readonly type: 'failed', readonly error: Error }

const inboxLimit = 20_000
/** Backlog length above which incoming messages are dropped; Raft tolerates message loss. */
const maxBacklogEvents = 4000
/** Maximum time to wait for a leadership transfer, ms. */
const transferTimeoutMs = 1000
const membersApplied = { type: 'members-changed' }

export class Replica {
  readonly id: ReplicaId
  #node: RaftNode
  #store: ReplicaStore
  #host: ReplicaHost
  #inbox = new Inbox<ReplicaInput>(inboxLimit)
  #backlog: RaftEvent[] = []
  #isSyncing = false
  #isStopped = false
  #sendsAfterSync: SendEffect[] = []
  #proposals = new Map<number, (outcome: ProposalOutcome) => void>()
  #appended = new Map<number, AppendedProposal>()
  #reads = new Map<number, (ok: boolean) => void>()
  #readsByIndex: { index: number, resolve: (ok: boolean) => void }[] = []
  #lastRequest = 0
  #timer: NodeJS.Timeout

  constructor (store: ReplicaStore, host: ReplicaHost) {
    this.id = store.id
    this.#store = store
    this.#host = host
    const stored = store.stored
    if (stored.snapshot !== null) host.machine.restore(stored.snapshot.state)
    this.#node = new RaftNode(store.id, stored, host.timing, () => host.random(), host.now())
    this.#inbox.run(input => this.#handleInput(input), () => this.#processBacklog())
    const tickMs = Math.max(5, host.timing.heartbeatMs / 2)
    this.#timer = setInterval(() => this.#post({ type: 'tick', at: host.now() }), tickMs)
  }

  get node (): RaftNode { return this.#node }
  get isLeader (): boolean { return !this.#isStopped && this.#node.role === 'leader' }
  get leader (): ReplicaId | null { return this.#node.leader }
  get members (): Members { return this.#node.members }

  receive (from: ReplicaId, message: RaftMessage): void {
    this.#post({ type: 'receive', at: this.#host.now(), from, message })
  }

  /** Proposes a command; resolves once it is applied here, is rejected, or its outcome can't be determined. */
  propose (command: unknown): Promise<ProposalOutcome> {
    return this.#submit(proposal => ({ type: 'propose', at: this.#host.now(), wall: this.#host.wall(), proposal, command }))
  }

  /** Proposes a membership change, which may add or remove at most one voter. */
  changeMembers (members: Members): Promise<ProposalOutcome> {
    return this.#submit(proposal => ({ type: 'changeMembers', at: this.#host.now(), wall: this.#host.wall(), proposal, members }))
  }

  /** Linearizable read barrier: resolves to true once the state includes everything committed before this call, to false if this replica can't confirm that. */
  read (): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false)
    return new Promise(resolve => {
      this.#lastRequest += 1
      this.#reads.set(this.#lastRequest, resolve)
      this.#post({ type: 'read', at: this.#host.now(), read: this.#lastRequest })
    })
  }

  /** Transfers leadership to a follower with the complete log, if this replica leads; resolves once it has stepped down or `transferTimeoutMs` has passed. */
  async transfer (): Promise<void> {
    if (!this.isLeader) return
    this.#post({ type: 'transfer', at: this.#host.now() })
    await waitUntil(() => !this.isLeader, transferTimeoutMs)
  }

  stop (): void {
    if (this.#isStopped) return
    this.#isStopped = true
    clearInterval(this.#timer)
    this.#inbox.close()
    this.#rejectPending()
  }

  #submit (createEvent: (proposal: number) => RaftEvent): Promise<ProposalOutcome> {
    if (this.#isStopped) return Promise.resolve({ type: 'rejected', fault: 'not-leader' })
    return new Promise(resolve => {
      this.#lastRequest += 1
      this.#proposals.set(this.#lastRequest, resolve)
      this.#post(createEvent(this.#lastRequest))
    })
  }

  #post (event: RaftEvent): void {
    this.#inbox.post({ type: 'event', event })
  }

  #handleInput (input: ReplicaInput): void {
    switch (input.type) {
      case 'event':
        this.#enqueue(input.event)
        break
      case 'persisted':
        this.#isSyncing = false
        this.#finishSync()
        break
      case 'failed':
        this.stop()
        this.#host.noteDiskFault(input.error)
        break
    }
  }

  // Bounds the backlog during a slow sync: consecutive ticks are merged and excess messages dropped.
  #enqueue (event: RaftEvent): void {
    const last = this.#backlog[this.#backlog.length - 1]
    if (event.type === 'tick' && last?.type === 'tick') this.#backlog.pop()
    if (event.type === 'receive' && this.#backlog.length >= maxBacklogEvents) return
    this.#backlog.push(event)
  }

  #finishSync (): void {
    for (const { to, message } of this.#sendsAfterSync) this.#host.send(to, message)
    this.#sendsAfterSync = []
    const { lastIndex, lastTerm } = this.#node
    this.#backlog.unshift({ type: 'synced', at: this.#host.now(), index: lastIndex, term: lastTerm })
  }

  #processBacklog (): void {
    if (this.#isSyncing || this.#isStopped) return
    const persists: PersistEffect[] = []
    const events = this.#backlog
    this.#backlog = []
    for (const event of events) this.#step(event, persists)
    this.#compact(persists)
    if (persists.length > 0) return this.#sync(persists)
    for (const { to, message } of this.#sendsAfterSync) this.#host.send(to, message)
    this.#sendsAfterSync = []
  }

  #sync (persists: PersistEffect[]): void {
    this.#isSyncing = true
    this.#store.persist(persists).then(
      () => this.#inbox.post({ type: 'persisted' }),
      (error: Error) => this.#inbox.post({ type: 'failed', error }))
  }

  #step (event: RaftEvent, persists: PersistEffect[]): void {
    let hasApplied = false
    for (const effect of this.#node.step(event)) {
      if (effect.type === 'persist') persists.push(effect)
      else hasApplied = this.#perform(effect) || hasApplied
    }
    if (!hasApplied) return
    this.#resolveReads()
    this.#host.noteApplied()
  }

  #perform (effect: Exclude<RaftEffect, PersistEffect>): boolean {
    switch (effect.type) {
      case 'send': return this.#send(effect)
      case 'apply': return this.#apply(effect.entry)
      case 'restore': return this.#restore(effect.snapshot)
      case 'accepted': return this.#noteAccepted(effect.proposal, effect.index, effect.term)
      case 'rejected': return this.#resolveProposal(effect.proposal, { type: 'rejected', fault: effect.fault })
      case 'readReady': return this.#noteRead(effect.read, effect.index)
      case 'readFailed': return this.#noteRead(effect.read, null)
      case 'role': return this.#noteRole(effect)
      case 'violation':
        this.#host.noteViolation(effect.rule, effect.detail)
        return false
    }
  }

  #send (effect: SendEffect): boolean {
    if (effect.early) this.#host.send(effect.to, effect.message)
    else this.#sendsAfterSync.push(effect)
    return false
  }

  #apply (entry: LogEntry): boolean {
    const { content } = entry
    const result = content.type === 'command' ? this.#host.machine.apply(content.command, entry.time) : membersApplied
    const proposal = this.#appended.get(entry.index)
    if (proposal === undefined) return true
    this.#appended.delete(entry.index)
    proposal.resolve(proposal.term === entry.term ? { type: 'applied', result } : { type: 'lost' })
    return true
  }

  #restore (snapshot: Snapshot): boolean {
    this.#host.machine.restore(snapshot.state)
    for (const [index, proposal] of this.#appended) {
      if (index > snapshot.index) continue
      this.#appended.delete(index)
      proposal.resolve({ type: 'lost' })
    }
    return true
  }

  #noteAccepted (proposal: number, index: number, term: number): boolean {
    const resolve = this.#proposals.get(proposal)
    this.#proposals.delete(proposal)
    if (resolve === undefined) return false
    this.#appended.get(index)?.resolve({ type: 'lost' })
    this.#appended.set(index, { term, resolve })
    return false
  }

  #resolveProposal (proposal: number, outcome: ProposalOutcome): boolean {
    this.#proposals.get(proposal)?.(outcome)
    this.#proposals.delete(proposal)
    return false
  }

  #noteRead (read: number, index: number | null): boolean {
    const resolve = this.#reads.get(read)
    this.#reads.delete(read)
    if (resolve === undefined) return false
    if (index === null) resolve(false)
    else this.#readsByIndex.push({ index, resolve })
    this.#resolveReads()
    return false
  }

  #resolveReads (): void {
    const applied = this.#node.appliedIndex
    this.#readsByIndex = this.#readsByIndex.filter(({ index, resolve }) => {
      if (index > applied) return true
      resolve(true)
      return false
    })
  }

  #noteRole (effect: Extract<RaftEffect, { type: 'role' }>): boolean {
    if (effect.role === 'follower') this.#resolveAppendedAsLost()
    this.#host.noteRole(effect.role, effect.term, effect.leader)
    return false
  }

  // A replica that is no longer leader can't determine the outcome of its appended proposals.
  #resolveAppendedAsLost (): void {
    for (const proposal of this.#appended.values()) proposal.resolve({ type: 'lost' })
    this.#appended.clear()
  }

  #compact (persists: PersistEffect[]): void {
    const { node } = this
    const isDue = node.compactable >= this.#host.snapshotEvery || (node.compactable > 0 && this.#store.isOversized)
    if (!isDue) return
    const state = this.#host.machine.save()
    this.#step({ type: 'compact', at: this.#host.now(), index: node.appliedIndex, state }, persists)
  }

  #rejectPending (): void {
    this.#resolveAppendedAsLost()
    for (const resolve of this.#proposals.values()) resolve({ type: 'rejected', fault: 'not-leader' })
    this.#proposals.clear()
    for (const resolve of this.#reads.values()) resolve(false)
    this.#reads.clear()
    for (const { resolve } of this.#readsByIndex) resolve(false)
    this.#readsByIndex = []
  }
}
