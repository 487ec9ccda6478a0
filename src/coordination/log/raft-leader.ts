/**
 * A replica's time as leader, from its election to the end of its term: what
 * each member is sent, what is agreed on, the reads that wait, and the transfer
 * of the lead. Pure, as the node that owns it; its round numbers hold for one term.
 */
import type { EntryList } from './entry-list.js'
import type { EntryContent, LogEntry, Members, RaftTiming, ReplicaId } from './log-types.js'
import { MemberProgress } from './member-progress.js'
import { PendingReads } from './pending-reads.js'
import { findAgreed, hasQuorum, listOthers } from './quorum.js'
import type { Proposal, ProposalFault, RaftEffect } from './raft-event.js'
import type { RaftMessage } from './raft-message.js'

const entriesPerMessage = 256
const pipelinedEntries = 2048

/** The node that leads, as its leadership sees it. */
export interface LeaderHost {
  readonly id: ReplicaId
  readonly log: EntryList
  readonly term: number
  readonly now: number
  readonly commitIndex: number
  /** Index up to which its own disk has the log. */
  readonly syncedIndex: number
  /** True where the last change of members is committed. */
  readonly isSettled: boolean
  emit (effect: RaftEffect): void
  commitTo (index: number): void
  stepDown (): void
  violate (rule: string, detail: string): void
}

export class RaftLeader {
  #host: LeaderHost
  #timing: RaftTiming
  #progress = new Map<ReplicaId, MemberProgress>()
  #reads = new PendingReads()
  #heartbeatAt = 0
  #round = 0
  #termStart: number
  #transferUntil = -Infinity

  constructor (host: LeaderHost, timing: RaftTiming) {
    this.#host = host
    this.#timing = timing
    this.#termStart = host.log.lastIndex + 1
  }

  /** Begins the term: nothing of older terms is committed before an entry of this one is. */
  start (): void {
    this.#append(this.#host.log.lastTime, { type: 'noop' })
    this.beat()
  }

  /** The acknowledged index of each member that was heard from lately; the own one is what is synced. */
  get matches (): ReadonlyMap<ReplicaId, number> {
    const matches = new Map<ReplicaId, number>()
    for (const [id, progress] of this.#progress) {
      if (this.#host.now - progress.heardAt < 2 * this.#timing.electionMs) matches.set(id, progress.match)
    }
    matches.set(this.#host.id, this.#host.syncedIndex)
    return matches
  }

  /** False where no quorum was heard from for as long as an election takes: another may lead by now. */
  get isHeard (): boolean {
    const { now } = this.#host
    return this.#hasQuorum(id => now - this.#progressOf(id).heardAt < this.#timing.electionMs)
  }

  /** Sends heartbeats if they are due. */
  beat (): void {
    const { now } = this.#host
    if (now < this.#heartbeatAt) return
    this.#heartbeatAt = now + this.#timing.heartbeatMs
    this.#beatNow()
  }

  /** Ends the term here: the reads that wait can't be answered. */
  close (): void {
    for (const { read } of this.#reads.takeAll()) this.#host.emit({ type: 'readFailed', read })
  }

  // Proposals.

  propose (event: Proposal): void {
    const { proposal } = event
    const fault = this.#findFault(event)
    if (fault !== undefined) return this.#host.emit({ type: 'rejected', proposal, fault })
    const { index, term } = this.#append(event.wall, describeContent(event))
    this.#host.emit({ type: 'accepted', proposal, index, term })
    for (const id of this.#others) this.#replicate(id, false)
  }

  #findFault (event: Proposal): ProposalFault | undefined {
    if (this.#isTransferring) return 'not-leader'
    return event.type === 'changeMembers' ? this.#findMembersFault(event.members) : undefined
  }

  #findMembersFault (members: Members): ProposalFault | undefined {
    const { commitIndex, isSettled, log } = this.#host
    if (commitIndex < this.#termStart) return 'not-ready'
    if (!isSettled) return 'change-in-progress'
    const { voters } = log.members
    const added = members.voters.filter(id => !voters.includes(id))
    const removed = voters.filter(id => !members.voters.includes(id))
    if (added.length + removed.length > 1 || members.voters.length === 0) return 'not-one-change'
    const lacking = added.some(id => this.#progressOf(id).match < commitIndex)
    return lacking ? 'not-caught-up' : undefined
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
    const progress = this.#progressOf(to)
    if (isHeartbeat) progress.retry(now)
    if (progress.next <= log.base) return this.#sendSnapshot(to, progress, isHeartbeat)
    const room = progress.match + pipelinedEntries - progress.next + 1
    const entries = log.slice(progress.next, Math.max(0, Math.min(entriesPerMessage, room)))
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
      if (isHeartbeat) this.#sendBareBeat(to)
      return
    }
    progress.noteSnapshot(now, this.#round)
    this.#send(to, { type: 'snapshot', term, snapshot, round: this.#round })
  }

  // A heartbeat to one whose log ends before this one begins: it stands after no entry, so it is refused.
  #sendBareBeat (to: ReplicaId): void {
    const { log, term } = this.#host
    this.#send(to, { type: 'append', term, prevIndex: log.lastIndex + 1, prevTerm: -1, entries: [], commit: 0, round: this.#round })
  }

  /** Takes a member's answer of this term. */
  noteReply (from: ReplicaId, message: Extract<RaftMessage, { type: 'appendReply' }>): void {
    const { log, now } = this.#host
    const progress = this.#progressOf(from)
    progress.noteHeard(now, message.round)
    if (message.ok) this.#noteMatch(from, progress, message.match)
    else progress.noteLack(message.match, message.round)
    this.#answerReads()
    if (this.#isTransferring && progress.match === log.lastIndex) this.#sendTimeoutNow()
    if (progress.next <= log.lastIndex) this.#replicate(from, false)
  }

  #noteMatch (from: ReplicaId, progress: MemberProgress, match: number): void {
    const { lastIndex } = this.#host.log
    if (match > lastIndex) return this.#host.violate('log-matching', `${from} matches ${match} past ${lastIndex}`)
    progress.noteMatch(match)
    this.advanceCommit()
  }

  /** Commits what a quorum has on disk, if it ends with an entry of this term. */
  advanceCommit (): void {
    const { id, log, term, commitIndex, syncedIndex } = this.#host
    const agreed = findAgreed(log.members, one => one === id ? syncedIndex : this.#progressOf(one).match)
    const newest = Math.min(agreed, log.lastIndex)
    if (newest <= commitIndex || log.termAt(newest) !== term) return
    this.#host.commitTo(newest)
    this.#answerReads()
    if (!log.members.voters.includes(id) && this.#host.isSettled) this.#host.stepDown()
  }

  // Reads.

  read (read: number): void {
    const { commitIndex } = this.#host
    if (commitIndex < this.#termStart) return this.#host.emit({ type: 'readFailed', read })
    this.#beatNow()
    this.#reads.add({ read, round: this.#round, index: commitIndex })
    this.#answerReads()
  }

  #answerReads (): void {
    const isAnswered = (round: number): boolean => this.#hasQuorum(id => this.#progressOf(id).round >= round)
    for (const { read, index } of this.#reads.takeAnswered(isAnswered)) this.#host.emit({ type: 'readReady', read, index })
  }

  // Transfer of the lead. Proposals are turned away meanwhile; it lapses by itself.

  get #isTransferring (): boolean { return this.#host.now < this.#transferUntil }

  transfer (): void {
    this.#transferUntil = this.#host.now + this.#timing.electionMs
    this.#sendTimeoutNow()
  }

  #sendTimeoutNow (): void {
    const { id: own, log, term } = this.#host
    const heir = log.members.voters.find(id => id !== own && this.#progressOf(id).match === log.lastIndex)
    if (heir !== undefined) this.#host.emit({ type: 'send', to: heir, message: { type: 'timeoutNow', term }, early: false })
  }

  // Helpers.

  get #others (): ReplicaId[] { return listOthers(this.#host.log.members, this.#host.id) }

  #beatNow (): void {
    this.#round += 1
    for (const id of this.#others) this.#replicate(id, true)
  }

  // This replica always counts.
  #hasQuorum (counts: (id: ReplicaId) => boolean): boolean {
    return hasQuorum(this.#host.log.members, id => id === this.#host.id || counts(id))
  }

  #progressOf (id: ReplicaId): MemberProgress {
    const known = this.#progress.get(id)
    if (known !== undefined) return known
    const made = new MemberProgress(this.#host.log.lastIndex + 1, this.#host.now)
    this.#progress.set(id, made)
    return made
  }

  // What a leader sends its members need not wait for its own disk.
  #send (to: ReplicaId, message: RaftMessage): void {
    this.#host.emit({ type: 'send', to, message, early: true })
  }
}

function describeContent (event: Proposal): EntryContent {
  switch (event.type) {
    case 'propose': return { type: 'command', command: event.command }
    case 'changeMembers': return { type: 'members', members: event.members }
  }
}
