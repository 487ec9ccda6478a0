/** Lets a keeper with another disk into the log, and its old replica out, one change of members after another. */
import type { Members, Replica, ReplicaId } from '../coordination/index.js'
import { waitUntil } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** A step of a repair is given up after this, ms. */
const stepMs = 30_000

export class KeeperRepair {
  #log: EventLog
  #isRunning = false

  constructor (log: EventLog) {
    this.#log = log
  }

  get isRunning (): boolean { return this.#isRunning }

  /** Puts `fresh` in the place of `old`, if there is one. Throws where that can't be done in time or leadership is lost; it may be tried again. */
  async replace (replica: Replica, fresh: ReplicaId, old: ReplicaId | undefined): Promise<void> {
    this.#isRunning = true
    try {
      await this.#replace(replica, fresh, old)
    } finally {
      this.#isRunning = false
    }
  }

  async #replace (replica: Replica, fresh: ReplicaId, old: ReplicaId | undefined): Promise<void> {
    const { voters } = replica.members
    await changeMembers(replica, { voters, learners: [fresh] })
    const target = replica.node.commitIndex
    const caughtUp = (): boolean => (replica.node.matches.get(fresh) ?? 0) >= target
    if (!await waitUntil(caughtUp, stepMs)) throw new Error('the new replica did not catch up in time; try again')
    await changeMembers(replica, { voters: [...voters, fresh], learners: [] })
    const kept = [...voters, fresh].filter(id => id !== old)
    if (old !== undefined) await changeMembers(replica, { voters: kept, learners: [] })
    this.#log.info('repaired', { voters: kept.join(',') })
  }
}

async function changeMembers (replica: Replica, members: Members): Promise<void> {
  await waitUntil(() => replica.node.isSettled, stepMs)
  const end = await replica.changeMembers(members)
  if (end.type === 'applied') return
  throw new Error(`members not changed: ${end.type === 'rejected' ? end.fault : 'leadership was lost'}; try again`)
}
