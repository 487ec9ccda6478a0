/**
 * A planned stop of an entry box: what it may still begin. Only what has ended when the box does, by time-outs of its
 * own, and never by an estimate of how long it takes. What is refused can go to another box at once.
 */

/** Work that a box may begin. `deadline`: when its caller is answered at the latest, on the clock of the stop, ms. */
export type BoxWork =
  /** A chat completion, of which nothing bounds the length. */
  | { readonly type: 'chat' }
  /** A service call that may be repeated. */
  | { readonly type: 'repeatable-call', readonly deadline: number }
  /** A service call that is claimed before its deadline and settled after it at the latest. */
  | { readonly type: 'claimed-call', readonly deadline: number }

/** Time in which the answer to a call that has reached its deadline is written, ms. */
const answerMs = 100
/** Time in which a claim is settled or withdrawn once its call has reached its deadline, ms. */
export const settleTimeoutMs = 3000

/** When the work has ended at the latest; infinite if nothing bounds it. */
export function computeLatestEnd (work: BoxWork): number {
  switch (work.type) {
    case 'chat': return Infinity
    case 'repeatable-call': return work.deadline + answerMs
    case 'claimed-call': return work.deadline + settleTimeoutMs
  }
}

export class PlannedStop {
  #endsAt = Infinity

  /** True once the stop has begun. */
  get isBegun (): boolean { return this.#endsAt !== Infinity }

  /** When the box ends at the latest; infinite before the stop has begun. */
  get endsAt (): number { return this.#endsAt }

  /** Begins the stop, or brings its end forward; an end that was set is never moved back. */
  endBy (at: number): void { this.#endsAt = Math.min(this.#endsAt, at) }

  /** True if the work has ended when the box does. */
  mayBegin (work: BoxWork): boolean { return computeLatestEnd(work) <= this.#endsAt }
}
