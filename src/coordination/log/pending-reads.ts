/** Linearizable reads (Raft's read index) waiting for a quorum to answer a heartbeat that was sent after the read arrived. */

interface PendingRead {
  readonly read: number
  readonly round: number
  /** The commit index when the read arrived; the read may be served once it is applied. */
  readonly index: number
}

export class PendingReads {
  #reads: PendingRead[] = []

  add (read: PendingRead): void {
    this.#reads.push(read)
  }

  /** Removes and returns the reads whose round is confirmed. Rounds increase, so reads complete in order of arrival. */
  takeConfirmed (isConfirmed: (round: number) => boolean): readonly PendingRead[] {
    const firstUnconfirmed = this.#reads.findIndex(({ round }) => !isConfirmed(round))
    return this.#reads.splice(0, firstUnconfirmed < 0 ? this.#reads.length : firstUnconfirmed)
  }

  takeAll (): readonly PendingRead[] {
    return this.#reads.splice(0)
  }
}
