import type { Member } from './member.js'

/** Order-independent digest of the present members, updated incrementally, so its cost doesn't grow with the number of members. */
export class MemberDigest {
  #sum = 0

  /** The digest including this box. */
  compute (self: Member): number { return (this.#sum + digestMember(self)) >>> 0 }

  /** Replaces a member's previous record, if any, with the new one. */
  replace (before: Member | undefined, next: Member): void {
    if (before !== undefined) this.#add(before, -1)
    this.#add(next, 1)
  }

  #add (member: Member, sign: 1 | -1): void {
    if (member.state === 'gone') return
    this.#sum = (this.#sum + sign * digestMember(member)) >>> 0
  }
}

// FNV-1a, 32 bits.
function digestMember (member: Member): number {
  const text = `${member.id} ${member.incarnation} ${member.version} ${member.state}`
  let hash = 2166136261
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 16777619)
  return hash >>> 0
}
