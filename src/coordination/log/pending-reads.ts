/** Reads that wait until a quorum has answered a heartbeat that was sent after they came. */

interface PendingRead {
  readonly read: number
  readonly round: number
  /** The log's committed index when the read came: the state must be as new. */
  readonly index: number
}

export class PendingReads {
  #reads: PendingRead[] = []

  add (read: PendingRead): void {
    this.#reads.push(read)
  }

  /** Takes out those whose round was answered. Rounds rise, so they go in the order in which they came. */
  takeAnswered (isAnswered: (round: number) => boolean): readonly PendingRead[] {
    const first = this.#reads.findIndex(({ round }) => !isAnswered(round))
    return this.#reads.splice(0, first < 0 ? this.#reads.length : first)
  }

  takeAll (): readonly PendingRead[] {
    return this.#reads.splice(0)
  }
}
