/**
 * One replica of a replicated log, after Raft (Ongaro, 2014) with pre-vote,
 * check-quorum, learners, single-server changes of members, leader transfer and
 * read index. Pure: events in, effects out; it has no clock, disk or wire.
 */
import { EntryList } from './entry-list.js'
import type { HardState, LogEntry, Members, ReplicaId, Snapshot, StoredLog } from './log-types.js'
import type { ProposalFault, RaftEffect, RaftEvent, RaftRole } from './raft-event.js'
import type { RaftMessage } from './raft-message.js'

/** Times of a replica, ms. */
export interface RaftTiming {
  readonly heartbeatMs: number
  readonly electionMs: number
}

const entriesPerMessage = 256
const pipelinedEntries = 2048
/** What a member did not acknowledge is sent again after this, ms: some round trips and a sync. */
const firstResendMs = 500
/** Each time in vain it takes twice as long, up to this, ms: what is large may still be on its way, and would then come twice. */
const longestResendMs = 8000

interface Progress {
  next: number
  match: number
  round: number
  heardAt: number
  sentAt: number
  /** Round that entries or a snapshot were last sent in. */
  sentRound: number
  /** Time after which they are sent again, ms. */
  resendMs: number
}

interface PendingRead {
  readonly read: number
  readonly round: number
  readonly index: number
}

type MessageOf<T extends RaftMessage['type']> = Extract<RaftMessage, { type: T }>

export class RaftNode {
  readonly id: ReplicaId
  #timing: RaftTiming
  #random: () => number
  #log: EntryList
  #hard: HardState
  #role: RaftRole = 'follower'
  #leader: ReplicaId | null = null
  #commit: number
  #applied: number
  #synced: number
  #now = 0
  #electionAt = 0
  #heartbeatAt = 0
  #leaderHeardAt = -Infinity
  #votes = new Set<ReplicaId>()
  #preVoting = false
  #transferUntil = -Infinity
  #progress = new Map<ReplicaId, Progress>()
  #round = 0
  #reads: PendingRead[] = []
  #termStart = 0
  #effects: RaftEffect[] = []

  constructor (id: ReplicaId, stored: StoredLog, timing: RaftTiming, random: () => number, at: number) {
    this.id = id
    this.#timing = timing
    this.#random = random
    this.#log = new EntryList(stored.snapshot, stored.entries)
    this.#hard = stored.hard
    this.#commit = this.#log.base
    this.#applied = this.#log.base
    this.#synced = this.#log.lastIndex
    this.#now = at
    this.#resetElection()
  }

  get role (): RaftRole { return this.#role }
  get term (): number { return this.#hard.term }
  get leader (): ReplicaId | null { return this.#leader }
  get commitIndex (): number { return this.#commit }
  get appliedIndex (): number { return this.#applied }
  get lastIndex (): number { return this.#log.lastIndex }
  get lastTerm (): number { return this.#log.lastTerm }
  get members (): Members { return this.#log.members }
  /** Entries that a snapshot taken now would replace. */
  get compactable (): number { return this.#applied - this.#log.base }

  /** True where the leader's last change of members is committed. */
  get isSettled (): boolean { return this.#log.membersIndex <= this.#commit }

  /** On the leader, the synced index of each replica that was heard from lately; empty elsewhere. */
  get matches (): ReadonlyMap<ReplicaId, number> {
    const matches = new Map<ReplicaId, number>()
    if (this.#role !== 'leader') return matches
    for (const [id, progress] of this.#progress) {
      if (this.#now - progress.heardAt < 2 * this.#timing.electionMs) matches.set(id, progress.match)
    }
    matches.set(this.id, this.#synced)
    return matches
  }

  /** The term of a held entry, for checks from outside. */
  termAt (index: number): number | undefined { return this.#log.termAt(index) }

  /** Takes one event and returns what is to be done. */
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
      case 'propose': return this.#propose(event.proposal, event.wall, { type: 'command', command: event.command })
      case 'changeMembers': return this.#changeMembers(event.proposal, event.wall, event.members)
      case 'read': return this.#read(event.read)
      case 'transfer': return this.#transfer()
      case 'synced': return this.#noteSynced(event.index, event.term)
      case 'compact': return this.#compact(event.index, event.state)
      default: return assertNever(event)
    }
  }

  // Time.

  #tick (): void {
    if (this.#role === 'leader') return this.#tickLeader()
    if (this.#now < this.#electionAt) return
    if (!this.#isVoter(this.id)) return this.#resetElection()
    this.#campaign(true, false)
  }

  #tickLeader (): void {
    if (!this.#hasQuorum(id => id === this.id || this.#now - this.#progressOf(id).heardAt < this.#timing.electionMs)) {
      return this.#follow(this.#hard.term, null)
    }
    if (this.#now < this.#heartbeatAt) return
    this.#heartbeatAt = this.#now + this.#timing.heartbeatMs
    this.#round += 1
    for (const id of this.#others()) this.#replicate(id, true)
  }

  #resetElection (): void {
    this.#electionAt = this.#now + this.#timing.electionMs * (1 + this.#random())
  }

  // Elections.

  #campaign (pre: boolean, transfer: boolean): void {
    this.#resetElection()
    this.#votes = new Set([this.id])
    this.#preVoting = pre
    this.#leader = null
    if (!pre) {
      this.#saveHard({ term: this.#hard.term + 1, vote: this.id })
      this.#setRole('candidate')
    }
    const term = pre ? this.#hard.term + 1 : this.#hard.term
    const message: RaftMessage = { type: 'vote', term, pre, lastIndex: this.#log.lastIndex, lastTerm: this.#log.lastTerm, transfer }
    for (const id of this.members.voters) {
      if (id !== this.id) this.#send(id, message)
    }
    this.#countVotes()
  }

  #countVotes (): void {
    if (!this.#hasQuorum(id => this.#votes.has(id))) return
    if (this.#preVoting) this.#campaign(false, false)
    else this.#lead()
  }

  #handleVote (from: ReplicaId, message: MessageOf<'vote'>): void {
    const recent = this.#now - this.#leaderHeardAt < this.#timing.electionMs
    if ((recent || this.#role === 'leader') && !message.transfer && message.term > this.#hard.term) {
      return this.#send(from, { type: 'voteReply', term: this.#hard.term, pre: message.pre, granted: false })
    }
    if (!message.pre && message.term > this.#hard.term) this.#follow(message.term, null)
    const free = message.pre
      ? message.term > this.#hard.term
      : message.term === this.#hard.term && (this.#hard.vote === null || this.#hard.vote === from)
    const granted = free && this.#isUpToDate(message.lastIndex, message.lastTerm)
    if (granted && !message.pre) {
      this.#saveHard({ term: message.term, vote: from })
      this.#resetElection()
    }
    const term = message.pre && granted ? message.term : this.#hard.term
    this.#send(from, { type: 'voteReply', term, pre: message.pre, granted })
  }

  #isUpToDate (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.#log.lastTerm) return lastTerm > this.#log.lastTerm
    return lastIndex >= this.#log.lastIndex
  }

  #handleVoteReply (from: ReplicaId, message: MessageOf<'voteReply'>): void {
    if (!message.granted && message.term > this.#hard.term) return this.#follow(message.term, null)
    if (!message.granted || this.#role === 'leader' || message.pre !== this.#preVoting) return
    const term = this.#preVoting ? this.#hard.term + 1 : this.#hard.term
    if (message.term !== term) return
    if (!this.#preVoting && this.#role !== 'candidate') return
    this.#votes.add(from)
    this.#countVotes()
  }

  #lead (): void {
    this.#votes.clear()
    this.#transferUntil = -Infinity
    this.#progress.clear()
    this.#leader = this.id
    this.#setRole('leader')
    this.#termStart = this.#log.lastIndex + 1
    this.#appendOwn(this.#log.lastTime, { type: 'noop' })
    this.#heartbeatAt = 0
    this.#tickLeader()
  }

  #follow (term: number, leader: ReplicaId | null): void {
    if (term > this.#hard.term) this.#saveHard({ term, vote: null })
    const changed = this.#role !== 'follower' || this.#leader !== leader
    this.#leader = leader
    this.#votes.clear()
    this.#preVoting = false
    this.#failReads()
    if (this.#role !== 'follower') this.#resetElection()
    if (changed) this.#setRole('follower')
  }

  #setRole (role: RaftRole): void {
    this.#role = role
    this.#effects.push({ type: 'role', role, term: this.#hard.term, leader: this.#leader })
  }

  // Proposals.

  #propose (proposal: number, wall: number, content: LogEntry['content']): void {
    const fault = this.#findFault()
    if (fault !== undefined) return this.#reject(proposal, fault)
    const entry = this.#appendOwn(wall, content)
    this.#effects.push({ type: 'accepted', proposal, index: entry.index, term: entry.term })
    for (const id of this.#others()) this.#replicate(id, false)
  }

  #findFault (): ProposalFault | undefined {
    if (this.#role !== 'leader' || this.#isTransferring) return 'not-leader'
    return undefined
  }

  #changeMembers (proposal: number, wall: number, members: Members): void {
    const fault = this.#findFault() ?? this.#findMembersFault(members)
    if (fault !== undefined) return this.#reject(proposal, fault)
    this.#propose(proposal, wall, { type: 'members', members })
  }

  #findMembersFault (members: Members): ProposalFault | undefined {
    if (this.#commit < this.#termStart) return 'not-ready'
    if (!this.isSettled) return 'change-in-progress'
    const added = members.voters.filter(id => !this.#isVoter(id))
    const removed = this.members.voters.filter(id => !members.voters.includes(id))
    if (added.length + removed.length > 1 || members.voters.length === 0) return 'not-one-change'
    for (const id of added) {
      if (this.#progressOf(id).match < this.#commit) return 'not-caught-up'
    }
    return undefined
  }

  #reject (proposal: number, fault: ProposalFault): void {
    this.#effects.push({ type: 'rejected', proposal, fault })
  }

  #appendOwn (wall: number, content: LogEntry['content']): LogEntry {
    const time = Math.max(wall, this.#log.lastTime)
    const entry: LogEntry = { index: this.#log.lastIndex + 1, term: this.#hard.term, time, content }
    this.#log.append([entry])
    this.#effects.push({ type: 'persist', hard: null, entries: [entry], snapshot: null })
    return entry
  }

  // Replication, leader's side.

  #replicate (to: ReplicaId, heartbeat: boolean): void {
    const progress = this.#progressOf(to)
    const lost = progress.next > progress.match + 1 && this.#now - progress.sentAt > progress.resendMs
    if (heartbeat && lost) {
      progress.next = progress.match + 1
      waitLonger(progress)
    }
    if (progress.next <= this.#log.base) return this.#sendSnapshot(to, progress, heartbeat)
    const room = progress.match + pipelinedEntries - progress.next + 1
    const entries = this.#log.slice(progress.next, Math.max(0, Math.min(entriesPerMessage, room)))
    if (entries.length === 0 && !heartbeat) return
    const prevIndex = progress.next - 1
    const prevTerm = this.#log.termAt(prevIndex)
    if (prevTerm === undefined) return this.#sendSnapshot(to, progress, heartbeat)
    progress.next += entries.length
    if (entries.length > 0) this.#noteSent(progress)
    this.#send(to, { type: 'append', term: this.#hard.term, prevIndex, prevTerm, entries, commit: this.#commit, round: this.#round }, true)
  }

  #sendSnapshot (to: ReplicaId, progress: Progress, heartbeat: boolean): void {
    const snapshot = this.#log.snapshot
    if (snapshot === null) return
    if (this.#now - progress.sentAt < progress.resendMs) {
      if (!heartbeat) return
      const beat: RaftMessage = { type: 'append', term: this.#hard.term, prevIndex: this.#log.lastIndex + 1, prevTerm: -1, entries: [], commit: 0, round: this.#round }
      return this.#send(to, beat, true)
    }
    if (progress.sentAt > -Infinity) waitLonger(progress)
    this.#noteSent(progress)
    this.#send(to, { type: 'snapshot', term: this.#hard.term, snapshot, round: this.#round }, true)
  }

  #noteSent (progress: Progress): void {
    progress.sentAt = this.#now
    progress.sentRound = this.#round
  }

  #handleAppendReply (from: ReplicaId, message: MessageOf<'appendReply'>): void {
    if (message.term > this.#hard.term) return this.#follow(message.term, null)
    if (this.#role !== 'leader' || message.term < this.#hard.term) return
    const progress = this.#progressOf(from)
    progress.heardAt = this.#now
    progress.round = Math.max(progress.round, message.round)
    if (message.ok) this.#noteMatch(from, progress, message.match)
    else this.#noteLack(progress, message)
    this.#confirmReads()
    if (this.#isTransferring && progress.match === this.#log.lastIndex) this.#sendTimeoutNow()
    if (progress.next <= this.#log.lastIndex) this.#replicate(from, false)
  }

  #noteLack (progress: Progress, message: MessageOf<'appendReply'>): void {
    if (message.match + 1 < progress.next) progress.next = Math.max(progress.match, message.match) + 1
    // Links keep order: who answers what was sent later, without having acknowledged this, will not get it any more.
    if (message.round > progress.sentRound) progress.resendMs = firstResendMs
  }

  #noteMatch (from: ReplicaId, progress: Progress, match: number): void {
    if (match > this.#log.lastIndex) {
      return this.#violate('log-matching', `${from} matches ${match} past ${this.#log.lastIndex}`)
    }
    if (match > progress.match) progress.resendMs = firstResendMs
    progress.match = Math.max(progress.match, match)
    progress.next = Math.max(progress.next, progress.match + 1)
    this.#advanceCommit()
  }

  #noteSynced (index: number, term: number): void {
    if (this.#log.termAt(index) !== term) return
    this.#synced = Math.max(this.#synced, index)
    if (this.#role === 'leader') this.#advanceCommit()
  }

  #advanceCommit (): void {
    const matches = this.members.voters.map(id => id === this.id ? this.#synced : this.#progressOf(id).match)
    matches.sort((a, b) => b - a)
    const agreed = Math.min(matches[this.members.voters.length >> 1] ?? 0, this.#log.lastIndex)
    if (agreed <= this.#commit || this.#log.termAt(agreed) !== this.#hard.term) return
    this.#commit = agreed
    this.#confirmReads()
    if (!this.#isVoter(this.id) && this.isSettled) this.#follow(this.#hard.term, null)
  }

  // Replication, follower's side.

  #handleAppend (from: ReplicaId, message: MessageOf<'append'>): void {
    if (message.term < this.#hard.term) return this.#reply(from, false, 0, message.round)
    this.#acceptLeader(from, message.term)
    if (message.prevIndex < this.#log.base) return this.#reply(from, true, this.#commit, message.round)
    if (this.#log.termAt(message.prevIndex) !== message.prevTerm) {
      const hint = Math.min(message.prevIndex - 1, this.#log.lastIndex)
      return this.#reply(from, false, Math.max(this.#commit, hint), message.round)
    }
    this.#appendNew(message.entries)
    const match = message.prevIndex + message.entries.length
    this.#commit = Math.max(this.#commit, Math.min(message.commit, match))
    this.#reply(from, true, match, message.round)
  }

  #appendNew (entries: readonly LogEntry[]): void {
    const fresh = entries.findIndex(entry => this.#log.termAt(entry.index) !== entry.term)
    if (fresh < 0) return
    const added = entries.slice(fresh)
    if (added[0].index <= this.#commit) {
      return this.#violate('committed-kept', `entry ${added[0].index} would replace a committed one`)
    }
    this.#synced = Math.min(this.#synced, added[0].index - 1)
    this.#log.append(added)
    this.#effects.push({ type: 'persist', hard: null, entries: added, snapshot: null })
  }

  #handleSnapshot (from: ReplicaId, message: MessageOf<'snapshot'>): void {
    if (message.term < this.#hard.term) return this.#reply(from, false, 0, message.round)
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
    if (this.#role === 'leader' && term === this.#hard.term) {
      return this.#violate('election-safety', `two leaders in term ${term}`)
    }
    if (term > this.#hard.term || this.#role !== 'follower' || this.#leader !== from) this.#follow(term, from)
    this.#leaderHeardAt = this.#now
    this.#resetElection()
  }

  #reply (to: ReplicaId, ok: boolean, match: number, round: number): void {
    this.#send(to, { type: 'appendReply', term: this.#hard.term, ok, match, round })
  }

  // Reads.

  #read (read: number): void {
    if (this.#role !== 'leader' || this.#commit < this.#termStart) {
      this.#effects.push({ type: 'readFailed', read })
      return
    }
    this.#round += 1
    this.#reads.push({ read, round: this.#round, index: this.#commit })
    for (const id of this.#others()) this.#replicate(id, true)
    this.#confirmReads()
  }

  #confirmReads (): void {
    while (this.#reads.length > 0) {
      const { read, round, index } = this.#reads[0]
      if (!this.#hasQuorum(id => id === this.id || this.#progressOf(id).round >= round)) return
      this.#reads.shift()
      this.#effects.push({ type: 'readReady', read, index })
    }
  }

  #failReads (): void {
    for (const { read } of this.#reads) this.#effects.push({ type: 'readFailed', read })
    this.#reads = []
  }

  // Leader transfer. Proposals are turned away meanwhile; it lapses by itself.

  get #isTransferring (): boolean { return this.#now < this.#transferUntil }

  #transfer (): void {
    if (this.#role !== 'leader') return
    this.#transferUntil = this.#now + this.#timing.electionMs
    this.#sendTimeoutNow()
  }

  #sendTimeoutNow (): void {
    for (const id of this.members.voters) {
      if (id === this.id || this.#progressOf(id).match !== this.#log.lastIndex) continue
      return this.#send(id, { type: 'timeoutNow', term: this.#hard.term })
    }
  }

  #handleTimeoutNow (message: MessageOf<'timeoutNow'>): void {
    if (message.term === this.#hard.term && this.#isVoter(this.id)) this.#campaign(false, true)
  }

  // Snapshots of this replica's own state.

  #compact (index: number, state: unknown): void {
    if (index <= this.#log.base || index > this.#applied) return
    const entry = this.#log.get(index)
    if (entry === undefined) return
    const members = this.#log.membersUpTo(index)
    const snapshot: Snapshot = { index, term: entry.term, time: entry.time, members, state }
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
    if (hard.term < this.#hard.term) this.#violate('term-rises', `${this.#hard.term} to ${hard.term}`)
    this.#hard = hard
    this.#effects.push({ type: 'persist', hard, entries: [], snapshot: null })
  }

  #progressOf (id: ReplicaId): Progress {
    const known = this.#progress.get(id)
    if (known !== undefined) return known
    const made: Progress = { next: this.#log.lastIndex + 1, match: 0, round: 0, heardAt: this.#now, sentAt: -Infinity, sentRound: -1, resendMs: firstResendMs }
    this.#progress.set(id, made)
    return made
  }

  #others (): ReplicaId[] {
    const { voters, learners } = this.members
    return [...voters, ...learners].filter(id => id !== this.id)
  }

  #isVoter (id: ReplicaId): boolean { return this.members.voters.includes(id) }

  #hasQuorum (counts: (id: ReplicaId) => boolean): boolean {
    const { voters } = this.members
    return voters.filter(counts).length * 2 > voters.length
  }

  #send (to: ReplicaId, message: RaftMessage, early = false): void {
    this.#effects.push({ type: 'send', to, message, early })
  }

  #violate (rule: string, detail: string): void {
    this.#effects.push({ type: 'violation', rule, detail: `${this.id}: ${detail}` })
  }
}

function assertNever (value: never): never {
  throw new Error(`unexpected ${JSON.stringify(value)}`)
}

function waitLonger (progress: Progress): void {
  progress.resendMs = Math.min(longestResendMs, progress.resendMs * 2)
}
