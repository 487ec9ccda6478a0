import type { RaftTiming } from './log-types.js'

/**
 * Fraction of the usual election timeout for a replica that has had no contact with a leader since it started:
 * after a power loss of all replicas there is no leader to wait for, and if one exists its followers refuse the pre-vote.
 */
const initialTimeoutFraction = 1 / 3

/** Randomized election timeout. Times are monotonic, ms. */
export class ElectionTimer {
  #timing: RaftTiming
  #random: () => number
  #dueAt = 0
  #leaderSeenAt = -Infinity

  constructor (timing: RaftTiming, random: () => number) {
    this.#timing = timing
    this.#random = random
  }

  isDue (at: number): boolean { return at >= this.#dueAt }

  /** True if there was contact with a leader within the election timeout. */
  hasRecentLeader (at: number): boolean { return at - this.#leaderSeenAt < this.#timing.electionMs }

  /** Restarts the timeout with a new random duration. */
  reset (at: number): void {
    const fraction = this.#leaderSeenAt === -Infinity ? initialTimeoutFraction : 1
    this.#dueAt = at + this.#timing.electionMs * fraction * (1 + this.#random())
  }

  /** Records a message from the leader. */
  noteLeader (at: number): void {
    this.#leaderSeenAt = at
    this.reset(at)
  }
}
