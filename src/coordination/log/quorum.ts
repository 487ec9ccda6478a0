import type { Members, ReplicaId } from './log-types.js'

/** True if `isCounted` holds for more than half of the voters. */
export function hasQuorum ({ voters }: Members, isCounted: (id: ReplicaId) => boolean): boolean {
  return voters.filter(isCounted).length * 2 > voters.length
}

/** The highest index that more than half of the voters have reached; 0 without voters. */
export function findQuorumIndex ({ voters }: Members, getMatch: (id: ReplicaId) => number): number {
  const matches = voters.map(getMatch).sort((a, b) => b - a)
  return matches[voters.length >> 1] ?? 0
}

/** All members, voters and learners, except `own`. */
export function listPeers ({ voters, learners }: Members, own: ReplicaId): ReplicaId[] {
  return [...voters, ...learners].filter(id => id !== own)
}
