/**
 * Plans automatic membership changes of a log: new keepers are added, silent
 * voters are replaced by spare learners, and a keeper that lost its disk rejoins
 * as a new replica. Changes are made one step at a time, and a step that removes
 * a voter keeps a reachable quorum.
 */
import type { Members, ReplicaId } from './log-types.js'

/** The leader's view of a keeper's replica. */
export interface KeeperObservation {
  readonly replica: ReplicaId
  readonly zone: string
  /** Time since the last contact, ms. */
  readonly silentMs: number
  /** Index of the last entry known to be synced there; 0 if unknown. */
  readonly match: number
}

/** The desired membership. */
export interface MembershipTarget {
  readonly voters: number
  /** Maximum number of voters per zone. */
  readonly maxPerZone: number
  /** A voter silent for this long is replaced by a spare, ms. */
  readonly replaceVoterMs: number
  /** A learner silent for this long is removed, ms. */
  readonly dropLearnerMs: number
}

/** The current membership and the state of the replicas. */
export interface MemberPlanState {
  readonly members: Members
  /** The leader, on which the planner runs. */
  readonly self: ReplicaId
  readonly commit: number
  /** Every known replica, including the leader. */
  readonly observations: readonly KeeperObservation[]
}

/** A learner at most this many entries behind counts as caught up. */
const caughtUpEntries = 64
/** A replica with contact within this time counts as reachable, ms. */
const reachableMs = 1200

/** The keeper's name: the replica id without the part specific to its disk. */
export function getKeeperName (replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf('#'))
}

/** The members after the next step towards the target; null if no change is due. */
export function planMembers (state: MemberPlanState, target: MembershipTarget): Members | null {
  const planner = new MemberPlanner(state, target)
  return planner.replaceNewDisk() ?? planner.admit() ?? planner.promote() ?? planner.replaceSilent() ?? planner.balance() ??
    planner.demoteSurplus() ?? planner.dropSilentLearners()
}

class MemberPlanner {
  #state: MemberPlanState
  #target: MembershipTarget
  #observations: Map<ReplicaId, KeeperObservation>

  constructor (state: MemberPlanState, target: MembershipTarget) {
    this.#state = state
    this.#target = target
    this.#observations = new Map(state.observations.map(observation => [observation.replica, observation]))
  }

  get #voters (): readonly ReplicaId[] { return this.#state.members.voters }
  get #learners (): readonly ReplicaId[] { return this.#state.members.learners }

  /** Replaces a keeper's old replica by the one on its new disk, as a learner. */
  replaceNewDisk (): Members | null {
    for (const old of [...this.#voters, ...this.#learners]) {
      const replacement = this.#state.observations.find(observation => observation.replica !== old && getKeeperName(observation.replica) === getKeeperName(old) && observation.silentMs < reachableMs)
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
    const newcomers = this.#state.observations.filter(observation => !known.has(observation.replica) && observation.silentMs < reachableMs)
    if (newcomers.length === 0) return null
    return { voters: this.#voters, learners: [...this.#learners, ...newcomers.map(observation => observation.replica)] }
  }

  promote (): Members | null {
    if (this.#voters.length >= this.#target.voters) return null
    const spare = this.#findSpare(this.#target.maxPerZone)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  // Promotes a spare first; `demoteSurplus` then demotes the silent voter.
  replaceSilent (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    const silent = this.#findSilent()
    if (silent === undefined) return null
    const spare = this.#findSpare(Infinity)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  balance (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    if (!this.#voters.some(id => this.#countZone(this.#getZone(id)) > this.#target.maxPerZone)) return null
    const spare = this.#findSpare(this.#target.maxPerZone)
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
    const learners = this.#learners.filter(id => this.#getSilentMs(id) < this.#target.dropLearnerMs)
    return learners.length === this.#learners.length ? null : { voters: this.#voters, learners }
  }

  #withVoter (spare: ReplicaId): Members {
    return { voters: [...this.#voters, spare], learners: this.#learners.filter(id => id !== spare) }
  }

  // A reachable, caught-up learner, preferably in the zone with the fewest voters.
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
    const silent = this.#voters.filter(id => id !== this.#state.self && this.#getSilentMs(id) >= this.#target.replaceVoterMs)
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
