/**
 * The leader's part of the protocol for one term: replication to each member,
 * commitment, pending reads and leadership transfer. Pure, like the node that
 * owns it. Heartbeat round numbers are valid within the term only.
 */
import type { EntryList } from './entry-list.js'
import { limitEntries } from './entry-size.js'
import type { EntryContent, LogEntry, Members, RaftTiming, ReplicaId } from './log-types.js'
import { MemberProgress } from './member-progress.js'
import { PendingReads } from './pending-reads.js'
import { findQuorumIndex, hasQuorum, listPeers } from './quorum.js'
import type { Proposal, ProposalFault, RaftEffect } from './raft-event.js'
import type { RaftMessage } from './raft-message.js'

const maxEntriesPerMessage = 256
const maxInFlightEntries = 2048
/** Entries of one message, bytes: heartbeats and their replies wait behind it, and must not wait for an election timeout. */
const maxBytesPerMessage = 2 ** 20

/** The parts of the owning node that the leader uses. */
export interface LeaderHost {
  readonly id: ReplicaId
  readonly log: EntryList
  readonly term: number
  readonly now: number
  readonly commitIndex: number
  /** Highest index that is durable on this replica's disk. */
  readonly syncedIndex: number
  /** True if the last membership entry is committed. */
  readonly hasCommittedMembers: boolean
  emit (effect: RaftEffect): void
  commitTo (index: number): void
  stepDown (): void
  reportViolation (rule: string, detail: string): void
}

export class RaftLeader {
  #host: LeaderHost
  #timing: RaftTiming
  #progress = new Map<ReplicaId, MemberProgress>()
  #reads = new PendingReads()
  #nextHeartbeatAt = 0
  #round = 0
  #firstTermIndex: number
  #transferUntil = -Infinity

  constructor (host: LeaderHost, timing: RaftTiming) {
    this.#host = host
    this.#timing = timing
    this.#firstTermIndex = host.log.lastIndex + 1
  }

  /** Starts the term with a no-op entry: entries of older terms can only be committed together with an entry of this term. */
  start (): void {
    // Before the entry, so that it is the first that they are sent.
    for (const id of this.#peers) this.#getProgress(id)
    this.#append(this.#host.log.lastTime, { type: 'noop' })
    this.sendHeartbeatsIfDue()
  }

  /** The acknowledged index of each member with recent contact; for this replica the synced index. */
  get matches (): ReadonlyMap<ReplicaId, number> {
    const matches = new Map<ReplicaId, number>()
    for (const [id, progress] of this.#progress) {
      if (this.#host.now - progress.lastContactAt < 2 * this.#timing.electionMs) matches.set(id, progress.match)
    }
    matches.set(this.#host.id, this.#host.syncedIndex)
    return matches
  }

  /** Check-quorum: false if no quorum replied within the election timeout, so that another leader may have been elected. */
  get hasQuorumContact (): boolean {
    const { now } = this.#host
    return this.#hasQuorum(id => now - this.#getProgress(id).lastContactAt < this.#timing.electionMs)
  }

  /** Sends heartbeats if they are due. */
  sendHeartbeatsIfDue (): void {
    const { now } = this.#host
    if (now < this.#nextHeartbeatAt) return
    this.#nextHeartbeatAt = now + this.#timing.heartbeatMs
    this.#sendHeartbeats()
  }

  /** Ends the term on this replica and fails the pending reads. */
  endTerm (): void {
    for (const { read } of this.#reads.takeAll()) this.#host.emit({ type: 'readFailed', read })
  }

  // Proposals.

  propose (event: Proposal): void {
    const { proposal } = event
    const fault = this.#findFault(event)
    if (fault !== undefined) return this.#host.emit({ type: 'rejected', proposal, fault })
    const { index, term } = this.#append(event.wall, composeContent(event))
    this.#host.emit({ type: 'accepted', proposal, index, term })
    for (const id of this.#peers) this.#replicate(id, false)
  }

  #findFault (event: Proposal): ProposalFault | undefined {
    if (this.#isTransferring) return 'not-leader'
    return event.type === 'changeMembers' ? this.#findMembersFault(event.members) : undefined
  }

  #findMembersFault (members: Members): ProposalFault | undefined {
    const { commitIndex, hasCommittedMembers, log } = this.#host
    if (commitIndex < this.#firstTermIndex) return 'not-ready'
    if (!hasCommittedMembers) return 'change-in-progress'
    const { voters } = log.members
    const added = members.voters.filter(id => !voters.includes(id))
    const removed = voters.filter(id => !members.voters.includes(id))
    if (added.length + removed.length > 1 || members.voters.length === 0) return 'not-one-change'
    const isLagging = added.some(id => this.#getProgress(id).match < commitIndex)
    return isLagging ? 'not-caught-up' : undefined
  }

  #append (wall: number, content: EntryContent): LogEntry {
    const { log, term } = this.#host
    const time = Math.max(wall, log.lastTime)
    const entry: LogEntry = { index: log.lastIndex + 1, term, time, content }
    log.append([entry])
    this.#host.emit({ type: 'persist', hard: null, entries: [entry], snapshot: null })
    return entry
  }

  // Replication.

  #replicate (to: ReplicaId, isHeartbeat: boolean): void {
    const { log, now, term, commitIndex } = this.#host
    const progress = this.#getProgress(to)
    if (isHeartbeat) progress.retry(now)
    if (progress.next <= log.snapshotIndex) return this.#sendSnapshot(to, progress, isHeartbeat)
    const capacity = progress.match + maxInFlightEntries - progress.next + 1
    const entries = limitEntries(log.slice(progress.next, Math.max(0, Math.min(maxEntriesPerMessage, capacity))), maxBytesPerMessage)
    if (entries.length === 0 && !isHeartbeat) return
    const prevIndex = progress.next - 1
    const prevTerm = log.termAt(prevIndex)
    if (prevTerm === undefined) return this.#sendSnapshot(to, progress, isHeartbeat)
    progress.noteEntries(entries.length, now, this.#round)
    this.#send(to, { type: 'append', term, prevIndex, prevTerm, entries, commit: commitIndex, round: this.#round })
  }

  #sendSnapshot (to: ReplicaId, progress: MemberProgress, isHeartbeat: boolean): void {
    const { log, now, term } = this.#host
    const { snapshot } = log
    if (snapshot === null) return
    if (!progress.mayResend(now)) {
      if (isHeartbeat) this.#sendEmptyHeartbeat(to)
      return
    }
    progress.noteSnapshot(now, this.#round)
    this.#send(to, { type: 'snapshot', term, snapshot, round: this.#round })
  }

  // Heartbeat for a member that needs a snapshot. Its prevIndex matches no entry, so the member rejects it, but the reply confirms contact.
  #sendEmptyHeartbeat (to: ReplicaId): void {
    const { log, term } = this.#host
    this.#send(to, { type: 'append', term, prevIndex: log.lastIndex + 1, prevTerm: -1, entries: [], commit: 0, round: this.#round })
  }

  /** Handles a member's append reply of this term. */
  noteReply (from: ReplicaId, message: Extract<RaftMessage, { type: 'appendReply' }>): void {
    const { log, now } = this.#host
    const progress = this.#getProgress(from)
    progress.noteReply(now, message.round)
    if (message.ok) this.#noteMatch(from, progress, message.match)
    else progress.noteMismatch(message.match, message.round)
    this.#answerReads()
    if (this.#isTransferring && progress.match === log.lastIndex) this.#sendTimeoutNow()
    if (progress.next <= log.lastIndex) this.#replicate(from, false)
  }

  #noteMatch (from: ReplicaId, progress: MemberProgress, match: number): void {
    const { lastIndex } = this.#host.log
    if (match > lastIndex) return this.#host.reportViolation('log-matching', `${from} acknowledged index ${match} beyond the last index ${lastIndex}`)
    progress.noteMatch(match)
    this.advanceCommit()
  }

  /** Commits up to the highest index that a quorum has on disk, if that entry is of this term. */
  advanceCommit (): void {
    const { id, log, term, commitIndex, syncedIndex } = this.#host
    const quorumIndex = findQuorumIndex(log.members, one => one === id ? syncedIndex : this.#getProgress(one).match)
    const newCommit = Math.min(quorumIndex, log.lastIndex)
    if (newCommit <= commitIndex || log.termAt(newCommit) !== term) return
    this.#host.commitTo(newCommit)
    this.#answerReads()
    if (!log.members.voters.includes(id) && this.#host.hasCommittedMembers) this.#host.stepDown()
  }

  // Reads.

  read (read: number): void {
    const { commitIndex } = this.#host
    if (commitIndex < this.#firstTermIndex) return this.#host.emit({ type: 'readFailed', read })
    this.#sendHeartbeats()
    this.#reads.add({ read, round: this.#round, index: commitIndex })
    this.#answerReads()
  }

  #answerReads (): void {
    const isConfirmed = (round: number): boolean => this.#hasQuorum(id => this.#getProgress(id).round >= round)
    for (const { read, index } of this.#reads.takeConfirmed(isConfirmed)) this.#host.emit({ type: 'readReady', read, index })
  }

  // Leadership transfer. Proposals are rejected until it completes or the election timeout passes.

  get #isTransferring (): boolean { return this.#host.now < this.#transferUntil }

  transfer (): void {
    this.#transferUntil = this.#host.now + this.#timing.electionMs
    this.#sendTimeoutNow()
  }

  #sendTimeoutNow (): void {
    const { id: own, log, term } = this.#host
    // The voter that joined last: an earlier one may be about to leave, too.
    const successor = [...log.members.voters].reverse().find(id => id !== own && this.#getProgress(id).match === log.lastIndex)
    if (successor !== undefined) this.#host.emit({ type: 'send', to: successor, message: { type: 'timeoutNow', term }, early: false })
  }

  // Helpers.

  get #peers (): ReplicaId[] { return listPeers(this.#host.log.members, this.#host.id) }

  #sendHeartbeats (): void {
    this.#round += 1
    for (const id of this.#peers) this.#replicate(id, true)
  }

  // This replica always counts towards the quorum.
  #hasQuorum (isCounted: (id: ReplicaId) => boolean): boolean {
    return hasQuorum(this.#host.log.members, id => id === this.#host.id || isCounted(id))
  }

  #getProgress (id: ReplicaId): MemberProgress {
    const existing = this.#progress.get(id)
    if (existing !== undefined) return existing
    const created = new MemberProgress(this.#host.log.lastIndex + 1, this.#host.now)
    this.#progress.set(id, created)
    return created
  }

  // A leader may send entries before they are durable on its own disk.
  #send (to: ReplicaId, message: RaftMessage): void {
    this.#host.emit({ type: 'send', to, message, early: true })
  }
}

function composeContent (event: Proposal): EntryContent {
  switch (event.type) {
    case 'propose': return { type: 'command', command: event.command }
    case 'changeMembers': return { type: 'members', members: event.members }
  }
}
