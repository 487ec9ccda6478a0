/** What the replicas of a history did, side by side, and whether the promises of a replicated log were kept. */
import type { LogEntry, Members, ReplicaId } from '../coordination/index.js'
import type { Peer } from './history-peer.js'

const maxViolations = 20
/** Entries that a replica may lack some time after all is well again. */
const maxLagEntries = 20

export class HistoryChecker {
  #leaders = new Map<number, ReplicaId>()
  /** What was applied at each index by whoever came first. */
  #appliedByIndex = new Map<number, string>()
  /** Index and term of each accepted proposal. */
  #acceptedProposals = new Set<string>()
  /** Index of each acknowledged value. */
  #acknowledgedIndexes = new Map<string, number>()
  /** The newest acknowledged index when each read began. */
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
    if (other !== undefined && other !== id) this.reportViolation(`election-safety: ${other} and ${id} lead term ${term}`)
    this.#leaders.set(term, id)
  }

  noteAccepted (index: number, term: number): void {
    this.#acceptedProposals.add(`${index}:${term}`)
  }

  /** A replica applies an entry: in order, and the same as all others did. */
  noteApplied (peer: Peer, { index, term, content }: LogEntry): void {
    if (index !== peer.appliedIndex + 1) this.reportViolation(`order: ${peer.id} applies ${index} after ${peer.appliedIndex}`)
    const value = content.type === 'command' ? String(content.command) : content.type
    const entryKey = `${term}:${value}`
    const previous = this.#appliedByIndex.get(index)
    if (previous !== undefined && previous !== entryKey) this.reportViolation(`agreement: index ${index} is ${previous} and ${entryKey}`)
    this.#appliedByIndex.set(index, entryKey)
    if (content.type === 'command' && peer.node?.role === 'leader' && this.#acceptedProposals.has(`${index}:${term}`)) this.#acknowledgedIndexes.set(value, index)
  }

  startRead (read: number): void {
    this.#readMinIndexes.set(read, Math.max(0, ...this.#acknowledgedIndexes.values()))
  }

  /** A read must see everything that was acknowledged before it began. */
  finishRead (read: number, index: number): void {
    const minIndex = this.#readMinIndexes.get(read)
    this.#readMinIndexes.delete(read)
    if (minIndex !== undefined && index < minIndex) this.reportViolation(`read: index ${index}, but ${minIndex} was acknowledged before`)
  }

  failRead (read: number): void {
    this.#readMinIndexes.delete(read)
  }

  /** All is well again: everything that was acknowledged is there, once, and the same everywhere. */
  checkFinalState (leader: Peer, { voters }: Members, peers: ReadonlyMap<ReplicaId, Peer>): void {
    const remaining = voters.filter(id => peers.has(id))
    if (remaining.length * 2 <= voters.length) return
    for (const [value, index] of this.#acknowledgedIndexes) {
      if (!leader.applied.includes(value)) this.reportViolation(`lost: ${value} at ${index} was acknowledged, and ${leader.id} lacks it`)
    }
    const unique = new Set(leader.applied)
    if (unique.size !== leader.applied.length) this.reportViolation('twice: a value was applied twice')
    for (const id of remaining) this.#checkReplica(leader, peers.get(id))
  }

  #checkReplica (leader: Peer, peer: Peer | undefined): void {
    if (peer === undefined) return
    const lagEntries = leader.appliedIndex - peer.appliedIndex
    if (lagEntries > maxLagEntries) this.reportViolation(`progress: ${peer.id} is ${lagEntries} entries behind after healing`)
    const commonLength = Math.min(leader.applied.length, peer.applied.length)
    for (let i = 0; i < commonLength; i++) {
      if (leader.applied[i] !== peer.applied[i]) return this.reportViolation(`agreement: value ${i} differs at ${peer.id}`)
    }
  }
}
