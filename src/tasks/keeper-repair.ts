/**
 * Replaces the replica of a keeper whose disk has changed, by one membership
 * change at a time. A repair that was interrupted resumes from the current
 * membership, also on another leader: calls are recorded in the log.
 */
import { performance } from 'node:perf_hooks'
import { getKeeperName } from '../coordination/index.js'
import type { CommandId, KeeperLog, Members, RepairCommand, Replica, ReplicaId } from '../coordination/index.js'
import { waitUntil } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** Time-out of each step of a repair. */
const stepTimeoutMs = 30_000
/** Delay before retrying a membership change that the leader was not ready for. */
const retryDelayMs = 50

export type RepairOutcome =
  | { readonly type: 'repaired', readonly members: Members }
  | { readonly type: 'not-leader' }
  | { readonly type: 'failed', readonly text: string }

/** `restart`: the keeper has reported another replica, so the repair starts over with that one. */
type StepOutcome = 'done' | 'restart' | Exclude<RepairOutcome, { readonly type: 'repaired' }>

interface Repair {
  readonly name: string
  readonly outcome: Promise<RepairOutcome>
}

export class KeeperRepair {
  #log: EventLog
  #running: Repair | null = null

  constructor (log: EventLog) {
    this.#log = log
  }

  /** Name of the keeper whose repair is in progress, or null. */
  get keeperUnderRepair (): string | null { return this.#running?.name ?? null }

  /**
   * Replaces all earlier replicas of a keeper with its current one. Concurrent calls for the same keeper share one repair and its
   * result; the caller must not start a repair while another keeper is under repair. `getFreshReplica` returns the replica that the
   * keeper last reported.
   */
  async repair (keeperLog: KeeperLog, replica: Replica, name: string, id: CommandId, getFreshReplica: () => ReplicaId): Promise<RepairOutcome> {
    const begun = record(keeperLog, 'begin', id)
    this.#running ??= { name, outcome: this.#repair(replica, name, begun, getFreshReplica).finally(() => { this.#running = null }) }
    const { outcome: running } = this.#running
    if (!await begun) return { type: 'not-leader' }
    const outcome = await running
    if (outcome.type !== 'repaired') return outcome
    return await record(keeperLog, 'finish', id) ? outcome : { type: 'not-leader' }
  }

  async #repair (replica: Replica, name: string, begun: Promise<boolean>, getFreshReplica: () => ReplicaId): Promise<RepairOutcome> {
    let outcome: StepOutcome = await begun ? 'restart' : { type: 'not-leader' }
    while (outcome === 'restart') outcome = await replaceReplica(replica, name, getFreshReplica)
    if (outcome !== 'done') {
      this.#log.warn('repair-failed', { keeper: name, reason: outcome.type === 'failed' ? outcome.text : 'leadership was lost' })
      return outcome
    }
    this.#log.info('repaired', { voters: replica.members.voters.join(',') })
    return { type: 'repaired', members: replica.members }
  }
}

// Records the state of a call's repair; false if leadership was lost.
async function record (keeperLog: KeeperLog, type: RepairCommand['type'], id: CommandId): Promise<boolean> {
  const outcome = await keeperLog.propose({ part: 'repairs', command: { type, id } })
  return outcome.type === 'applied'
}

async function replaceReplica (replica: Replica, name: string, getFreshReplica: () => ReplicaId): Promise<StepOutcome> {
  const fresh = getFreshReplica()
  const isOld = (id: ReplicaId): boolean => id !== fresh && getKeeperName(id) === name
  if (!replica.members.voters.includes(fresh)) {
    const added = await changeMembers(replica, ({ voters, learners }) => ({ voters, learners: [...learners.filter(id => id !== fresh && !isOld(id)), fresh] }))
    if (added !== 'done') return added
    const caughtUp = await waitForCatchUp(replica, fresh, getFreshReplica)
    if (caughtUp !== 'done') return caughtUp
    const promoted = await changeMembers(replica, ({ voters, learners }) => ({ voters: [...voters, fresh], learners: learners.filter(id => id !== fresh) }))
    if (promoted !== 'done') return promoted
  }
  for (let old = replica.members.voters.find(isOld); old !== undefined; old = replica.members.voters.find(isOld)) {
    const removed = await changeMembers(replica, ({ voters, learners }) => ({ voters: voters.filter(id => id !== old), learners }))
    if (removed !== 'done') return removed
  }
  return 'done'
}

// Waits until the new replica has every entry that is committed at the time of the call.
async function waitForCatchUp (replica: Replica, fresh: ReplicaId, getFreshReplica: () => ReplicaId): Promise<StepOutcome> {
  const target = replica.node.commitIndex
  const isCaughtUp = (): boolean => (replica.node.matches.get(fresh) ?? 0) >= target
  const isInTime = await waitUntil(() => isCaughtUp() || !replica.isLeader || getFreshReplica() !== fresh, stepTimeoutMs)
  if (!replica.isLeader) return { type: 'not-leader' }
  if (getFreshReplica() !== fresh) return 'restart'
  return isInTime ? 'done' : { type: 'failed', text: 'the new replica did not catch up in time; try again' }
}

// Proposes a membership change when no other is in progress, and retries while the leader is not ready for it.
async function changeMembers (replica: Replica, change: (members: Members) => Members): Promise<StepOutcome> {
  const deadline = performance.now() + stepTimeoutMs
  while (performance.now() < deadline) {
    await waitUntil(() => replica.node.hasCommittedMembers || !replica.isLeader, stepTimeoutMs)
    if (!replica.isLeader) return { type: 'not-leader' }
    const outcome = await replica.changeMembers(change(replica.members))
    if (outcome.type === 'applied') return 'done'
    if (outcome.type === 'lost' || outcome.fault === 'not-leader') return { type: 'not-leader' }
    if (outcome.fault !== 'not-ready' && outcome.fault !== 'change-in-progress') return { type: 'failed', text: `members could not be changed: ${outcome.fault}; try again` }
    await new Promise(resolve => setTimeout(resolve, retryDelayMs))
  }
  return { type: 'failed', text: 'members could not be changed in time; try again' }
}
