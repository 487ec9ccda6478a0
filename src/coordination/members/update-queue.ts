import type { Member } from './member.js'

/** Updates per message; keeps a message within one datagram. */
const maxUpdatesPerMessage = 8

interface QueuedUpdate {
  readonly member: Member
  sendsLeft: number
}

/** Member updates that are piggybacked on messages, in round-robin order, each a given number of times. */
export class UpdateQueue {
  #updates = new Map<string, QueuedUpdate>()

  /** Queues an update, replacing any earlier one for the same member. */
  enqueue (member: Member, sends: number): void {
    this.#updates.set(member.id, { member, sendsLeft: sends })
  }

  /** The updates for one message. */
  dequeue (): Member[] {
    const updates: Member[] = []
    for (const [id, update] of [...this.#updates]) {
      if (updates.length >= maxUpdatesPerMessage) break
      updates.push(update.member)
      update.sendsLeft -= 1
      this.#updates.delete(id)
      if (update.sendsLeft > 0) this.#updates.set(id, update)
    }
    return updates
  }
}
