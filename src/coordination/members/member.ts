/** What is known of a box. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'gone'

/** A box as members tell each other of it. */
export interface Member {
  readonly id: string
  /** When the box's process started, ms since 1970: a restarted box is a new one. */
  readonly incarnation: number
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly state: MemberState
  /** Raised by the box itself to refute a suspicion. */
  readonly version: number
}

const statePrecedence: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, gone: 3 }

/** True where `next` is newer word of the same box than `known`. */
export function isNewer (next: Member, known: Member): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation
  if (known.state === 'gone') return false
  // Leaving is the box's own last word: only "gone" comes after it.
  if (known.state === 'leaving') return next.state === 'gone'
  if (next.state === 'leaving' || next.state === 'gone') return true
  if (next.version !== known.version) return next.version > known.version
  return statePrecedence[next.state] > statePrecedence[known.state]
}
