/**
 * The next change of a log's members, where keepers look after themselves: who
 * has come joins, who has fallen silent gives way to a spare, and a keeper that
 * lost its disk is another replica. One step at a time; each step keeps a
 * quorum of those that can be reached.
 */
import type { Members, ReplicaId } from './log-types.js'

/** What the leader knows of a keeper. */
export interface KeeperSight {
  readonly replica: ReplicaId
  readonly zone: string
  /** Time since it was heard from, ms. */
  readonly silentMs: number
  /** The last entry that it has synced; 0 where that isn't known. */
  readonly match: number
}

/** What the members should come to. */
export interface MemberWish {
  readonly voters: number
  /** The most voters of one zone. */
  readonly perZone: number
  /** A voter that was silent for so long gives way to a spare, ms. */
  readonly replaceMs: number
  /** A learner that was silent for so long is dropped, ms. */
  readonly forgetMs: number
}

/** Where members stand. */
export interface MemberPlanState {
  readonly members: Members
  /** The leader, which plans. */
  readonly self: ReplicaId
  readonly commit: number
  /** Every keeper that was ever heard of, the leader included. */
  readonly sights: readonly KeeperSight[]
}

/** A learner so many entries behind counts as caught up. */
const caughtUpEntries = 64
/** A keeper that was heard from within this time can be reached, ms. */
const reachableMs = 1200

/** The place of a replica: its id without the part that is made with its disk. */
export function getReplicaHost (replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf('#'))
}

/** The next members on the way to the wish; null where nothing is to be changed now. */
export function planMembers (state: MemberPlanState, target: MemberWish): Members | null {
  const planner = new MemberPlanner(state, target)
  return planner.replaceNewDisk() ?? planner.admit() ?? planner.promote() ?? planner.replaceSilent() ?? planner.balance() ?? planner.demoteSurplus() ?? planner.dropSilentLearners()
}

class MemberPlanner {
  #state: MemberPlanState
  #target: MemberWish
  #observations: Map<ReplicaId, KeeperSight>

  constructor (state: MemberPlanState, target: MemberWish) {
    this.#state = state
    this.#target = target
    this.#observations = new Map(state.sights.map(observation => [observation.replica, observation]))
  }

  get #voters (): readonly ReplicaId[] { return this.#state.members.voters }
  get #learners (): readonly ReplicaId[] { return this.#state.members.learners }

  /** A keeper with a new disk takes the place of its old replica, without a vote at first. */
  replaceNewDisk (): Members | null {
    for (const old of [...this.#voters, ...this.#learners]) {
      const replacement = this.#state.sights.find(sight => sight.replica !== old && getReplicaHost(sight.replica) === getReplicaHost(old) && sight.silentMs < reachableMs)
      if (replacement === undefined || this.#getSilentMs(old) < replacement.silentMs) continue
      const voters = this.#voters.filter(id => id !== old)
      if (!this.#hasQuorum(voters)) continue
      const learners = this.#learners.filter(id => id !== old && id !== replacement.replica)
      return { voters, learners: voters.includes(replacement.replica) ? learners : [...learners, replacement.replica] }
    }
    return null
  }

  admit (): Members | null {
    const known = new Set([...this.#voters, ...this.#learners])
    const newcomers = this.#state.sights.filter(sight => !known.has(sight.replica) && sight.silentMs < reachableMs)
    if (newcomers.length === 0) return null
    return { voters: this.#voters, learners: [...this.#learners, ...newcomers.map(sight => sight.replica)] }
  }

  promote (): Members | null {
    if (this.#voters.length >= this.#target.voters) return null
    const spare = this.#findSpare(this.#target.perZone)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  // The spare joins before the silent one leaves.
  replaceSilent (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    const silent = this.#findSilent()
    if (silent === undefined) return null
    const spare = this.#findSpare(Infinity)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  balance (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    if (!this.#voters.some(id => this.#countZone(this.#getZone(id)) > this.#target.perZone)) return null
    const spare = this.#findSpare(this.#target.perZone)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  demoteSurplus (): Members | null {
    if (this.#voters.length <= this.#target.voters) return null
    const demoted = this.#findSilent() ?? this.#findVoterInCrowdedZone()
    const voters = this.#voters.filter(id => id !== demoted)
    if (demoted === undefined || !this.#hasQuorum(voters)) return null
    return { voters, learners: [...this.#learners, demoted] }
  }

  dropSilentLearners (): Members | null {
    const learners = this.#learners.filter(id => this.#getSilentMs(id) < this.#target.forgetMs)
    return learners.length === this.#learners.length ? null : { voters: this.#voters, learners }
  }

  #withVoter (spare: ReplicaId): Members {
    return { voters: [...this.#voters, spare], learners: this.#learners.filter(id => id !== spare) }
  }

  // A learner that has all but the newest entries, in the zone with the fewest voters.
  #findSpare (perZone: number): ReplicaId | undefined {
    const { commit } = this.#state
    const spares = this.#learners.filter(id => {
      const observation = this.#observations.get(id)
      return observation !== undefined && observation.silentMs < reachableMs && observation.match > 0 && observation.match + caughtUpEntries >= commit
    })
    const withinLimit = spares.filter(id => this.#countZone(this.#getZone(id)) < perZone)
    const candidates = (withinLimit.length > 0 ? withinLimit : this.#voters.length < this.#target.voters ? spares : [])
    return [...candidates].sort((a, b) => this.#countZone(this.#getZone(a)) - this.#countZone(this.#getZone(b)) || (a < b ? -1 : 1))[0]
  }

  #findSilent (): ReplicaId | undefined {
    const silent = this.#voters.filter(id => id !== this.#state.self && this.#getSilentMs(id) >= this.#target.replaceMs)
    return silent.sort((a, b) => this.#getSilentMs(b) - this.#getSilentMs(a))[0]
  }

  #findVoterInCrowdedZone (): ReplicaId | undefined {
    const others = this.#voters.filter(id => id !== this.#state.self)
    return others.sort((a, b) => this.#countZone(this.#getZone(b)) - this.#countZone(this.#getZone(a)) || (a < b ? 1 : -1))[0]
  }

  #getSilentMs (id: ReplicaId): number {
    return id === this.#state.self ? 0 : this.#observations.get(id)?.silentMs ?? Infinity
  }

  #getZone (id: ReplicaId): string { return this.#observations.get(id)?.zone ?? '' }

  #countZone (zone: string): number {
    return this.#voters.filter(id => this.#getZone(id) === zone).length
  }

  #hasQuorum (voters: readonly ReplicaId[]): boolean {
    return voters.filter(id => this.#getSilentMs(id) < reachableMs).length * 2 > voters.length
  }
}
