/** Checks the safety properties of a replicated log against what the replicas of a simulated run did, and their progress at its end. */
import type { LogEntry, Members, ReplicaId } from '../coordination/index.js'
import type { Peer } from './history-peer.js'

const maxViolations = 20
/** Number of entries by which a replica may lag behind the leader after recovery. */
const maxLagEntries = 20

export class HistoryChecker {
  #leaders = new Map<number, ReplicaId>()
  /** Term and value of the entry applied at each index. */
  #appliedByIndex = new Map<number, string>()
  /** Index and term of each accepted proposal. */
  #acceptedProposals = new Set<string>()
  /** Index of each acknowledged value. */
  #acknowledgedIndexes = new Map<string, number>()
  /** For each read in progress, the highest acknowledged index at its start. */
  #readMinIndexes = new Map<number, number>()
  #violations: string[] = []
  #elections = 0

  get violations (): readonly string[] { return this.#violations }
  get acknowledged (): number { return this.#acknowledgedIndexes.size }
  get elections (): number { return this.#elections }

  reportViolation (text: string): void {
    if (this.#violations.length < maxViolations) this.#violations.push(text)
  }

  noteLeader (id: ReplicaId, term: number): void {
    this.#elections += 1
    const other = this.#leaders.get(term)
    if (other !== undefined && other !== id) this.reportViolation(`election-safety: ${other} and ${id} are both leaders in term ${term}`)
    this.#leaders.set(term, id)
  }

  noteAccepted (index: number, term: number): void {
    this.#acceptedProposals.add(`${index}:${term}`)
  }

  /** Checks that a replica applies entries in order, and the same entry at each index as every other replica. */
  noteApplied (peer: Peer, { index, term, content }: LogEntry): void {
    if (index !== peer.appliedIndex + 1) this.reportViolation(`order: ${peer.id} applied index ${index} after ${peer.appliedIndex}`)
    const value = content.type === 'command' ? String(content.command) : content.type
    const entryKey = `${term}:${value}`
    const previous = this.#appliedByIndex.get(index)
    if (previous !== undefined && previous !== entryKey) this.reportViolation(`agreement: different entries applied at index ${index}: ${previous} and ${entryKey}`)
    this.#appliedByIndex.set(index, entryKey)
    if (content.type === 'command' && peer.node?.role === 'leader' && this.#acceptedProposals.has(`${index}:${term}`)) this.#acknowledgedIndexes.set(value, index)
  }

  startRead (read: number): void {
    this.#readMinIndexes.set(read, Math.max(0, ...this.#acknowledgedIndexes.values()))
  }

  /** Checks that a read sees everything acknowledged before its start. */
  finishRead (read: number, index: number): void {
    const minIndex = this.#readMinIndexes.get(read)
    this.#readMinIndexes.delete(read)
    if (minIndex !== undefined && index < minIndex) this.reportViolation(`read: returned index ${index}, but index ${minIndex} was acknowledged before it started`)
  }

  failRead (read: number): void {
    this.#readMinIndexes.delete(read)
  }

  /** Checks after recovery that every acknowledged value is present exactly once and that all replicas agree; skipped unless a majority of the voters kept their disks. */
  checkFinalState (leader: Peer, { voters }: Members, peers: ReadonlyMap<ReplicaId, Peer>): void {
    const remaining = voters.filter(id => peers.has(id))
    if (remaining.length * 2 <= voters.length) return
    for (const [value, index] of this.#acknowledgedIndexes) {
      if (!leader.applied.includes(value)) this.reportViolation(`lost: ${value} was acknowledged at index ${index}, but leader ${leader.id} has not applied it`)
    }
    const unique = new Set(leader.applied)
    if (unique.size !== leader.applied.length) this.reportViolation('duplicate: a value was applied twice')
    for (const id of remaining) this.#checkReplica(leader, peers.get(id))
  }

  #checkReplica (leader: Peer, peer: Peer | undefined): void {
    if (peer === undefined) return
    const lagEntries = leader.appliedIndex - peer.appliedIndex
    if (lagEntries > maxLagEntries) this.reportViolation(`progress: ${peer.id} lags ${lagEntries} entries behind the leader after recovery`)
    const commonLength = Math.min(leader.applied.length, peer.applied.length)
    for (let i = 0; i < commonLength; i++) {
      if (leader.applied[i] !== peer.applied[i]) return this.reportViolation(`agreement: value ${i} of ${peer.id} differs from that of the leader`)
    }
  }
}
