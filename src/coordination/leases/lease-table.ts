/**
 * Leases on named duties, as a state machine on the replicated log. It uses no
 * clock: a box that wants a lease held by another observes the lease's mark, a
 * counter that each renewal increments, and claims only after the mark has not
 * changed for long enough by its own clock. A claim is a compare-and-set on the
 * observed mark, so a claim that a renewal precedes has no effect.
 */

/** State of the lease on one duty. */
export interface LeaseState {
  /** Fencing token sent with the holder's calls. Each claim increments it, also one by the same box. */
  readonly fence: number
  /** Null after the holder released the lease. */
  readonly holder: string | null
  /** Incremented by each claim, renewal and release. */
  readonly mark: number
  /** The most recent holders including the current one, newest last. */
  readonly recent: readonly string[]
}

/** Commands on leases. */
export type LeaseCommand =
  /** Takes the lease if its mark still equals `seen`, which is 0 for a lease that was never held. */
  | { readonly type: 'claim', readonly duty: string, readonly holder: string, readonly seen: number }
  | { readonly type: 'renew', readonly duty: string, readonly holder: string, readonly fence: number }
  /** Releases the lease. None of the holder's calls may still be in flight. */
  | { readonly type: 'release', readonly duty: string, readonly holder: string, readonly fence: number }

/** Result of a command. `refused`: another box holds the lease, or its mark has changed. */
export type LeaseResult =
  | { readonly type: 'granted', readonly fence: number }
  | { readonly type: 'released' }
  | { readonly type: 'refused' }

/** The leases as stored in a snapshot. */
export type LeaseTableState = readonly (readonly [duty: string, state: LeaseState])[]

/** Recent holders remembered per duty; covers a rolling stop of all boxes within one lease duration. */
const maxRecentHolders = 16

export class LeaseTable {
  #leases: Map<string, LeaseState>

  constructor (state: LeaseTableState = []) {
    this.#leases = new Map(state)
  }

  /** The lease on a duty; undefined if it was never held. */
  find (duty: string): LeaseState | undefined { return this.#leases.get(duty) }

  apply (command: LeaseCommand): LeaseResult {
    switch (command.type) {
      case 'claim': return this.#claim(command.duty, command.holder, command.seen)
      case 'renew': return this.#renew(command.duty, command.holder, command.fence)
      case 'release': return this.#release(command.duty, command.holder, command.fence)
    }
  }

  save (): LeaseTableState { return [...this.#leases] }

  #claim (duty: string, holder: string, seen: number): LeaseResult {
    const current = this.#leases.get(duty)
    if ((current?.mark ?? 0) !== seen) return { type: 'refused' }
    const fence = (current?.fence ?? 0) + 1
    const recent = [...(current?.recent ?? []).filter(one => one !== holder), holder].slice(-maxRecentHolders)
    this.#leases.set(duty, { fence, holder, mark: seen + 1, recent })
    return { type: 'granted', fence }
  }

  #renew (duty: string, holder: string, fence: number): LeaseResult {
    const current = this.#leases.get(duty)
    if (current === undefined || current.holder !== holder || current.fence !== fence) return { type: 'refused' }
    this.#leases.set(duty, { ...current, mark: current.mark + 1 })
    return { type: 'granted', fence }
  }

  #release (duty: string, holder: string, fence: number): LeaseResult {
    const current = this.#leases.get(duty)
    if (current === undefined || current.holder !== holder || current.fence !== fence) return { type: 'refused' }
    this.#leases.set(duty, { ...current, holder: null, mark: current.mark + 1 })
    return { type: 'released' }
  }
}
