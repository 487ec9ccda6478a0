import type { Member } from './member.js'

/** Members in the news of one message: it stays within one datagram. */
const maxUpdatesPerMessage = 8

interface QueuedUpdate {
  readonly member: Member
  sendsLeft: number
}

/** News of members that goes along with messages: in turn, each a set number of times. */
export class UpdateQueue {
  #updates = new Map<string, QueuedUpdate>()

  /** Puts news of a member in place of what was told of it before. */
  enqueue (member: Member, sends: number): void {
    this.#updates.set(member.id, { member, sendsLeft: sends })
  }

  /** The news for one message. */
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
