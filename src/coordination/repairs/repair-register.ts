/**
 * The repairs of keepers that operators have asked for, as a state machine on the
 * replicated log. A repair is recorded before its first membership change and
 * after its last, so that whichever keeper leads can answer a resent call.
 */
import type { CommandId } from '../ledger/ledger-types.js'

/** Commands on repairs; repeating one has no effect. */
export type RepairCommand =
  | { readonly type: 'begin', readonly id: CommandId }
  | { readonly type: 'finish', readonly id: CommandId }

export type RepairState = 'begun' | 'finished'

/** Result of a command: the state of the repair after it. */
export interface RepairResult { readonly type: RepairState }

/** The repairs as stored in a snapshot, oldest first. */
export type RepairRegisterState = readonly (readonly [command: string, state: RepairState])[]

/** Number of repairs that are kept to answer resent calls; the oldest is evicted first. */
const maxRepairs = 32

export class RepairRegister {
  #repairs: Map<string, RepairState>

  constructor (state: RepairRegisterState = []) {
    this.#repairs = new Map(state)
  }

  /** The state of a repair; undefined if it is not recorded. */
  find (id: CommandId): RepairState | undefined { return this.#repairs.get(composeKey(id)) }

  apply ({ type, id }: RepairCommand): RepairResult {
    const key = composeKey(id)
    const state = type === 'finish' || this.#repairs.get(key) === 'finished' ? 'finished' : 'begun'
    this.#repairs.set(key, state)
    const [oldest] = this.#repairs.keys()
    if (this.#repairs.size > maxRepairs) this.#repairs.delete(oldest)
    return { type: state }
  }

  save (): RepairRegisterState { return [...this.#repairs] }
}

function composeKey ({ operator, number, digest }: CommandId): string { return JSON.stringify([operator, number, digest]) }
