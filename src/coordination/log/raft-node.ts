/**
 * One replica of a replicated log, implementing Raft (Ongaro, 2014) with pre-vote,
 * check-quorum, learners, single-server membership changes, leadership transfer
 * and read index. Pure: events in, effects out; no clock, disk or network access.
 */
import { ElectionTimer } from './election-timer.js'
import { EntryList } from './entry-list.js'
import type { HardState, LogEntry, Members, RaftTiming, ReplicaId, Snapshot, StoredLog } from './log-types.js'
import { hasQuorum } from './quorum.js'
import type { Proposal, RaftEffect, RaftEvent, RaftRole } from './raft-event.js'
import { RaftLeader } from './raft-leader.js'
import type { LeaderHost } from './raft-leader.js'
import type { RaftMessage } from './raft-message.js'

type MessageOf<T extends RaftMessage['type']> = Extract<RaftMessage, { type: T }>

export class RaftNode {
  readonly id: ReplicaId
  #timing: RaftTiming
  #log: EntryList
  #hardState: HardState
  #role: RaftRole = 'follower'
  #leader: ReplicaId | null = null
  #commit: number
  #applied: number
  #synced: number
  #now = 0
  #election: ElectionTimer
  #votes = new Set<ReplicaId>()
  #isPreVoting = false
  #leadership: RaftLeader | null = null
  #effects: RaftEffect[] = []

  constructor (id: ReplicaId, stored: StoredLog, timing: RaftTiming, random: () => number, at: number) {
    this.id = id
    this.#timing = timing
    this.#election = new ElectionTimer(timing, random)
    this.#log = new EntryList(stored.snapshot, stored.entries)
    this.#hardState = stored.hard
    this.#commit = this.#log.snapshotIndex
    this.#applied = this.#log.snapshotIndex
    this.#synced = this.#log.lastIndex
    this.#now = at
    this.#resetElection()
  }

  get role (): RaftRole { return this.#role }
  get term (): number { return this.#hardState.term }
  get leader (): ReplicaId | null { return this.#leader }
  get commitIndex (): number { return this.#commit }
  get appliedIndex (): number { return this.#applied }
  get lastIndex (): number { return this.#log.lastIndex }
  get lastTerm (): number { return this.#log.lastTerm }
  get members (): Members { return this.#log.members }
  /** Number of entries that a snapshot taken now would replace. */
  get compactable (): number { return this.#applied - this.#log.snapshotIndex }

  /** True if the last membership entry is committed. */
  get hasCommittedMembers (): boolean { return this.#log.membersIndex <= this.#commit }

  /** True if everything accepted before the current leader's term is applied here, i.e. an entry of the leader's own term is. */
  get isCurrent (): boolean { return this.#leader !== null && this.#log.termAt(this.#applied) === this.#hardState.term }

  /** On the leader, the synced index of each replica with recent contact; empty on other replicas. */
  get matches (): ReadonlyMap<ReplicaId, number> { return this.#leadership?.matches ?? new Map() }

  /** The term of the entry at `index`; undefined if the log doesn't hold it. For external checks. */
  termAt (index: number): number | undefined { return this.#log.termAt(index) }

  /** Processes one event and returns the resulting effects. */
  step (event: RaftEvent): RaftEffect[] {
    this.#effects = []
    this.#now = Math.max(this.#now, event.at)
    this.#handle(event)
    this.#applyCommitted()
    return this.#effects
  }

  #handle (event: RaftEvent): void {
    switch (event.type) {
      case 'tick': return this.#tick()
      case 'receive': return this.#receive(event.from, event.message)
      case 'propose':
      case 'changeMembers': return this.#propose(event)
      case 'read': return this.#read(event.read)
      case 'transfer': return this.#leadership?.transfer()
      case 'synced': return this.#noteSynced(event.index, event.term)
      case 'compact': return this.#compact(event.index, event.state)
      default: return assertNever(event)
    }
  }

  // Timers.

  #tick (): void {
    if (this.#leadership !== null) return this.#tickLeader(this.#leadership)
    if (!this.#election.isDue(this.#now)) return
    if (!this.#isVoter(this.id)) return this.#resetElection()
    this.#campaign(true, false)
  }

  #tickLeader (leadership: RaftLeader): void {
    if (leadership.hasQuorumContact) return leadership.sendHeartbeatsIfDue()
    this.#becomeFollower(this.#hardState.term, null)
  }

  #resetElection (): void { this.#election.reset(this.#now) }

  // Elections.

  #campaign (pre: boolean, transfer: boolean): void {
    this.#resetElection()
    this.#votes = new Set([this.id])
    this.#isPreVoting = pre
    this.#leader = null
    this.#endLeadership()
    if (!pre) {
      this.#saveHard({ term: this.#hardState.term + 1, vote: this.id })
      this.#setRole('candidate')
    }
    const term = pre ? this.#hardState.term + 1 : this.#hardState.term
    const message: RaftMessage = { type: 'vote', term, pre, lastIndex: this.#log.lastIndex, lastTerm: this.#log.lastTerm, transfer }
    for (const id of this.members.voters) {
      if (id !== this.id) this.#send(id, message)
    }
    this.#countVotes()
  }

  #countVotes (): void {
    if (!hasQuorum(this.members, id => this.#votes.has(id))) return
    if (this.#isPreVoting) this.#campaign(false, false)
    else this.#becomeLeader()
  }

  #handleVote (from: ReplicaId, message: MessageOf<'vote'>): void {
    if ((this.#election.hasRecentLeader(this.#now) || this.#role === 'leader') && !message.transfer && message.term > this.#hardState.term) {
      return this.#send(from, { type: 'voteReply', term: this.#hardState.term, pre: message.pre, granted: false })
    }
    if (!message.pre && message.term > this.#hardState.term) this.#becomeFollower(message.term, null)
    const canVote = message.pre
      ? message.term > this.#hardState.term
      : message.term === this.#hardState.term && (this.#hardState.vote === null || this.#hardState.vote === from)
    const granted = canVote && !this.#log.isMoreUpToDateThan(message.lastIndex, message.lastTerm)
    if (granted && !message.pre) {
      this.#saveHard({ term: message.term, vote: from })
      this.#resetElection()
    }
    const term = message.pre && granted ? message.term : this.#hardState.term
    this.#send(from, { type: 'voteReply', term, pre: message.pre, granted })
  }

  #handleVoteReply (from: ReplicaId, message: MessageOf<'voteReply'>): void {
    if (!message.granted && message.term > this.#hardState.term) return this.#becomeFollower(message.term, null)
    if (!message.granted || this.#role === 'leader' || message.pre !== this.#isPreVoting) return
    const term = this.#isPreVoting ? this.#hardState.term + 1 : this.#hardState.term
    if (message.term !== term) return
    if (!this.#isPreVoting && this.#role !== 'candidate') return
    this.#votes.add(from)
    this.#countVotes()
  }

  #becomeLeader (): void {
    this.#votes.clear()
    this.#leader = this.id
    this.#setRole('leader')
    this.#leadership = new RaftLeader(this.#composeLeaderHost(), this.#timing)
    this.#leadership.start()
  }

  #becomeFollower (term: number, leader: ReplicaId | null): void {
    if (term > this.#hardState.term) this.#saveHard({ term, vote: null })
    const hasChanged = this.#role !== 'follower' || this.#leader !== leader
    this.#leader = leader
    this.#votes.clear()
    this.#isPreVoting = false
    this.#endLeadership()
    if (this.#role !== 'follower') this.#resetElection()
    if (hasChanged) this.#setRole('follower')
  }

  #endLeadership (): void {
    this.#leadership?.endTerm()
    this.#leadership = null
  }

  #setRole (role: RaftRole): void {
    this.#role = role
    this.#effects.push({ type: 'role', role, term: this.#hardState.term, leader: this.#leader })
  }

  // Requests and replies that the leader handles.

  #propose (event: Proposal): void {
    if (this.#leadership !== null) return this.#leadership.propose(event)
    this.#effects.push({ type: 'rejected', proposal: event.proposal, fault: 'not-leader' })
  }

  #read (read: number): void {
    if (this.#leadership === null) this.#effects.push({ type: 'readFailed', read })
    else this.#leadership.read(read)
  }

  #handleAppendReply (from: ReplicaId, message: MessageOf<'appendReply'>): void {
    if (message.term > this.#hardState.term) return this.#becomeFollower(message.term, null)
    if (message.term === this.#hardState.term) this.#leadership?.noteReply(from, message)
  }

  #noteSynced (index: number, term: number): void {
    if (this.#log.termAt(index) !== term) return
    this.#synced = Math.max(this.#synced, index)
    this.#leadership?.advanceCommit()
  }

  // Replication on the follower.

  #handleAppend (from: ReplicaId, message: MessageOf<'append'>): void {
    if (message.term < this.#hardState.term) return this.#reply(from, false, 0, message.round)
    this.#acceptLeader(from, message.term)
    if (message.prevIndex < this.#log.snapshotIndex) return this.#reply(from, true, this.#commit, message.round)
    if (this.#log.termAt(message.prevIndex) !== message.prevTerm) return this.#refuseAppend(from, message)
    this.#appendNew(message.entries)
    const match = message.prevIndex + message.entries.length
    this.#commit = Math.max(this.#commit, Math.min(message.commit, match))
    this.#reply(from, true, match, message.round)
  }

  #refuseAppend (from: ReplicaId, { prevIndex, round }: MessageOf<'append'>): void {
    const hint = Math.min(prevIndex - 1, this.#log.lastIndex)
    this.#reply(from, false, Math.max(this.#commit, hint), round)
  }

  #appendNew (entries: readonly LogEntry[]): void {
    const added = this.#log.listNewEntries(entries)
    if (added.length === 0) return
    if (added[0].index <= this.#commit) {
      return this.#reportViolation('committed-kept', `entry ${added[0].index} would overwrite a committed entry`)
    }
    this.#synced = Math.min(this.#synced, added[0].index - 1)
    this.#log.append(added)
    this.#effects.push({ type: 'persist', hard: null, entries: added, snapshot: null })
  }

  #handleSnapshot (from: ReplicaId, message: MessageOf<'snapshot'>): void {
    if (message.term < this.#hardState.term) return this.#reply(from, false, 0, message.round)
    this.#acceptLeader(from, message.term)
    if (message.snapshot.index > this.#commit) this.#install(message.snapshot)
    this.#reply(from, true, Math.max(this.#commit, message.snapshot.index), message.round)
  }

  #install (snapshot: Snapshot): void {
    this.#log.compact(snapshot)
    this.#commit = snapshot.index
    this.#applied = snapshot.index
    this.#synced = Math.max(Math.min(this.#synced, this.#log.lastIndex), snapshot.index)
    this.#effects.push({ type: 'persist', hard: null, entries: [], snapshot })
    this.#effects.push({ type: 'restore', snapshot })
  }

  #acceptLeader (from: ReplicaId, term: number): void {
    if (this.#role === 'leader' && term === this.#hardState.term) {
      return this.#reportViolation('election-safety', `two leaders in term ${term}`)
    }
    if (term > this.#hardState.term || this.#role !== 'follower' || this.#leader !== from) this.#becomeFollower(term, from)
    this.#election.noteLeader(this.#now)
  }

  #reply (to: ReplicaId, ok: boolean, match: number, round: number): void {
    this.#send(to, { type: 'appendReply', term: this.#hardState.term, ok, match, round })
  }

  #handleTimeoutNow (message: MessageOf<'timeoutNow'>): void {
    if (message.term === this.#hardState.term && this.#isVoter(this.id)) this.#campaign(false, true)
  }

  // Local snapshots.

  #compact (index: number, state: unknown): void {
    if (index > this.#applied) return
    const snapshot = this.#log.composeSnapshot(index, state)
    if (snapshot === undefined) return
    this.#log.compact(snapshot)
    this.#effects.push({ type: 'persist', hard: null, entries: [], snapshot })
  }

  // Helpers.

  #receive (from: ReplicaId, message: RaftMessage): void {
    switch (message.type) {
      case 'vote': return this.#handleVote(from, message)
      case 'voteReply': return this.#handleVoteReply(from, message)
      case 'append': return this.#handleAppend(from, message)
      case 'appendReply': return this.#handleAppendReply(from, message)
      case 'snapshot': return this.#handleSnapshot(from, message)
      case 'timeoutNow': return this.#handleTimeoutNow(message)
      default: return assertNever(message)
    }
  }

  #applyCommitted (): void {
    while (this.#applied < this.#commit) {
      const entry = this.#log.get(this.#applied + 1)
      if (entry === undefined) return
      this.#applied += 1
      this.#effects.push({ type: 'apply', entry })
    }
  }

  #saveHard (hard: HardState): void {
    if (hard.term < this.#hardState.term) this.#reportViolation('term-rises', `term decreases from ${this.#hardState.term} to ${hard.term}`)
    this.#hardState = hard
    this.#effects.push({ type: 'persist', hard, entries: [], snapshot: null })
  }

  #isVoter (id: ReplicaId): boolean { return this.members.voters.includes(id) }

  #send (to: ReplicaId, message: RaftMessage): void {
    this.#effects.push({ type: 'send', to, message, early: false })
  }

  // The part of this node that the leader object may access.
  #composeLeaderHost (): LeaderHost {
    const node = this
    return {
      id: node.id,
      log: node.#log,
      term: node.#hardState.term,
      get now () { return node.#now },
      get commitIndex () { return node.#commit },
      get syncedIndex () { return node.#synced },
      get hasCommittedMembers () { return node.hasCommittedMembers },
      emit: effect => { node.#effects.push(effect) },
      commitTo: index => { node.#commit = index },
      stepDown: () => node.#becomeFollower(node.#hardState.term, null),
      reportViolation: (rule, detail) => node.#reportViolation(rule, detail)
    }
  }

  #reportViolation (rule: string, detail: string): void {
    this.#effects.push({ type: 'violation', rule, detail: `${this.id}: ${detail}` })
  }
}

function assertNever (value: never): never {
  throw new Error(`unexpected ${JSON.stringify(value)}`)
}
