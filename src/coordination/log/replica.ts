/**
 * The driver of one replica: a task that feeds events to the pure node, writes
 * what it wants kept, and sends what it wants sent. While a sync runs, events
 * gather; they share the next sync, so one sync serves many proposals.
 */
import { Inbox, waitUntil } from '../../runtime/index.js'
import type { LogEntry, Members, RaftTiming, ReplicaId, Snapshot, StoredLog } from './log-types.js'
import { RaftNode } from './raft-node.js'
import type { ProposalFault, RaftEffect, RaftEvent } from './raft-event.js'
import type { RaftMessage } from './raft-message.js'

type PersistEffect = Extract<RaftEffect, { type: 'persist' }>
type SendEffect = Extract<RaftEffect, { type: 'send' }>

/** Where a replica keeps its log. `LogStore` is one; tests bring fakes. */
export interface ReplicaStore {
  readonly id: ReplicaId
  readonly stored: StoredLog
  /** True where the log is so large that a snapshot is due, however few its entries. */
  readonly isOversized: boolean
  persist (effects: readonly PersistEffect[]): Promise<void>
}

/** The state machine that a log drives. */
export interface ReplicatedMachine {
  /** Carries out a committed command at its agreed time, ms since 1970. */
  apply (command: unknown, time: number): unknown
  /** The whole state, for a snapshot. */
  save (): unknown
  /** Takes the state of a snapshot in place of its own. */
  restore (state: unknown): void
}

/** What a replica needs of its surroundings. */
export interface ReplicaHost {
  readonly machine: ReplicatedMachine
  readonly timing: RaftTiming
  /** A snapshot is taken after so many entries, or once the store calls its log grown. */
  readonly snapshotEvery: number
  send (to: ReplicaId, message: RaftMessage): void
  /** A clock that only rises, ms. */
  now (): number
  /** Wall time, ms since 1970. */
  wall (): number
  random (): number
  noteRole (role: string, term: number, leader: ReplicaId | null): void
  noteViolation (rule: string, detail: string): void
  /** Called after every run of applied entries. */
  noteApplied (): void
  /** The disk failed: the replica has stopped and must not go on. */
  noteDiskFault (error: Error): void
}

/** How a proposal ended. `lost`: whether it will be applied is not known. */
export type ProposalOutcome =
  | { readonly type: 'applied', readonly result: unknown }
  | { readonly type: 'rejected', readonly fault: ProposalFault }
  | { readonly type: 'lost' }

interface AppendedProposal {
  readonly term: number
  readonly resolve: (end: ProposalOutcome) => void
}

type ReplicaInput =
  | { readonly type: 'event', readonly event: RaftEvent }
  | { readonly type: 'persisted' }
  | { readonly type: 'failed', readonly error: Error }

const inboxLimit = 20_000
/** Events that wait for a sync before messages of others are dropped: a log bears their loss. */
const maxBacklogEvents = 4000
/** A transfer of the lead is waited for at most so long, ms. */
const transferTimeoutMs = 1000
const membersApplied = { type: 'members-changed' }

export class Replica {
  readonly id: ReplicaId
  #node: RaftNode
  #store: ReplicaStore
  #host: ReplicaHost
  #inbox = new Inbox<ReplicaInput>(inboxLimit)
  #backlog: RaftEvent[] = []
  #syncing = false
  #stopped = false
  #sendsAfterSync: SendEffect[] = []
  #proposals = new Map<number, (end: ProposalOutcome) => void>()
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
  get isLeader (): boolean { return !this.#stopped && this.#node.role === 'leader' }
  get leader (): ReplicaId | null { return this.#node.leader }
  get members (): Members { return this.#node.members }

  receive (from: ReplicaId, message: RaftMessage): void {
    this.#post({ type: 'receive', at: this.#host.now(), from, message })
  }

  /** Proposes a command; resolves once it's applied here, or can't be. */
  propose (command: unknown): Promise<ProposalOutcome> {
    return this.#submit(proposal => ({ type: 'propose', at: this.#host.now(), wall: this.#host.wall(), proposal, command }))
  }

  /** Proposes other members, at most one voter away from the present ones. */
  changeMembers (members: Members): Promise<ProposalOutcome> {
    return this.#submit(proposal => ({ type: 'changeMembers', at: this.#host.now(), wall: this.#host.wall(), proposal, members }))
  }

  /** Resolves true once the machine's state is as new as this call; false where this replica can't say. */
  read (): Promise<boolean> {
    if (this.#stopped) return Promise.resolve(false)
    return new Promise(resolve => {
      this.#lastRequest += 1
      this.#reads.set(this.#lastRequest, resolve)
      this.#post({ type: 'read', at: this.#host.now(), read: this.#lastRequest })
    })
  }

  /** Hands the lead to a follower that has the whole log, if this replica leads; resolves once another may lead, or after a while without one. */
  async transfer (): Promise<void> {
    if (!this.isLeader) return
    this.#post({ type: 'transfer', at: this.#host.now() })
    await waitUntil(() => !this.isLeader, transferTimeoutMs)
  }

  stop (): void {
    if (this.#stopped) return
    this.#stopped = true
    clearInterval(this.#timer)
    this.#inbox.close()
    this.#rejectPending()
  }

  #submit (createEvent: (proposal: number) => RaftEvent): Promise<ProposalOutcome> {
    if (this.#stopped) return Promise.resolve({ type: 'rejected', fault: 'not-leader' })
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
        this.#syncing = false
        this.#finishSync()
        break
      case 'failed':
        this.stop()
        this.#host.noteDiskFault(input.error)
        break
    }
  }

  // While a slow disk syncs, time and messages go on; neither may pile up.
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
    if (this.#syncing || this.#stopped) return
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
    this.#syncing = true
    this.#store.persist(persists).then(
      () => this.#inbox.post({ type: 'persisted' }),
      (error: Error) => this.#inbox.post({ type: 'failed', error }))
  }

  #step (event: RaftEvent, persists: PersistEffect[]): void {
    let applied = false
    for (const effect of this.#node.step(event)) {
      if (effect.type === 'persist') persists.push(effect)
      else applied = this.#perform(effect) || applied
    }
    if (!applied) return
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

  // A replica that no longer leads can't say what becomes of its proposals.
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
