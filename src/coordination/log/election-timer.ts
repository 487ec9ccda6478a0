import type { RaftTiming } from './log-types.js'

/**
 * Part of the usual time after which an election is tried by a replica that has heard no leader
 * since it started: where all lost power none will be heard, and where one leads its followers refuse.
 */
const initialTimeoutFraction = 1 / 3

/** When a replica tries an election: after a random time without a leader. Times in ms, on a clock that only rises. */
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

  /** True where a leader was heard so lately that it may still lead. */
  hasRecentLeader (at: number): boolean { return at - this.#leaderSeenAt < this.#timing.electionMs }

  /** Begins the wait anew. */
  reset (at: number): void {
    const fraction = this.#leaderSeenAt === -Infinity ? initialTimeoutFraction : 1
    this.#dueAt = at + this.#timing.electionMs * fraction * (1 + this.#random())
  }

  /** Takes word of a leader. */
  noteLeader (at: number): void {
    this.#leaderSeenAt = at
    this.reset(at)
  }
}
