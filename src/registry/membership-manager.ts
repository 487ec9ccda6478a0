/**
 * Manages the log's membership on its leader: tracks which registries are alive,
 * and makes one change at a time where a voter is silent or missing.
 */
import { planMembers } from '../coordination/index.js'
import type { KeeperLog, KeeperObservation, Members, MembershipTarget, Replica, ReplicaId } from '../coordination/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the manager needs of its box. */
export interface MembershipManagerHost {
  readonly zone: string
  /** Failures that the log must tolerate. */
  readonly faults: number
  readonly log: EventLog
  now (): number
  /** Hands the log over to another registry, with the duties of its leader. */
  transfer (): Promise<void>
}

interface RegistryContact {
  readonly zone: string
  readonly isLater: boolean
  readonly lastHeardAt: number
}

/** A silent voter is replaced by a spare after this, ms: longer than a restart, shorter than the time to the next possible failure. */
const replaceVoterMs = 2500
/** A silent learner, or registry that is not a seed, is removed after this, ms. */
const dropLearnerMs = 60_000
/** Membership changes that are made at once at most. */
const maxStepsAtOnce = 8
/** Time after which a transfer of leadership that failed is tried again, ms. */
const transferRetryMs = 2000
/** The fewest voters that tolerate one failure. */
const minVoters = 3

export class MembershipManager {
  #host: MembershipManagerHost
  #replicas = new Map<ReplicaId, RegistryContact>()
  #isChanging = false
  /** When leadership may be transferred again. */
  #transferAt = -Infinity

  constructor (host: MembershipManagerHost) { this.#host = host }

  /** Records that a message from a replica was received. `isLater`: whether it was started to join a running log. */
  noteMessage (replica: ReplicaId, zone: string, isLater: boolean): void {
    this.#replicas.set(replica, { zone, isLater, lastHeardAt: this.#host.now() })
  }

  /** Removes the replicas that have been silent for `dropLearnerMs`. */
  dropExpired (): void {
    const now = this.#host.now()
    for (const [replica, { lastHeardAt }] of this.#replicas) if (now - lastHeardAt >= dropLearnerMs) this.#replicas.delete(replica)
  }

  /**
   * Makes the membership changes that are needed, one after the other, where this box leads and none is in progress. A vote
   * moves in two of them: between these, the loss of its zone would cost the quorum, so the second follows at once.
   */
  async reconcile (keeperLog: KeeperLog): Promise<void> {
    if (this.#isChanging) return
    this.#isChanging = true
    for (let i = 0; i < maxStepsAtOnce && await this.#takeStep(keeperLog);) i += 1
    this.#isChanging = false
  }

  // True if a further step may be due.
  async #takeStep ({ id, replica }: KeeperLog): Promise<boolean> {
    if (replica?.isLeader !== true || !replica.node.hasCommittedMembers) return false
    const observations = this.#listObservations(id, replica.node.matches)
    const next = planMembers({ members: replica.members, self: replica.id, commit: replica.node.commitIndex, observations }, this.#target)
    switch (next?.type) {
      case undefined: return false
      case 'transfer':
        if (this.#host.now() >= this.#transferAt) await this.#transfer(replica)
        return false
      case 'change': return await this.#change(replica, next.members)
    }
  }

  // The log takes no proposals meanwhile.
  async #transfer (replica: Replica): Promise<void> {
    this.#transferAt = this.#host.now() + transferRetryMs
    await this.#host.transfer()
    this.#host.log.info('leadership-transfer', { end: replica.isLeader ? 'failed' : 'done' })
  }

  async #change (replica: Replica, { voters, learners, newcomers = [] }: Members): Promise<boolean> {
    const outcome = await replica.changeMembers({ voters, learners, ...(newcomers.length === 0 ? {} : { newcomers }) })
    this.#host.log.info('members', { voters: voters.join(','), learners: learners.join(','), newcomers: newcomers.join(','), end: outcome.type === 'rejected' ? outcome.fault : outcome.type })
    return outcome.type === 'applied'
  }

  get #target (): MembershipTarget {
    const { faults } = this.#host
    return { voters: Math.max(minVoters, 2 * faults + 1), maxPerZone: Math.max(1, faults), replaceVoterMs, dropLearnerMs }
  }

  #listObservations (self: ReplicaId, matches: ReadonlyMap<ReplicaId, number>): KeeperObservation[] {
    const now = this.#host.now()
    const observations: KeeperObservation[] = [{ replica: self, zone: this.#host.zone, isLater: false, silentMs: 0, match: matches.get(self) ?? 0 }]
    for (const [replica, { zone, isLater, lastHeardAt }] of this.#replicas) observations.push({ replica, zone, isLater, silentMs: now - lastHeardAt, match: matches.get(replica) ?? 0 })
    return observations
  }
}
