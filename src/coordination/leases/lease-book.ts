/**
 * Leases on named duties, as a state machine of the replicated log. It tells no
 * time: whoever wants a lease that another holds watches its mark, which moves
 * with each renewal, and claims only after the mark has stood still for long
 * enough by its own clock. A claim names the mark that was watched, so one that
 * was overtaken by a renewal changes nothing.
 */

/** What is known of the lease on one duty. */
export interface LeaseState {
  /** The number of the holder's calls: it rises with each claim, also where a box claims anew. */
  readonly fence: number
  /** Null once the holder gave the lease back. */
  readonly holder: string | null
  /** Moves with each claim, renewal and release. */
  readonly mark: number
  /** Who held it last, the newest at the end, the holder included. */
  readonly recent: readonly string[]
}

/** What is asked of the book. */
export type LeaseCommand =
  /** Takes the lease, if its mark is still `seen`; 0 where it was never held. */
  | { readonly type: 'claim', readonly duty: string, readonly holder: string, readonly seen: number }
  | { readonly type: 'renew', readonly duty: string, readonly holder: string, readonly fence: number }
  /** Gives it back: none of the holder's calls may be under way any more. */
  | { readonly type: 'release', readonly duty: string, readonly holder: string, readonly fence: number }

/** The answer to a command; `refused`: the lease is another's, or its mark has moved. */
export type LeaseResult =
  | { readonly type: 'granted', readonly fence: number }
  | { readonly type: 'released' }
  | { readonly type: 'refused' }

/** The book as it stands in a snapshot. */
export type LeaseBookState = readonly (readonly [duty: string, state: LeaseState])[]

/** Holders that are kept of each duty: enough for a stop of all boxes in turn within one lease's time. */
const maxRecentHolders = 16

export class LeaseBook {
  #leases: Map<string, LeaseState>

  constructor (state: LeaseBookState = []) {
    this.#leases = new Map(state)
  }

  /** The lease on a duty; undefined where it was never held. */
  find (duty: string): LeaseState | undefined { return this.#leases.get(duty) }

  apply (command: LeaseCommand): LeaseResult {
    switch (command.type) {
      case 'claim': return this.#claim(command.duty, command.holder, command.seen)
      case 'renew': return this.#renew(command.duty, command.holder, command.fence)
      case 'release': return this.#release(command.duty, command.holder, command.fence)
    }
  }

  save (): LeaseBookState { return [...this.#leases] }

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
