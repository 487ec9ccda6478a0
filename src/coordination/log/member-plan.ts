/**
 * Plans automatic membership changes of a log: new keepers are added and take over
 * the votes of earlier ones in their zones, silent voters are replaced by spare
 * learners, and a keeper that lost its disk rejoins as a new replica. Changes are
 * made one step at a time, and a step that removes a voter keeps a reachable quorum.
 *
 * In `voters` and `learners` the replicas stand in the order in which they came,
 * but for learners that had a vote, which stand first.
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
  /** True if the keeper was started to join a running log, rather than to form one. */
  readonly isLater: boolean
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

/** The next step towards the target: other members, or another leader, as this one is to give up its vote. */
export type MemberStep =
  | { readonly type: 'change', readonly members: Members }
  | { readonly type: 'transfer' }

/** A learner at most this many entries behind counts as caught up. */
const caughtUpEntries = 64
/** A replica with contact within this time counts as reachable, ms. */
const reachableMs = 1200

/** The keeper's name: the replica id without the part specific to its disk. */
export function getKeeperName (replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf('#'))
}

/** The next step towards the target; null if none is due. */
export function planMembers (state: MemberPlanState, target: MembershipTarget): MemberStep | null {
  const planner = new MemberPlanner(state, target)
  if (planner.mustTransfer) return { type: 'transfer' }
  const members = planner.replaceNewDisk() ?? planner.admit() ?? planner.promote() ?? planner.replaceSilent() ?? planner.followNewcomer() ??
    planner.balance() ?? planner.demoteSurplus() ?? planner.dropSilentLearners()
  return members === null ? null : { type: 'change', members: composeMembers(members) }
}

// Leaves out newcomers that are gone, and the field if there are none.
function composeMembers ({ voters, learners, newcomers = [] }: Members): Members {
  const present = newcomers.filter(id => voters.includes(id) || learners.includes(id))
  return { voters, learners, ...(present.length === 0 ? {} : { newcomers: present }) }
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
  get #newcomers (): readonly ReplicaId[] { return this.#state.members.newcomers ?? [] }

  /** True if it is this leader's vote that a newcomer takes over. The next leader makes the changes, as between them the loss of the zone would cost the quorum. */
  get mustTransfer (): boolean {
    const { self } = this.#state
    if (this.#voters.length < this.#target.voters || this.#findSilent() !== undefined || this.#countReachable(this.#voters) < 2) return false
    const newcomer = this.#voters.length === this.#target.voters ? this.#findNewcomer() : this.#findNewVoter()
    return newcomer !== undefined && this.#findPredecessor(newcomer) === self
  }

  /** Replaces a keeper's old replica by the one on its new disk, as a learner. */
  replaceNewDisk (): Members | null {
    for (const old of [...this.#voters, ...this.#learners]) {
      const replacement = this.#state.observations.find(observation => observation.replica !== old && getKeeperName(observation.replica) === getKeeperName(old) && observation.silentMs < reachableMs)
      if (replacement === undefined || this.#getSilentMs(old) < replacement.silentMs) continue
      const voters = this.#voters.filter(id => id !== old)
      if (!this.#hasQuorum(voters)) continue
      const learners = this.#learners.filter(id => id !== old && id !== replacement.replica)
      return { voters, learners: voters.includes(replacement.replica) ? learners : [...learners, replacement.replica], newcomers: this.#newcomers }
    }
    return null
  }

  admit (): Members | null {
    const known = new Set([...this.#voters, ...this.#learners])
    const newcomers = this.#state.observations.filter(observation => !known.has(observation.replica) && observation.silentMs < reachableMs)
    if (newcomers.length === 0) return null
    const later = newcomers.filter(({ isLater }) => isLater).map(({ replica }) => replica)
    return { voters: this.#voters, learners: [...this.#learners, ...newcomers.map(({ replica }) => replica)], newcomers: [...this.#newcomers, ...later] }
  }

  promote (): Members | null {
    if (this.#voters.length >= this.#target.voters) return null
    const spare = this.#findSpare(this.#target.maxPerZone)
    if (spare === undefined) return null
    return { ...this.#withVoter(spare), newcomers: this.#newcomers.filter(id => id !== spare) }
  }

  // Promotes a spare first; `demoteSurplus` then demotes the silent voter.
  replaceSilent (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    const silent = this.#findSilent()
    if (silent === undefined) return null
    const spare = this.#findSpare(Infinity)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  // An earlier keeper may be taken away for good as soon as its successor has caught up, however many at once. `demoteSurplus` then demotes it.
  followNewcomer (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    const newcomer = this.#findNewcomer()
    return newcomer === undefined ? null : this.#withVoter(newcomer)
  }

  balance (): Members | null {
    if (this.#voters.length !== this.#target.voters) return null
    if (!this.#voters.some(id => this.#countZone(this.#getZone(id)) > this.#target.maxPerZone)) return null
    const spare = this.#findSpare(this.#target.maxPerZone)
    return spare === undefined ? null : this.#withVoter(spare)
  }

  demoteSurplus (): Members | null {
    if (this.#voters.length <= this.#target.voters) return null
    const newVoter = this.#findNewVoter()
    const demoted = this.#findSilent() ?? (newVoter === undefined ? undefined : this.#findPredecessor(newVoter)) ?? this.#findVoterInCrowdedZone()
    const voters = this.#voters.filter(id => id !== demoted)
    if (demoted === undefined || !this.#hasQuorum(voters)) return null
    return { voters, learners: [demoted, ...this.#learners], newcomers: this.#newcomers.filter(id => this.#learners.includes(id)) }
  }

  dropSilentLearners (): Members | null {
    const learners = this.#learners.filter(id => this.#getSilentMs(id) < this.#target.dropLearnerMs)
    return learners.length === this.#learners.length ? null : { voters: this.#voters, learners, newcomers: this.#newcomers }
  }

  #withVoter (spare: ReplicaId): Members {
    return { voters: [...this.#voters, spare], learners: this.#learners.filter(id => id !== spare), newcomers: this.#newcomers }
  }

  // True for a reachable, caught-up learner.
  #isSpare (id: ReplicaId): boolean {
    const observation = this.#observations.get(id)
    if (observation === undefined || !this.#learners.includes(id)) return false
    return observation.silentMs < reachableMs && observation.match > 0 && observation.match + caughtUpEntries >= this.#state.commit
  }

  // A spare, preferably in the zone with the fewest voters, and the latest to join.
  #findSpare (perZone: number): ReplicaId | undefined {
    const spares = this.#learners.filter(id => this.#isSpare(id)).reverse()
    const withinLimit = spares.filter(id => this.#countZone(this.#getZone(id)) < perZone)
    const candidates = (withinLimit.length > 0 ? withinLimit : this.#voters.length < this.#target.voters ? spares : [])
    return [...candidates].sort((a, b) => this.#countZone(this.#getZone(a)) - this.#countZone(this.#getZone(b)))[0]
  }

  #findSilent (): ReplicaId | undefined {
    const silent = this.#voters.filter(id => id !== this.#state.self && this.#getSilentMs(id) >= this.#target.replaceVoterMs)
    return silent.sort((a, b) => this.#getSilentMs(b) - this.#getSilentMs(a))[0]
  }

  // A newcomer that has caught up and can take over a vote; none while a voter is silent, which it may have to replace.
  #findNewcomer (): ReplicaId | undefined {
    if (this.#countReachable(this.#voters) < this.#voters.length) return undefined
    return this.#newcomers.find(id => this.#isSpare(id) && this.#findPredecessor(id) !== undefined)
  }

  // A newcomer that has a vote beside the one that it takes over.
  #findNewVoter (): ReplicaId | undefined { return this.#newcomers.find(id => this.#voters.includes(id)) }

  // The earliest voter of the newcomer's zone.
  #findPredecessor (newcomer: ReplicaId): ReplicaId | undefined {
    return this.#voters.find(id => id !== newcomer && this.#getZone(id) === this.#getZone(newcomer))
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

  #countReachable (voters: readonly ReplicaId[]): number { return voters.filter(id => this.#getSilentMs(id) < reachableMs).length }

  #hasQuorum (voters: readonly ReplicaId[]): boolean { return this.#countReachable(voters) * 2 > voters.length }
}
