/**
 * Manages the log's membership on its leader: tracks which registries are alive,
 * and makes one change at a time where a voter is silent or missing.
 */
import { planMembers } from '../coordination/index.js'
import type { KeeperLog, KeeperObservation, MembershipTarget, ReplicaId } from '../coordination/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the manager needs of its box. */
export interface MembershipManagerHost {
  readonly zone: string
  /** Failures that the log must tolerate. */
  readonly faults: number
  readonly log: EventLog
  now (): number
}

interface RegistryContact {
  readonly zone: string
  readonly lastHeardAt: number
}

/** A silent voter is replaced by a spare after this, ms: longer than a restart, shorter than the time to the next possible failure. */
const replaceVoterMs = 2500
/** A silent learner, or registry that is not a seed, is removed after this, ms. */
const dropLearnerMs = 60_000
/** The fewest voters that tolerate one failure. */
const minVoters = 3

export class MembershipManager {
  #host: MembershipManagerHost
  #replicas = new Map<ReplicaId, RegistryContact>()
  #isChanging = false

  constructor (host: MembershipManagerHost) { this.#host = host }

  /** Records that a message from a replica was received. */
  noteMessage (replica: ReplicaId, zone: string): void {
    this.#replicas.set(replica, { zone, lastHeardAt: this.#host.now() })
  }

  /** Removes the replicas that have been silent for `dropLearnerMs`; returns them. */
  dropExpired (): ReplicaId[] {
    const now = this.#host.now()
    const expired: ReplicaId[] = []
    for (const [replica, { lastHeardAt }] of this.#replicas) {
      if (now - lastHeardAt < dropLearnerMs) continue
      this.#replicas.delete(replica)
      expired.push(replica)
    }
    return expired
  }

  /** Makes the next membership change that is needed, where this box leads and none is in progress. */
  async reconcile (keeperLog: KeeperLog): Promise<void> {
    const { replica } = keeperLog
    if (replica?.isLeader !== true || this.#isChanging || !replica.node.hasCommittedMembers) return
    const observations = this.#listObservations(keeperLog.id, replica.node.matches)
    const next = planMembers({ members: replica.members, self: replica.id, commit: replica.node.commitIndex, observations }, this.#target)
    if (next === null) return
    this.#isChanging = true
    const outcome = await replica.changeMembers(next)
    this.#isChanging = false
    this.#host.log.info('members', { voters: next.voters.join(','), learners: next.learners.join(','), end: outcome.type === 'rejected' ? outcome.fault : outcome.type })
  }

  get #target (): MembershipTarget {
    const { faults } = this.#host
    return { voters: Math.max(minVoters, 2 * faults + 1), maxPerZone: Math.max(1, faults), replaceVoterMs, dropLearnerMs }
  }

  #listObservations (self: ReplicaId, matches: ReadonlyMap<ReplicaId, number>): KeeperObservation[] {
    const now = this.#host.now()
    const observations: KeeperObservation[] = [{ replica: self, zone: this.#host.zone, silentMs: 0, match: matches.get(self) ?? 0 }]
    for (const [replica, { zone, lastHeardAt }] of this.#replicas) observations.push({ replica, zone, silentMs: now - lastHeardAt, match: matches.get(replica) ?? 0 })
    return observations
  }
}
