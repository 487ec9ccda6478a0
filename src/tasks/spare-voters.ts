import type { Members, ReplicaId } from '../coordination/index.js'

/** A voter that lags the commit index by at most this many entries counts as caught up. */
const maxLagEntries = 1000

/**
 * Number of caught-up voters beyond a quorum; negative if there are too few.
 * `matches`: the last synced index of each voter that has reported one; if it is
 * empty, the result is 0.
 */
export function countSpareVoters (members: Members, matches: ReadonlyMap<ReplicaId, number>, commitIndex: number): number {
  const caughtUp = members.voters.filter(id => (matches.get(id) ?? 0) + maxLagEntries >= commitIndex && matches.has(id))
  const quorum = (members.voters.length >> 1) + 1
  return matches.size === 0 ? 0 : caughtUp.length - quorum
}
