/**
 * Randomised simulations of a replicated log: several replicas without I/O over
 * a fake disk and a fake network. Messages are lost, delayed, reordered and
 * duplicated; links are cut in one or both directions; replicas crash at any
 * write, pause, and lose their disks. Invariants are checked at every step.
 */
import { RaftNode } from '../coordination/index.js'
import type { LogEntry, Members, RaftEffect, RaftEvent, RaftMessage, ReplicaId, Snapshot, StoredLog } from '../coordination/index.js'
import { createRandom } from '../runtime/index.js'
import { HistoryChecker } from './history-checker.js'
import { FakeDisk } from './history-peer.js'
import type { Peer, SendEffect } from './history-peer.js'

interface Packet {
  readonly from: ReplicaId
  readonly to: ReplicaId
  readonly message: RaftMessage
}

/** Result of a simulated run. */
export interface HistoryReport {
  readonly violations: readonly string[]
  readonly acknowledged: number
  readonly elections: number
  readonly crashes: number
  readonly disksLost: number
  readonly repaired: number
  readonly steps: number
}

const timing = { heartbeatMs: 50, electionMs: 300 }
const emptyDisk: StoredLog = { hard: { term: 0, vote: null }, snapshot: null, entries: [] }
const maxPackets = 400
/** Number of compactable entries from which a replica may compact its log. */
const compactAfterEntries = 12

export class RaftHistory {
  #random: () => number
  #peers = new Map<ReplicaId, Peer>()
  #network: Packet[] = []
  #cutLinks = new Set<string>()
  #checker = new HistoryChecker()
  #counter = 0
  #crashes = 0
  #disksLost = 0
  #repaired = 0
  #steps = 0
  #lostVoter: ReplicaId | null = null
  #diskSlowness = new Map<ReplicaId, number>()

  constructor (seed: number, size: number) {
    this.#random = createRandom(seed)
    const ids = Array.from({ length: size }, (_, i) => `k${i}#0` as ReplicaId)
    const snapshot: Snapshot = { index: 1, term: 1, time: 0, members: { voters: ids, learners: [] }, state: [] }
    for (const id of ids) this.#addPeer(id, { hard: { term: 1, vote: null }, snapshot, entries: [] })
  }

  /** Runs `steps` random steps, then ends all faults and checks the final state. */
  run (steps: number): HistoryReport {
    for (let i = 0; i < steps; i++) this.#runRandomStep()
    this.#recover()
    return {
      violations: this.#checker.violations,
      acknowledged: this.#checker.acknowledged,
      elections: this.#checker.elections,
      crashes: this.#crashes,
      disksLost: this.#disksLost,
      repaired: this.#repaired,
      steps: this.#steps
    }
  }

  #addPeer (id: ReplicaId, stored: StoredLog): Peer {
    const peer: Peer = { id, disk: new FakeDisk(stored), node: null, unsynced: [], sendsAfterSync: [], applied: [], appliedIndex: 0, isPaused: false, clock: this.#random() * 1000 }
    this.#peers.set(id, peer)
    this.#start(peer)
    return peer
  }

  #start (peer: Peer): void {
    const { stored } = peer.disk
    peer.node = new RaftNode(peer.id, stored, timing, this.#random, peer.clock)
    peer.applied = [...(stored.snapshot?.state as string[] | null ?? [])]
    peer.appliedIndex = stored.snapshot?.index ?? 0
    peer.unsynced = []
    peer.sendsAfterSync = []
  }

  #runRandomStep (): void {
    const roll = this.#random()
    if (roll < 0.44) return this.#deliver()
    if (roll < 0.6) return this.#passTime(this.#pickPeer(), 10 + this.#random() * 80)
    if (roll < 0.84) return this.#syncRandomly(this.#pickPeer())
    if (roll < 0.91) return this.#propose(this.#pickPeer())
    if (roll < 0.93) return this.#startRead(this.#pickPeer())
    if (roll < 0.937) return this.#togglePartition()
    if (roll < 0.945) return this.#crash(this.#pickPeer())
    if (roll < 0.95) return this.#togglePause(this.#pickPeer())
    if (roll < 0.955) return this.#step(this.#pickPeer(), { type: 'transfer', at: 0 })
    if (roll < 0.962) return this.#crashAll()
    this.#loseOrRepairDisk()
  }

  #pickPeer (): Peer {
    const peers = [...this.#peers.values()]
    return peers[Math.floor(this.#random() * peers.length)]
  }

  // Network.

  #deliver (): void {
    if (this.#network.length === 0) return
    const position = Math.floor(this.#random() * Math.min(8, this.#network.length))
    const packet = this.#network[position]
    const isDuplicated = this.#random() < 0.03
    if (!isDuplicated) this.#network.splice(position, 1)
    if (this.#random() < 0.04) return
    this.#receive(packet)
  }

  #receive (packet: Packet): void {
    const peer = this.#peers.get(packet.to)
    if (peer === undefined || peer.isPaused || this.#cutLinks.has(`${packet.from}>${packet.to}`)) return
    this.#step(peer, { type: 'receive', at: 0, from: packet.from, message: packet.message })
  }

  #send (from: ReplicaId, effect: SendEffect): void {
    if (this.#network.length < maxPackets) this.#network.push({ from, to: effect.to, message: effect.message })
  }

  #togglePartition (): void {
    if (this.#cutLinks.size > 0) {
      this.#cutLinks.clear()
      return
    }
    const isolated = this.#pickPeer()
    const isBidirectional = this.#random() < 0.6
    for (const otherId of this.#peers.keys()) {
      if (otherId === isolated.id) continue
      this.#cutLinks.add(`${isolated.id}>${otherId}`)
      if (isBidirectional) this.#cutLinks.add(`${otherId}>${isolated.id}`)
    }
  }

  // Replicas.

  #passTime (peer: Peer, ms: number): void {
    if (peer.isPaused) return
    peer.clock += ms
    this.#step(peer, { type: 'tick', at: 0 })
  }

  // At most one replica is paused at a time.
  #togglePause (peer: Peer): void {
    const paused = [...this.#peers.values()].find(one => one.isPaused)
    if (paused !== undefined) paused.isPaused = false
    else peer.isPaused = true
  }

  // A power loss of all replicas at once.
  #crashAll (): void {
    for (const peer of this.#peers.values()) this.#crash(peer)
  }

  #crash (peer: Peer): void {
    this.#crashes += 1
    // Any prefix of the unsynced writes may have reached the disk.
    const kept = Math.floor(this.#random() * (peer.unsynced.length + 1))
    peer.disk.write(peer.unsynced.slice(0, kept))
    peer.isPaused = false
    this.#start(peer)
  }

  #step (peer: Peer, event: RaftEvent): void {
    const { node } = peer
    if (node === null || peer.isPaused) return
    this.#steps += 1
    for (const effect of node.step({ ...event, at: peer.clock })) this.#perform(peer, effect)
  }

  #perform (peer: Peer, effect: RaftEffect): void {
    switch (effect.type) {
      case 'persist': return void peer.unsynced.push(effect)
      case 'send':
        if (effect.early) this.#send(peer.id, effect)
        else peer.sendsAfterSync.push(effect)
        return
      case 'apply': return this.#apply(peer, effect.entry)
      case 'restore': return this.#restore(peer, effect.snapshot)
      case 'accepted': return this.#checker.noteAccepted(effect.index, effect.term)
      case 'rejected': return
      case 'readReady': return this.#checker.finishRead(effect.read, effect.index)
      case 'readFailed': return this.#checker.failRead(effect.read)
      case 'role':
        if (effect.role === 'leader') this.#checker.noteLeader(peer.id, effect.term)
        return
      case 'violation': return this.#checker.reportViolation(`${effect.rule}: ${effect.detail}`)
    }
  }

  // Each replica's disk has a fixed slowness per run, so that many writes can be unsynced at a time.
  #syncRandomly (peer: Peer): void {
    if (this.#random() < this.#drawDiskSlowness(peer)) return
    this.#sync(peer)
  }

  #drawDiskSlowness (peer: Peer): number {
    const known = this.#diskSlowness.get(peer.id)
    if (known !== undefined) return known
    const drawn = this.#random() < 0.5 ? 0 : this.#random() * 0.95
    this.#diskSlowness.set(peer.id, drawn)
    return drawn
  }

  #sync (peer: Peer): void {
    const { node } = peer
    if (node === null || peer.isPaused || (peer.unsynced.length === 0 && peer.sendsAfterSync.length === 0)) return
    peer.disk.write(peer.unsynced)
    const { sendsAfterSync } = peer
    const { lastIndex, lastTerm } = node
    peer.unsynced = []
    peer.sendsAfterSync = []
    for (const effect of sendsAfterSync) this.#send(peer.id, effect)
    this.#step(peer, { type: 'synced', at: 0, index: lastIndex, term: lastTerm })
  }

  // State machine: a list of values.

  #apply (peer: Peer, entry: LogEntry): void {
    this.#checker.noteApplied(peer, entry)
    peer.appliedIndex = entry.index
    if (entry.content.type === 'command') peer.applied.push(String(entry.content.command))
    if (peer.node !== null && peer.node.compactable >= compactAfterEntries && this.#random() < 0.3) this.#compact(peer)
  }

  #compact (peer: Peer): void {
    this.#step(peer, { type: 'compact', at: 0, index: peer.appliedIndex, state: [...peer.applied] })
  }

  #restore (peer: Peer, snapshot: Snapshot): void {
    if (snapshot.index < peer.appliedIndex) this.#checker.reportViolation(`order: ${peer.id} restored an older snapshot, of index ${snapshot.index}`)
    peer.applied = [...snapshot.state as string[]]
    peer.appliedIndex = snapshot.index
  }

  #propose (peer: Peer): void {
    this.#counter += 1
    this.#step(peer, { type: 'propose', at: 0, wall: this.#steps, proposal: this.#counter, command: `v${this.#counter}` })
  }

  #startRead (peer: Peer): void {
    this.#counter += 1
    this.#checker.startRead(this.#counter)
    this.#step(peer, { type: 'read', at: 0, read: this.#counter })
  }

  // Disks: after the loss of one, the replica with a new disk is added to the members and the old one removed.

  #loseOrRepairDisk (): void {
    if (this.#lostVoter === null) this.#loseDisk()
    else this.#repair(this.#lostVoter)
  }

  #loseDisk (): void {
    const peer = this.#pickPeer()
    if (this.#peers.size < 3) return
    this.#disksLost += 1
    this.#peers.delete(peer.id)
    this.#lostVoter = peer.id
    const [name, generation] = peer.id.split('#')
    this.#addPeer(`${name}#${Number(generation) + 1}` as ReplicaId, emptyDisk)
  }

  #repair (lostId: ReplicaId): void {
    const leader = this.#findLeader()
    if (leader?.node == null) return
    const { members } = leader.node
    const [name] = lostId.split('#')
    const replacement = [...this.#peers.keys()].find(id => id.startsWith(`${name}#`))
    if (replacement === undefined) return
    const nextMembers = this.#nextMembers(members, lostId, replacement)
    if (nextMembers === null) {
      // Redundancy is restored only once the membership change is committed.
      if (!leader.node.hasCommittedMembers) return
      this.#lostVoter = null
      this.#repaired += 1
      return
    }
    this.#counter += 1
    this.#step(leader, { type: 'changeMembers', at: 0, wall: this.#steps, proposal: this.#counter, members: nextMembers })
  }

  #nextMembers (members: Members, lostId: ReplicaId, replacement: ReplicaId): Members | null {
    const { voters, learners } = members
    if (!voters.includes(replacement)) {
      if (!learners.includes(replacement)) return { voters, learners: [replacement] }
      return { voters: [...voters, replacement], learners: [] }
    }
    return voters.includes(lostId) ? { voters: voters.filter(id => id !== lostId), learners: [] } : null
  }

  #findLeader (): Peer | undefined {
    return [...this.#peers.values()].filter(peer => peer.node?.role === 'leader').sort((a, b) => (b.node?.term ?? 0) - (a.node?.term ?? 0))[0]
  }

  // Recovery: all faults end, and every acknowledged value must be present.

  #recover (): void {
    this.#cutLinks.clear()
    this.#network = []
    for (const peer of this.#peers.values()) peer.isPaused = false
    for (let round = 0; round < 400; round++) {
      for (const peer of this.#peers.values()) this.#passTime(peer, 10)
      for (const peer of this.#peers.values()) this.#sync(peer)
      const packets = this.#network
      this.#network = []
      for (const packet of packets) this.#receive(packet)
      if (round % 20 === 10) this.#proposeAtLeader()
    }
    this.#checkFinalState()
  }

  #proposeAtLeader (): void {
    const leader = this.#findLeader()
    if (leader !== undefined) this.#propose(leader)
  }

  #checkFinalState (): void {
    const leader = this.#findLeader()
    if (leader?.node == null) return this.#checker.reportViolation('progress: no leader after recovery')
    this.#checker.checkFinalState(leader, leader.node.members, this.#peers)
  }
}
