import type { Member } from './member.js'

/** A sum over the present members, kept up to date: it doesn't depend on their order, and its cost doesn't grow with their number. */
export class MemberDigest {
  #sum = 0

  /** The sum with this box itself. */
  compute (self: Member): number { return (this.#sum + digestMember(self)) >>> 0 }

  /** Puts what is known of a member now in place of what was known before. */
  replace (before: Member | undefined, next: Member): void {
    if (before !== undefined) this.#add(before, -1)
    this.#add(next, 1)
  }

  #add (member: Member, sign: 1 | -1): void {
    if (member.state === 'gone') return
    this.#sum = (this.#sum + sign * digestMember(member)) >>> 0
  }
}

// FNV-1a.
function digestMember (member: Member): number {
  const text = `${member.id} ${member.incarnation} ${member.version} ${member.state}`
  let hash = 2166136261
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 16777619)
  return hash >>> 0
}
