import type { Members, ReplicaId } from '../coordination/index.js'

/** A voter that lacks fewer entries than this counts as having nearly everything. */
const nearEntries = 1000

/** Voters that have synced nearly everything, beyond a quorum. `matches`: the synced index of each that was heard from. */
export function countSpare (members: Members, matches: ReadonlyMap<ReplicaId, number>, commit: number): number {
  const near = members.voters.filter(id => (matches.get(id) ?? 0) + nearEntries >= commit && matches.has(id))
  const quorum = (members.voters.length >> 1) + 1
  return matches.size === 0 ? 0 : near.length - quorum
}
