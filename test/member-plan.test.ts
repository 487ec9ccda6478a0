import assert from 'node:assert/strict'
import { test } from 'node:test'
import { planMembers } from '../src/coordination/index.js'
import type { KeeperObservation, Members, ReplicaId } from '../src/coordination/index.js'

const target = { voters: 3, maxPerZone: 1, replaceVoterMs: 2500, dropLearnerMs: 60_000 }

function createObservation (id: string, zone: string, silentMs = 0, match = 100, isLater = false): KeeperObservation {
  return { replica: id as ReplicaId, zone, silentMs, match, isLater }
}

function parseMembers (voters: string, learners = '', newcomers = ''): Members {
  const parseIds = (text: string): ReplicaId[] => text === '' ? [] : text.split(' ') as ReplicaId[]
  return { voters: parseIds(voters), learners: parseIds(learners), ...(newcomers === '' ? {} : { newcomers: parseIds(newcomers) }) }
}

const [a, b, c, d] = [createObservation('a#1', 'za'), createObservation('b#1', 'zb'), createObservation('c#1', 'zc'), createObservation('d#1', 'zd')]

const later = createObservation('e#1', 'zb', 0, 100, true)
const laterOfLeader = createObservation('e#1', 'za', 0, 100, true)

const cases: readonly { name: string, members: Members, observations: readonly KeeperObservation[], next: Members | 'transfer' | null }[] = [
  { name: 'no change while all voters are reachable', members: parseMembers('a#1 b#1 c#1', 'd#1'), observations: [a, b, c, d], next: null },
  { name: 'a new keeper is added as a learner', members: parseMembers('a#1 b#1 c#1'), observations: [a, b, c, d], next: parseMembers('a#1 b#1 c#1', 'd#1') },
  { name: 'a caught-up learner is promoted if a voter is missing', members: parseMembers('a#1 b#1', 'd#1'), observations: [a, b, d], next: parseMembers('a#1 b#1 d#1') },
  { name: 'a learner that lags behind is not promoted', members: parseMembers('a#1 b#1', 'd#1'), observations: [a, b, createObservation('d#1', 'zd', 0, 3)], next: null },
  { name: 'a keeper with a new disk replaces its old replica by a learner', members: parseMembers('a#1 b#1 c#1'), observations: [a, b, createObservation('c#1', 'zc', 900), createObservation('c#2', 'zc')], next: parseMembers('a#1 b#1', 'c#2') },
  { name: 'the old replica of a new disk stays if removing it would leave no quorum', members: parseMembers('a#1 b#1 c#1'), observations: [a, createObservation('b#1', 'zb', 3000), createObservation('c#1', 'zc', 3000), createObservation('c#2', 'zc')], next: parseMembers('a#1 b#1 c#1', 'c#2') },
  { name: 'a spare is promoted before a silent voter is demoted', members: parseMembers('a#1 b#1 c#1', 'd#1'), observations: [a, b, createObservation('c#1', 'zc', 3000), d], next: parseMembers('a#1 b#1 c#1 d#1') },
  { name: 'the silent voter is demoted once there is a surplus', members: parseMembers('a#1 b#1 c#1 d#1'), observations: [a, b, createObservation('c#1', 'zc', 3300), d], next: parseMembers('a#1 b#1 d#1', 'c#1') },
  { name: 'a keeper that joins a running log is a newcomer', members: parseMembers('a#1 b#1 c#1'), observations: [a, b, c, later], next: parseMembers('a#1 b#1 c#1', 'e#1', 'e#1') },
  { name: 'a newcomer that has caught up gets a vote', members: parseMembers('a#1 b#1 c#1', 'e#1', 'e#1'), observations: [a, b, c, later], next: parseMembers('a#1 b#1 c#1 e#1', '', 'e#1') },
  { name: 'a newcomer that lags behind waits', members: parseMembers('a#1 b#1 c#1', 'e#1', 'e#1'), observations: [a, b, c, createObservation('e#1', 'zb', 0, 3, true)], next: null },
  { name: 'the earlier voter of the zone gives its vote to the newcomer', members: parseMembers('a#1 b#1 c#1 e#1', '', 'e#1'), observations: [a, b, c, later], next: parseMembers('a#1 c#1 e#1', 'b#1') },
  { name: 'an earlier voter stays a spare and does not come back', members: parseMembers('a#1 c#1 e#1', 'b#1'), observations: [a, b, c, later], next: null },
  { name: 'a newcomer takes over no vote while a voter is silent, which it may have to replace', members: parseMembers('a#1 b#1 c#1', 'e#1', 'e#1'), observations: [a, b, createObservation('c#1', 'zc', 2000), later], next: null },
  { name: 'a leader hands over before its vote is taken', members: parseMembers('a#1 b#1 c#1', 'e#1', 'e#1'), observations: [a, b, c, laterOfLeader], next: 'transfer' },
  { name: 'a leader hands over once its vote was taken', members: parseMembers('a#1 b#1 c#1 e#1', '', 'e#1'), observations: [a, b, c, laterOfLeader], next: 'transfer' },
  { name: 'a newcomer in a zone without a voter takes none over', members: parseMembers('a#1 b#1 c#1', 'd#1', 'd#1'), observations: [a, b, c, createObservation('d#1', 'zd', 0, 100, true)], next: null },
  { name: 'a silent voter is replaced first, and the newcomer is none any more', members: parseMembers('a#1 b#1 c#1 e#1', '', 'e#1'), observations: [a, b, createObservation('c#1', 'zc', 3000), later], next: parseMembers('a#1 b#1 e#1', 'c#1') },
  { name: 'of two spares the later one is promoted', members: parseMembers('a#1 b#1', 'c#1 z#1'), observations: [a, b, c, createObservation('z#1', 'zc')], next: parseMembers('a#1 b#1 z#1', 'c#1') },
  { name: 'a short silence causes no change', members: parseMembers('a#1 b#1 c#1', 'd#1'), observations: [a, b, createObservation('c#1', 'zc', 2000), d], next: null },
  { name: 'a silent voter stays if there is no spare', members: parseMembers('a#1 b#1 c#1'), observations: [a, b, createObservation('c#1', 'zc', 9000)], next: null },
  { name: 'a spare of another zone is promoted if a zone has too many voters', members: parseMembers('a#1 b#1 e#1', 'd#1'), observations: [a, b, createObservation('e#1', 'zb'), d], next: parseMembers('a#1 b#1 e#1 d#1') },
  { name: 'a voter of the crowded zone is demoted', members: parseMembers('a#1 b#1 e#1 d#1'), observations: [a, b, createObservation('e#1', 'zb'), d], next: parseMembers('a#1 b#1 d#1', 'e#1') },
  { name: 'a learner that has been silent for long is removed', members: parseMembers('a#1 b#1 c#1', 'd#1'), observations: [a, b, c, createObservation('d#1', 'zd', 70_000)], next: parseMembers('a#1 b#1 c#1') }
]

for (const { name, members: present, observations: sights, next } of cases) {
  test(`members: ${name}`, () => {
    const step = planMembers({ members: present, self: 'a#1' as ReplicaId, commit: 100, observations: sights }, target)
    assert.deepEqual(step?.type === 'change' ? step.members : step?.type ?? null, next)
  })
}
