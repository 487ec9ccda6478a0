/**
 * Group membership and failure detection: SWIM (Das et al., 2002) with
 * incarnations, indirect probes, and a local health score that extends the
 * suspicion time while this box itself is slow (Lifeguard, Dadgar et al., 2017).
 * Each box probes one other per period, so the traffic per box doesn't grow with
 * the group. Pure: datagrams and ticks in, datagrams and changes out.
 */
import { isNewer } from './member.js'
import type { Member } from './member.js'
import { MemberDigest } from './member-digest.js'
import type { MemberAddress, MemberEffect, MemberEvent, MemberMessage } from './member-message.js'
import { UpdateQueue } from './update-queue.js'

/** Protocol parameters. */
export interface MembershipTuning {
  readonly probePeriodMs: number
  readonly ackTimeoutMs: number
  readonly suspicionMs: number
  /** How long the record of a box that is gone is retained, so that stale updates can't re-add it. */
  readonly goneRetentionMs: number
  readonly indirectProbes: number
}

/** Detects a failed box within 3 to 5 s. */
export const defaultMembershipTuning: MembershipTuning = {
  probePeriodMs: 500,
  ackTimeoutMs: 150,
  suspicionMs: 2000,
  goneRetentionMs: 600_000,
  indirectProbes: 3
}

/** Number of boxes that a leaving box notifies directly. */
const maxLeaveNotifications = 8
/** Members per `state` datagram; keeps it below the usual network MTU. */
const maxMembersPerDatagram = 12
/** Minimum interval between requests for the full state, ms. */
const stateRequestIntervalMs = 2000
// Updates from a full state are sent on only once: other boxes request the full state too, so most have them already.
const sendsAfterStateTransfer = 1
/** Interval between pings to boxes that are gone, ms. */
const gonePingIntervalMs = 4000
/** Upper bound of the local health score (0 is healthy); at the bound the suspicion time is doubled. */
const maxHealthScore = 8

interface Probe {
  readonly target: string
  readonly number: number
  readonly sentAt: number
  isIndirect: boolean
}

interface RelayedPing {
  readonly requester: MemberAddress
  readonly number: number
  readonly at: number
}

export class Membership {
  #self: Member
  #seeds: readonly MemberAddress[]
  #tuning: MembershipTuning
  #random: () => number
  #members = new Map<string, Member>()
  #suspectAt = new Map<string, number>()
  #goneAt = new Map<string, number>()
  #probeOrder: string[] = []
  #probe: Probe | null = null
  #relayedPings = new Map<number, RelayedPing>()
  #updates = new UpdateQueue()
  #number = 0
  #nextPeriodAt = 0
  #nextStateRequestAt = 0
  #nextGonePingAt = 0
  #healthScore = 0
  #digest = new MemberDigest()
  #now = 0
  #effects: MemberEffect[] = []

  constructor (self: Member, seeds: readonly MemberAddress[], tuning: MembershipTuning, random: () => number) {
    this.#self = self
    this.#seeds = seeds.filter(seed => seed.host !== self.host || seed.port !== self.port)
    this.#tuning = tuning
    this.#random = random
  }

  get self (): Member { return this.#self }

  /** All members except those that are gone, this box first. */
  get members (): Member[] {
    const present = [...this.#members.values()].filter(member => member.state !== 'gone')
    return [this.#self, ...present]
  }

  /** All known members including those that are gone, this box first. */
  get knownMembers (): Member[] { return [this.#self, ...this.#members.values()] }

  /** Processes one event and returns the resulting effects. */
  step (event: MemberEvent): MemberEffect[] {
    this.#effects = []
    this.#now = Math.max(this.#now, event.at)
    switch (event.type) {
      case 'tick':
        this.#tick()
        break
      case 'receive':
        this.#receive(event.message)
        break
      case 'leave':
        this.#leave()
        break
    }
    return this.#effects
  }

  #tick (): void {
    this.#probeIndirectly()
    this.#expire()
    if (this.#now < this.#nextPeriodAt) return
    this.#nextPeriodAt = this.#now + this.#tuning.probePeriodMs
    this.#failProbe()
    this.#startProbe()
    this.#pingGoneMember()
  }

  // Probing, in a random order that is reshuffled after each round.

  #startProbe (): void {
    const target = this.#pickTarget()
    if (target === undefined) return this.#pingSeed()
    this.#number += 1
    this.#probe = { target: target.id, number: this.#number, sentAt: this.#now, isIndirect: false }
    this.#sendPing(target, this.#number)
  }

  #pickTarget (): Member | undefined {
    for (let tries = this.#members.size; tries >= 0; tries--) {
      if (this.#probeOrder.length === 0) this.#probeOrder = this.#shuffle([...this.#members.keys()])
      const member = this.#members.get(this.#probeOrder.pop() ?? '')
      if (member !== undefined && member.state !== 'gone') return member
    }
    return undefined
  }

  #pingSeed (): void {
    if (this.#seeds.length === 0) return
    const seed = this.#seeds[Math.floor(this.#random() * this.#seeds.length)]
    this.#number += 1
    this.#sendPing(seed, this.#number)
  }

  // After a network partition each side considers the other gone. Pinging such a
  // box from time to time tells it so, and it rejoins with a new incarnation.
  #pingGoneMember (): void {
    if (this.#now < this.#nextGonePingAt || this.#goneAt.size === 0) return
    this.#nextGonePingAt = this.#now + gonePingIntervalMs
    const gone = [...this.#goneAt.keys()]
    const member = this.#members.get(gone[Math.floor(this.#random() * gone.length)])
    if (member === undefined) return
    this.#number += 1
    this.#enqueueUpdate(member)
    this.#sendPing(member, this.#number)
  }

  #probeIndirectly (): void {
    const probe = this.#probe
    if (probe === null || probe.isIndirect || this.#now - probe.sentAt < this.#tuning.ackTimeoutMs) return
    probe.isIndirect = true
    for (const relay of this.#pickRelays(probe.target)) {
      this.#send(relay, { type: 'probe', from: this.#self, number: probe.number, target: probe.target, news: this.#updates.dequeue() })
    }
  }

  #pickRelays (target: string): Member[] {
    const others = [...this.#members.values()].filter(member => member.id !== target && member.state === 'alive')
    return this.#shuffle(others).slice(0, this.#tuning.indirectProbes)
  }

  #failProbe (): void {
    const probe = this.#probe
    this.#probe = null
    if (probe === null) return
    this.#healthScore = Math.min(maxHealthScore, this.#healthScore + 1)
    const member = this.#members.get(probe.target)
    if (member === undefined || member.state === 'gone') return
    if (member.state === 'leaving') this.#suspectAt.set(member.id, this.#suspectAt.get(member.id) ?? this.#now)
    else if (member.state === 'alive') this.#applyUpdate({ ...member, state: 'suspect' })
  }

  #expire (): void {
    const suspicionMs = this.#tuning.suspicionMs * (1 + this.#healthScore / maxHealthScore)
    for (const [id, since] of this.#suspectAt) {
      const member = this.#members.get(id)
      if (this.#now - since < suspicionMs || member === undefined) continue
      this.#applyUpdate({ ...member, state: 'gone' })
    }
    for (const [id, since] of this.#goneAt) {
      if (this.#now - since < this.#tuning.goneRetentionMs) continue
      this.#goneAt.delete(id)
      this.#members.delete(id)
    }
    for (const [number, relayed] of this.#relayedPings) {
      if (this.#now - relayed.at > this.#tuning.probePeriodMs * 4) this.#relayedPings.delete(number)
    }
  }

  // Messages.

  #receive (message: MemberMessage): void {
    this.#applyUpdate(message.from)
    const sends = message.type === 'state' ? sendsAfterStateTransfer : this.#sendsPerUpdate
    if (message.type !== 'ask') for (const member of message.news) this.#applyUpdate(member, sends)
    switch (message.type) {
      case 'ping':
        this.#notifyIfSuspected(message.from)
        this.#send(message.from, { type: 'ack', from: this.#self, number: message.number, news: this.#updates.dequeue(), digest: this.#digest.compute(this.#self) })
        return this.#compareDigest(message.from, message.digest)
      case 'ack':
        this.#noteAck(message.number)
        this.#notifyIfSuspected(message.from)
        return this.#compareDigest(message.from, message.digest)
      case 'probe': return this.#relayPing(message)
      case 'ask': return this.#sendFullState(message.from)
      case 'state':
    }
  }

  // Tells a box that sends messages while it is suspected or gone, so that it can refute that.
  #notifyIfSuspected (from: Member): void {
    const known = this.#members.get(from.id)
    if (known === undefined || known.incarnation !== from.incarnation) return
    if (known.state !== 'suspect' && known.state !== 'gone') return
    this.#send(from, { type: 'state', from: this.#self, news: [known] })
  }

  #noteAck (number: number): void {
    if (this.#probe?.number === number) {
      this.#probe = null
      this.#healthScore = Math.max(0, this.#healthScore - 1)
    }
    const relayed = this.#relayedPings.get(number)
    if (relayed === undefined) return
    this.#relayedPings.delete(number)
    this.#send(relayed.requester, { type: 'ack', from: this.#self, number: relayed.number, news: this.#updates.dequeue(), digest: this.#digest.compute(this.#self) })
  }

  #relayPing (message: Extract<MemberMessage, { type: 'probe' }>): void {
    const target = this.#members.get(message.target)
    if (target === undefined) return
    this.#number += 1
    this.#relayedPings.set(this.#number, { requester: message.from, number: message.number, at: this.#now })
    this.#sendPing(target, this.#number)
  }

  // Requests the full state if the digests differ, at a limited rate.
  #compareDigest (from: Member, digest: number): void {
    if (digest === this.#digest.compute(this.#self) || this.#now < this.#nextStateRequestAt) return
    this.#nextStateRequestAt = this.#now + stateRequestIntervalMs
    this.#send(from, { type: 'ask', from: this.#self })
  }

  #sendFullState (to: Member): void {
    const all = this.members
    for (let i = 0; i < all.length; i += maxMembersPerDatagram) {
      this.#send(to, { type: 'state', from: this.#self, news: all.slice(i, i + maxMembersPerDatagram) })
    }
  }

  // Merging and spreading updates.

  #applyUpdate (next: Member, sends = this.#sendsPerUpdate): void {
    if (next.id === this.#self.id) return this.#applyUpdateAboutSelf(next)
    const known = this.#members.get(next.id)
    if (known !== undefined && !isNewer(next, known)) return
    if (known === undefined && next.state === 'gone') return
    this.#digest.replace(known, next)
    this.#members.set(next.id, next)
    this.#trackState(next)
    this.#enqueueUpdate(next, sends)
    const before = known?.incarnation === next.incarnation ? known.state : null
    if (before !== next.state || known === undefined) this.#effects.push({ type: 'changed', member: next, before })
  }

  #trackState (member: Member): void {
    this.#goneAt.delete(member.id)
    if (member.state === 'gone') this.#goneAt.set(member.id, this.#now)
    if (member.state === 'suspect') this.#suspectAt.set(member.id, this.#now)
    else this.#suspectAt.delete(member.id)
  }

  #applyUpdateAboutSelf (update: Member): void {
    if (update.incarnation !== this.#self.incarnation || update.state === this.#self.state) return
    if (this.#self.state === 'leaving') return
    if (update.state !== 'suspect' && update.state !== 'gone') return
    // A suspicion of an older version is already refuted; "gone" applies to any version.
    if (update.state === 'suspect' && update.version < this.#self.version) return
    // "Gone" can't be refuted by a higher version, so the box rejoins with a new incarnation.
    const incarnation = update.state === 'gone' ? this.#self.incarnation + 1 : this.#self.incarnation
    this.#self = { ...this.#self, incarnation, version: Math.max(this.#self.version, update.version) + 1 }
    this.#healthScore = Math.min(maxHealthScore, this.#healthScore + 1)
    this.#enqueueUpdate(this.#self)
  }

  #leave (): void {
    this.#self = { ...this.#self, state: 'leaving', version: this.#self.version + 1 }
    this.#enqueueUpdate(this.#self)
    for (const member of this.#shuffle([...this.#members.values()]).slice(0, maxLeaveNotifications)) {
      this.#number += 1
      this.#sendPing(member, this.#number)
    }
  }

  get #sendsPerUpdate (): number { return 3 * Math.ceil(Math.log2(this.#members.size + 2)) }

  #enqueueUpdate (member: Member, sends = this.#sendsPerUpdate): void {
    this.#updates.enqueue(member, sends)
  }

  #sendPing (to: MemberAddress, number: number): void {
    this.#send(to, { type: 'ping', from: this.#self, number, news: this.#updates.dequeue(), digest: this.#digest.compute(this.#self) })
  }

  #send (to: MemberAddress, message: MemberMessage): void {
    this.#effects.push({ type: 'send', to: { host: to.host, port: to.port }, message })
  }

  #shuffle<T> (items: T[]): T[] {
    for (let i = items.length - 1; i > 0; i--) {
      const j = Math.floor(this.#random() * (i + 1));
      [items[i], items[j]] = [items[j], items[i]]
    }
    return items
  }
}
