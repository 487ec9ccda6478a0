/** State of a box in the group. `leaving`: it shuts down in an orderly way. `gone`: it has failed or left. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'gone'

/** A box's record as exchanged between members. */
export interface Member {
  readonly id: string
  /** Start time of the box's process, ms since 1970; a restarted box counts as a new member. */
  readonly incarnation: number
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly state: MemberState
  /** Incremented by the box itself to refute a suspicion. */
  readonly version: number
}

const statePrecedence: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, gone: 3 }

/** True if `next` supersedes `known`, a record of the same box. */
export function isNewer (next: Member, known: Member): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation
  if (known.state === 'gone') return false
  // "leaving" is announced by the box itself, so only "gone" supersedes it.
  if (known.state === 'leaving') return next.state === 'gone'
  if (next.state === 'leaving' || next.state === 'gone') return true
  if (next.version !== known.version) return next.version > known.version
  return statePrecedence[next.state] > statePrecedence[known.state]
}
