import type { Member } from './member.js'

/** Members in the news of one message: it stays within one datagram. */
const newsPerMessage = 8

interface News {
  readonly member: Member
  left: number
}

/** News of members that goes along with messages: in turn, each a set number of times. */
export class MemberNews {
  #news = new Map<string, News>()

  /** Puts news of a member in place of what was told of it before. */
  spread (member: Member, times: number): void {
    this.#news.set(member.id, { member, left: times })
  }

  /** The news for one message. */
  take (): Member[] {
    const news: Member[] = []
    for (const [id, item] of [...this.#news]) {
      if (news.length >= newsPerMessage) break
      news.push(item.member)
      item.left -= 1
      this.#news.delete(id)
      if (item.left > 0) this.#news.set(id, item)
    }
    return news
  }
}
