/** What the replicas of a history did, side by side, and whether the promises of a replicated log were kept. */
import type { LogEntry, Members, ReplicaId } from '../coordination/index.js'
import type { Peer } from './history-peer.js'

const mostViolations = 20
/** Entries that a replica may lack some time after all is well again. */
const mostBehind = 20

export class HistoryLedger {
  #leaders = new Map<number, ReplicaId>()
  /** What was applied at each index by whoever came first. */
  #agreed = new Map<number, string>()
  /** Index and term of each accepted proposal. */
  #accepted = new Set<string>()
  /** Index of each acknowledged value. */
  #acknowledged = new Map<string, number>()
  /** The newest acknowledged index when each read began. */
  #reads = new Map<number, number>()
  #violations: string[] = []
  #elections = 0

  get violations (): readonly string[] { return this.#violations }
  get acknowledged (): number { return this.#acknowledged.size }
  get elections (): number { return this.#elections }

  violate (text: string): void {
    if (this.#violations.length < mostViolations) this.#violations.push(text)
  }

  noteLeader (id: ReplicaId, term: number): void {
    this.#elections += 1
    const other = this.#leaders.get(term)
    if (other !== undefined && other !== id) this.violate(`election-safety: ${other} and ${id} lead term ${term}`)
    this.#leaders.set(term, id)
  }

  noteAccepted (index: number, term: number): void {
    this.#accepted.add(`${index}:${term}`)
  }

  /** A replica applies an entry: in order, and the same as all others did. */
  noteApplied (peer: Peer, { index, term, content }: LogEntry): void {
    if (index !== peer.appliedIndex + 1) this.violate(`order: ${peer.id} applies ${index} after ${peer.appliedIndex}`)
    const value = content.type === 'command' ? String(content.command) : content.type
    const mark = `${term}:${value}`
    const agreed = this.#agreed.get(index)
    if (agreed !== undefined && agreed !== mark) this.violate(`agreement: index ${index} is ${agreed} and ${mark}`)
    this.#agreed.set(index, mark)
    if (content.type === 'command' && peer.node?.role === 'leader' && this.#accepted.has(`${index}:${term}`)) this.#acknowledged.set(value, index)
  }

  startRead (read: number): void {
    this.#reads.set(read, Math.max(0, ...this.#acknowledged.values()))
  }

  /** A read must see everything that was acknowledged before it began. */
  endRead (read: number, index: number): void {
    const least = this.#reads.get(read)
    this.#reads.delete(read)
    if (least !== undefined && index < least) this.violate(`read: index ${index}, but ${least} was acknowledged before`)
  }

  dropRead (read: number): void {
    this.#reads.delete(read)
  }

  /** All is well again: everything that was acknowledged is there, once, and the same everywhere. */
  checkEnd (leader: Peer, { voters }: Members, peers: ReadonlyMap<ReplicaId, Peer>): void {
    const reachable = voters.filter(id => peers.has(id))
    if (reachable.length * 2 <= voters.length) return
    for (const [value, index] of this.#acknowledged) {
      if (!leader.applied.includes(value)) this.violate(`lost: ${value} at ${index} was acknowledged, and ${leader.id} lacks it`)
    }
    const unique = new Set(leader.applied)
    if (unique.size !== leader.applied.length) this.violate('twice: a value was applied twice')
    for (const id of reachable) this.#checkSame(leader, peers.get(id))
  }

  #checkSame (leader: Peer, peer: Peer | undefined): void {
    if (peer === undefined) return
    const behind = leader.appliedIndex - peer.appliedIndex
    if (behind > mostBehind) this.violate(`progress: ${peer.id} is ${behind} entries behind after healing`)
    const common = Math.min(leader.applied.length, peer.applied.length)
    for (let i = 0; i < common; i++) {
      if (leader.applied[i] !== peer.applied[i]) return this.violate(`agreement: value ${i} differs at ${peer.id}`)
    }
  }
}
