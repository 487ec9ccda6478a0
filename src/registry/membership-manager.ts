/**
 * The members of the log, looked after by its leader: who was heard from, and
 * one change at a time where a voter is silent or one is wanting.
 */
import { planMembers } from '../coordination/index.js'
import type { KeeperLog, KeeperSight, MemberWish, ReplicaId } from '../coordination/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the tender needs of its box. */
export interface MembershipManagerHost {
  readonly zone: string
  /** Losses that the log must bear. */
  readonly faults: number
  readonly log: EventLog
  now (): number
}

interface RegistrySighting {
  readonly zone: string
  readonly lastHeardAt: number
}

/** A silent voter gives way to a spare after this, ms: longer than a restart, shorter than the time in which the next loss may come. */
const replaceMs = 2500
/** A learner, or a registry that is no seed, is forgotten after this, ms. */
const forgetMs = 60_000
/** The fewest voters that bear a loss. */
const minVoters = 3

export class MembershipManager {
  #host: MembershipManagerHost
  #heard = new Map<ReplicaId, RegistrySighting>()
  #isChanging = false

  constructor (host: MembershipManagerHost) { this.#host = host }

  /** Notes that a replica was heard from. */
  noteHeard (replica: ReplicaId, zone: string): void {
    this.#heard.set(replica, { zone, lastHeardAt: this.#host.now() })
  }

  /** Forgets the replicas that have been silent for long; returns them. */
  forgetSilent (): ReplicaId[] {
    const now = this.#host.now()
    const forgotten: ReplicaId[] = []
    for (const [replica, { lastHeardAt: heardAt }] of this.#heard) {
      if (now - heardAt < forgetMs) continue
      this.#heard.delete(replica)
      forgotten.push(replica)
    }
    return forgotten
  }

  /** Makes the next change that the members need, where this box leads and none is under way. */
  async reconcile (keeperLog: KeeperLog): Promise<void> {
    const { replica } = keeperLog
    if (replica?.isLeader !== true || this.#isChanging || !replica.node.isSettled) return
    const sights = this.#listSightings(keeperLog.id, replica.node.matches)
    const next = planMembers({ members: replica.members, self: replica.id, commit: replica.node.commitIndex, sights }, this.#target)
    if (next === null) return
    this.#isChanging = true
    const outcome = await replica.changeMembers(next)
    this.#isChanging = false
    this.#host.log.info('members', { voters: next.voters.join(','), learners: next.learners.join(','), end: outcome.type === 'rejected' ? outcome.fault : outcome.type })
  }

  get #target (): MemberWish {
    const { faults } = this.#host
    return { voters: Math.max(minVoters, 2 * faults + 1), perZone: Math.max(1, faults), replaceMs, forgetMs }
  }

  #listSightings (self: ReplicaId, matches: ReadonlyMap<ReplicaId, number>): KeeperSight[] {
    const now = this.#host.now()
    const sights: KeeperSight[] = [{ replica: self, zone: this.#host.zone, silentMs: 0, match: matches.get(self) ?? 0 }]
    for (const [replica, { zone, lastHeardAt: heardAt }] of this.#heard) sights.push({ replica, zone, silentMs: now - heardAt, match: matches.get(replica) ?? 0 })
    return sights
  }
}
