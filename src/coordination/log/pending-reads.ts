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
  takeConfirmed (isConfirmed: (round: number) => boolean): readonly PendingRead[] {
    const firstUnconfirmed = this.#reads.findIndex(({ round }) => !isConfirmed(round))
    return this.#reads.splice(0, firstUnconfirmed < 0 ? this.#reads.length : firstUnconfirmed)
  }

  takeAll (): readonly PendingRead[] {
    return this.#reads.splice(0)
  }
}
