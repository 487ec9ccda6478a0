import assert from 'node:assert/strict'
import { test } from 'node:test'
import { planMembers } from '../src/coordination/index.js'
import type { KeeperSight, Members, ReplicaId } from '../src/coordination/index.js'

const wish = { voters: 3, perZone: 1, replaceMs: 2500, forgetMs: 60_000 }

function sight (id: string, zone: string, silentMs = 0, match = 100): KeeperSight {
  return { replica: id as ReplicaId, zone, silentMs, match }
}

function members (voters: string, learners = ''): Members {
  const split = (text: string): ReplicaId[] => text === '' ? [] : text.split(' ') as ReplicaId[]
  return { voters: split(voters), learners: split(learners) }
}

const [a, b, c, d] = [sight('a#1', 'za'), sight('b#1', 'zb'), sight('c#1', 'zc'), sight('d#1', 'zd')]

const cases: readonly { name: string, members: Members, sights: readonly KeeperSight[], next: Members | null }[] = [
  { name: 'all well', members: members('a#1 b#1 c#1', 'd#1'), sights: [a, b, c, d], next: null },
  { name: 'a newcomer is let in without a vote', members: members('a#1 b#1 c#1'), sights: [a, b, c, d], next: members('a#1 b#1 c#1', 'd#1') },
  { name: 'a caught-up learner fills a gap', members: members('a#1 b#1', 'd#1'), sights: [a, b, d], next: members('a#1 b#1 d#1') },
  { name: 'a learner that is behind doesn\'t', members: members('a#1 b#1', 'd#1'), sights: [a, b, sight('d#1', 'zd', 0, 3)], next: null },
  { name: 'a new disk at an old place is another replica, without a vote', members: members('a#1 b#1 c#1'), sights: [a, b, sight('c#1', 'zc', 900), sight('c#2', 'zc')], next: members('a#1 b#1', 'c#2') },
  { name: 'but not while that would leave no quorum', members: members('a#1 b#1 c#1'), sights: [a, sight('b#1', 'zb', 3000), sight('c#1', 'zc', 3000), sight('c#2', 'zc')], next: members('a#1 b#1 c#1', 'c#2') },
  { name: 'a spare joins before a silent voter leaves', members: members('a#1 b#1 c#1', 'd#1'), sights: [a, b, sight('c#1', 'zc', 3000), d], next: members('a#1 b#1 c#1 d#1') },
  { name: 'then the silent one leaves', members: members('a#1 b#1 c#1 d#1'), sights: [a, b, sight('c#1', 'zc', 3300), d], next: members('a#1 b#1 d#1', 'c#1') },
  { name: 'a short silence changes nothing', members: members('a#1 b#1 c#1', 'd#1'), sights: [a, b, sight('c#1', 'zc', 2000), d], next: null },
  { name: 'a silent voter stays where there is no spare', members: members('a#1 b#1 c#1'), sights: [a, b, sight('c#1', 'zc', 9000)], next: null },
  { name: 'two voters of a zone are one too many', members: members('a#1 b#1 e#1', 'd#1'), sights: [a, b, sight('e#1', 'zb'), d], next: members('a#1 b#1 e#1 d#1') },
  { name: 'the crowded zone gives one up', members: members('a#1 b#1 e#1 d#1'), sights: [a, b, sight('e#1', 'zb'), d], next: members('a#1 b#1 d#1', 'e#1') },
  { name: 'a learner that is gone for long is forgotten', members: members('a#1 b#1 c#1', 'd#1'), sights: [a, b, c, sight('d#1', 'zd', 70_000)], next: members('a#1 b#1 c#1') }
]

for (const { name, members: present, sights, next } of cases) {
  test(`members: ${name}`, () => {
    assert.deepEqual(planMembers({ members: present, self: 'a#1' as ReplicaId, commit: 100, sights }, wish), next)
  })
}
