/**
 * Simulations of a log whose machines are replaced: successors join in the zones of
 * earlier machines, which are then taken away for good, stopped as planned or killed,
 * one after another or at once, while others are restarted or cut off. Time passes in
 * small steps; each leader changes the members as registries do.
 */
import { RaftNode, planMembers } from '../coordination/index.js'
import type { KeeperObservation, MembershipTarget, RaftEffect, RaftEvent, RaftMessage, ReplicaId, Snapshot, StoredLog } from '../coordination/index.js'
import { createRandom } from '../runtime/index.js'
import { FakeDisk } from './history-peer.js'
import type { PersistEffect, SendEffect } from './history-peer.js'

/** What is taken away, and how. */
export type Removal = 'planned' | 'killed' | 'cut off'

export interface MemberHistoryShape {
  readonly seed: number
  readonly zones: number
  /** Time that a machine has after its start until the one that it follows may go, ms. */
  readonly catchUpMs: number
  /** Within this time after the last disturbance the log accepts commands again, ms. */
  readonly recoverMs: number
}

interface Machine {
  readonly id: ReplicaId
  readonly zone: string
  readonly isLater: boolean
  readonly disk: FakeDisk
  readonly heard: Map<ReplicaId, { readonly zone: string, readonly isLater: boolean, readonly at: number }>
  /** Null while it is down. */
  node: RaftNode | null
  unsynced: PersistEffect[]
  sendsAfterSync: SendEffect[]
  applied: string[]
  isCut: boolean
  plansAt: number
}

interface Packet {
  readonly at: number
  readonly from: Machine
  readonly to: ReplicaId
  readonly message: RaftMessage
}

const timing = { heartbeatMs: 50, electionMs: 300 }
const stepMs = 10
const helloMs = 250
const maxDelayMs = 20
/** Pause between machines that are taken away one after another, ms, at most. */
const maxPauseMs = 1500
const restartMs = 900
const emptyDisk: StoredLog = { hard: { term: 0, vote: null }, snapshot: null, entries: [] }

export class MemberHistory {
  #shape: MemberHistoryShape
  #target: MembershipTarget
  #random: () => number
  #machines: Machine[] = []
  #network: Packet[] = []
  #at = 0
  #counter = 0
  #acknowledged = new Set<string>()
  #proposed = new Map<number, string>()
  #violations: string[] = []
  #removed = 0

  constructor (shape: MemberHistoryShape) {
    this.#shape = shape
    this.#target = { voters: shape.zones, maxPerZone: 1, replaceVoterMs: 2500, dropLearnerMs: 60_000 }
    this.#random = createRandom(shape.seed)
    const ids = Array.from({ length: shape.zones }, (_, i) => `m${i}#first` as ReplicaId)
    const snapshot: Snapshot = { index: 1, term: 1, time: 0, members: { voters: ids, learners: [] }, state: [] }
    ids.forEach((id, i) => this.#add(id, `z${i}`, false, { hard: { term: 1, vote: null }, snapshot, entries: [] }))
    this.#counter = shape.zones
  }

  get violations (): readonly string[] { return this.#violations }
  get acknowledged (): number { return this.#acknowledged.size }
  get removed (): number { return this.#removed }

  /** Plays some rounds of replacements and faults; after each the log has to accept commands, and to hold all that it acknowledged. */
  run (rounds: number): void {
    this.#pass(2000)
    this.#expectProgress('at the start')
    for (let i = 0; i < rounds && this.#violations.length === 0; i++) {
      if (this.#random() < 0.4) this.#injectFault()
      else this.#replaceSome()
    }
  }

  // Some zones get a successor each; once these have had their time, all that they follow go.
  #replaceSome (): void {
    const earlier = this.#shuffle(this.#machines.filter(({ node }) => node !== null)).slice(0, 1 + Math.floor(this.#random() * this.#shape.zones))
    for (const { zone } of earlier) {
      this.#add(`m${this.#counter}#disk` as ReplicaId, zone, true, emptyDisk)
      this.#counter += 1
      if (this.#random() < 0.5) this.#pass(this.#shape.catchUpMs)
    }
    this.#pass(this.#shape.catchUpMs)
    this.#expectProgress(`after ${earlier.length} successors`)
    const isAtOnce = this.#random() < 0.5
    const removals = earlier.map(machine => ({ machine, how: this.#drawRemoval() }))
    for (const { machine, how } of removals) {
      this.#remove(machine, how)
      if (!isAtOnce) this.#pass(this.#random() * maxPauseMs)
    }
    this.#expectProgress(`after ${removals.map(({ machine, how }) => `${machine.id} ${how}`).join(', ')}`)
  }

  // One machine is restarted or cut off, or a zone is.
  #injectFault (): void {
    const machine = this.#shuffle(this.#machines.filter(({ node }) => node !== null))[0]
    const { zone } = machine
    const hit = this.#random() < 0.4 ? this.#machines.filter(one => one.zone === zone && one.node !== null) : [machine]
    const isCut = this.#random() < 0.5
    for (const one of hit) {
      if (isCut) one.isCut = true
      else one.node = null
    }
    this.#pass(isCut ? 1000 + this.#random() * 5000 : restartMs)
    // The others go on meanwhile, if it takes longer than an election.
    for (const one of hit) {
      one.isCut = false
      if (one.node === null) this.#start(one)
    }
    this.#expectProgress(`after ${hit.map(({ id }) => id).join(', ')} ${isCut ? 'were cut off' : 'restarted'}`)
    this.#pass(this.#shape.catchUpMs)
  }

  #drawRemoval (): Removal {
    const roll = this.#random()
    return roll < 0.5 ? 'planned' : roll < 0.8 ? 'killed' : 'cut off'
  }

  #remove (machine: Machine, how: Removal): void {
    this.#removed += 1
    if (how === 'planned' && machine.node?.role === 'leader') {
      this.#step(machine, { type: 'transfer', at: this.#at })
      this.#pass(100)
    }
    if (how === 'cut off') machine.isCut = true
    machine.node = null
    this.#machines = this.#machines.filter(one => one !== machine)
  }

  #expectProgress (when: string): void {
    const value = `v${this.#counter}`
    this.#counter += 1
    for (let waited = 0; waited < this.#shape.recoverMs && !this.#acknowledged.has(value); waited += helloMs) {
      for (const machine of this.#machines) {
        this.#counter += 1
        this.#proposed.set(this.#counter, value)
        if (machine.node?.role === 'leader') this.#step(machine, { type: 'propose', at: this.#at, wall: this.#at, proposal: this.#counter, command: value })
      }
      this.#pass(helloMs)
    }
    if (!this.#acknowledged.has(value)) return void this.#violations.push(`no command was accepted ${when}: ${this.#describe()}`)
    const leader = this.#machines.filter(({ node }) => node?.role === 'leader').sort((a, b) => (b.node?.term ?? 0) - (a.node?.term ?? 0))[0]
    for (const one of this.#acknowledged) if (leader !== undefined && !leader.applied.includes(one)) this.#violations.push(`${one} was lost ${when}`)
  }

  #describe (): string {
    return this.#machines.map(({ id, zone, node }) => `${id} in ${zone} ${node?.role ?? 'down'} of ${node?.members.voters.join('/') ?? ''}`).join('; ')
  }

  // Machines.

  #add (id: ReplicaId, zone: string, isLater: boolean, stored: StoredLog): void {
    const machine: Machine = { id, zone, isLater, disk: new FakeDisk(stored), heard: new Map(), node: null, unsynced: [], sendsAfterSync: [], applied: [], isCut: false, plansAt: 0 }
    this.#machines.push(machine)
    this.#start(machine)
  }

  #start (machine: Machine): void {
    const { stored } = machine.disk
    machine.node = new RaftNode(machine.id, stored, timing, this.#random, this.#at)
    machine.applied = [...(stored.snapshot?.state as string[] | null ?? [])]
    machine.unsynced = []
    machine.sendsAfterSync = []
    machine.heard.clear()
    machine.plansAt = this.#at + this.#random() * helloMs
  }

  #pass (ms: number): void {
    const until = this.#at + ms
    while (this.#at < until) {
      this.#at += stepMs
      this.#deliver()
      for (const machine of this.#machines) this.#runStep(machine)
    }
  }

  #runStep (machine: Machine): void {
    if (machine.node === null) return
    this.#step(machine, { type: 'tick', at: this.#at })
    if (this.#at >= machine.plansAt) {
      machine.plansAt = this.#at + helloMs
      this.#announce(machine)
      this.#plan(machine)
    }
    this.#sync(machine)
  }

  #announce (machine: Machine): void {
    for (const other of this.#machines) {
      if (other !== machine && other.node !== null && this.#isLinked(machine, other)) other.heard.set(machine.id, { zone: machine.zone, isLater: machine.isLater, at: this.#at })
    }
  }

  #plan (machine: Machine): void {
    const { node } = machine
    if (node?.role !== 'leader' || !node.hasCommittedMembers) return
    const { matches } = node
    const observations: KeeperObservation[] = [{ replica: machine.id, zone: machine.zone, isLater: machine.isLater, silentMs: 0, match: matches.get(machine.id) ?? 0 }]
    for (const [replica, { zone, isLater, at }] of machine.heard) observations.push({ replica, zone, isLater, silentMs: this.#at - at, match: matches.get(replica) ?? 0 })
    const next = planMembers({ members: node.members, self: machine.id, commit: node.commitIndex, observations }, this.#target)
    if (next === null) return
    this.#counter += 1
    if (next.type === 'transfer') this.#step(machine, { type: 'transfer', at: this.#at })
    else this.#step(machine, { type: 'changeMembers', at: this.#at, wall: this.#at, proposal: this.#counter, members: next.members })
    // The next change follows as soon as this one is committed.
    machine.plansAt = this.#at + stepMs
  }

  #sync (machine: Machine): void {
    const { node, unsynced, sendsAfterSync } = machine
    if (node === null || (unsynced.length === 0 && sendsAfterSync.length === 0)) return
    machine.disk.write(unsynced)
    const { lastIndex, lastTerm } = node
    machine.unsynced = []
    machine.sendsAfterSync = []
    for (const effect of sendsAfterSync) this.#send(machine, effect)
    this.#step(machine, { type: 'synced', at: this.#at, index: lastIndex, term: lastTerm })
  }

  #step (machine: Machine, event: RaftEvent): void {
    for (const effect of machine.node?.step(event) ?? []) this.#perform(machine, effect)
  }

  #perform (machine: Machine, effect: RaftEffect): void {
    switch (effect.type) {
      case 'persist': return void machine.unsynced.push(effect)
      case 'send': return effect.early ? this.#send(machine, effect) : void machine.sendsAfterSync.push(effect)
      case 'apply':
        if (effect.entry.content.type !== 'command') return
        machine.applied.push(String(effect.entry.content.command))
        if (machine.node?.role === 'leader') this.#acknowledged.add(String(effect.entry.content.command))
        return
      case 'restore':
        machine.applied = [...effect.snapshot.state as string[]]
        return
      case 'violation': return void this.#violations.push(`${effect.rule}: ${effect.detail}`)
      case 'accepted':
      case 'rejected':
      case 'readReady':
      case 'readFailed':
      case 'role':
    }
  }

  // Network.

  #isLinked (a: Machine, b: Machine): boolean { return !a.isCut && !b.isCut }

  // Links keep the order of messages.
  #send (from: Machine, { to, message }: SendEffect): void {
    const last = this.#network.findLast(packet => packet.from === from && packet.to === to)
    this.#network.push({ at: Math.max(last?.at ?? 0, this.#at + this.#random() * maxDelayMs), from, to, message })
  }

  #deliver (): void {
    const due = this.#network.filter(({ at }) => at <= this.#at).sort((a, b) => a.at - b.at)
    this.#network = this.#network.filter(({ at }) => at > this.#at)
    for (const { from, to, message } of due) {
      const machine = this.#machines.find(({ id }) => id === to)
      if (machine !== undefined && machine.node !== null && this.#isLinked(from, machine)) this.#step(machine, { type: 'receive', at: this.#at, from: from.id, message })
    }
  }

  #shuffle<T> (items: readonly T[]): T[] {
    return items.map(item => ({ item, key: this.#random() })).sort((a, b) => a.key - b.key).map(({ item }) => item)
  }
}
