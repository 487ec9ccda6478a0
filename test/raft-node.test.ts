import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RaftNode } from '../src/coordination/index.js'
import type { LogEntry, Members, RaftEffect, RaftMessage, ReplicaId, StoredLog } from '../src/coordination/index.js'

const [a, b, c, d] = ['a#1', 'b#1', 'c#1', 'd#1'] as ReplicaId[]
const members: Members = { voters: [a, b, c], learners: [] }
const timing = { heartbeatMs: 50, electionMs: 300 }

function createStored (entries: readonly LogEntry[] = []): StoredLog {
  return { hard: { term: 1, vote: null }, snapshot: { index: 1, term: 1, time: 0, members, state: null }, entries }
}

function receive (node: RaftNode, at: number, from: ReplicaId, message: RaftMessage): RaftEffect[] {
  return node.step({ type: 'receive', at, from, message })
}

/** Makes a node leader of term 2 with b's votes. The no-op of that term is the last entry of its log. */
function elect (node: RaftNode): void {
  node.step({ type: 'tick', at: 1000 })
  receive(node, 1001, b, { type: 'voteReply', term: 2, pre: true, granted: true })
  receive(node, 1002, b, { type: 'voteReply', term: 2, pre: false, granted: true })
  assert.equal(node.role, 'leader')
}

function acknowledge (node: RaftNode, at: number, from: ReplicaId, match: number): void {
  receive(node, at, from, { type: 'appendReply', term: 2, ok: true, match, round: 1 })
}

/** The round of the last heartbeat sent to a member. */
function findRound (effects: readonly RaftEffect[], to: ReplicaId): number | undefined {
  const rounds = effects.map(effect => effect.type === 'send' && effect.to === to && 'round' in effect.message ? effect.message.round : undefined)
  return rounds.findLast(round => round !== undefined)
}

function findFault (effects: readonly RaftEffect[]): string | undefined {
  const rejected = effects.find(effect => effect.type === 'rejected')
  return rejected?.type === 'rejected' ? rejected.fault : undefined
}

test('an entry of an older term is committed only together with an entry of the current term', () => {
  const oldEntry: LogEntry = { index: 2, term: 1, time: 0, content: { type: 'command', command: 'x' } }
  const node = new RaftNode(a, createStored([oldEntry]), timing, () => 0.5, 0)
  elect(node)
  node.step({ type: 'synced', at: 1003, index: 3, term: 2 })
  acknowledge(node, 1004, b, 2)
  assert.equal(node.commitIndex, 1)
  acknowledge(node, 1005, b, 3)
  assert.equal(node.commitIndex, 3)
})

test('a leader counts itself only after the entry is synced to its disk', () => {
  const node = new RaftNode(a, createStored(), timing, () => 0.5, 0)
  elect(node)
  acknowledge(node, 1003, b, 2)
  assert.equal(node.commitIndex, 1)
  node.step({ type: 'synced', at: 1004, index: 2, term: 2 })
  assert.equal(node.commitIndex, 2)
})

/** A proposed membership change, and the reason why it is rejected; undefined if it is accepted. */
const changes: { name: string, prepare: (node: RaftNode) => void, proposed: Members, fault: string | undefined }[] = [
  { name: 'before the leader has committed in its term', prepare: () => {}, proposed: { voters: [a, b, c], learners: [d] }, fault: 'not-ready' },
  { name: 'of one learner', prepare: commitNoop, proposed: { voters: [a, b, c], learners: [d] }, fault: undefined },
  { name: 'while another is in progress', prepare: node => { commitNoop(node); proposeMembers(node, { voters: [a, b, c], learners: [d] }) }, proposed: { voters: [a, b], learners: [] }, fault: 'change-in-progress' },
  { name: 'of two voters at once', prepare: commitNoop, proposed: { voters: [a], learners: [] }, fault: 'not-one-change' },
  { name: 'to a voter that has not caught up', prepare: commitNoop, proposed: { voters: [a, b, c, d], learners: [] }, fault: 'not-caught-up' }
]

function commitNoop (node: RaftNode): void {
  node.step({ type: 'synced', at: 1003, index: 2, term: 2 })
  acknowledge(node, 1004, b, 2)
}

function proposeMembers (node: RaftNode, proposed: Members): RaftEffect[] {
  return node.step({ type: 'changeMembers', at: 1005, wall: 0, proposal: 1, members: proposed })
}

for (const { name, prepare, proposed, fault } of changes) {
  test(`a membership change ${name} is ${fault === undefined ? 'accepted' : 'rejected'}`, () => {
    const node = new RaftNode(a, createStored(), timing, () => 0.5, 0)
    elect(node)
    prepare(node)
    assert.equal(findFault(proposeMembers(node, proposed)), fault)
  })
}

test('a leader without replies from a quorum steps down and answers no reads', () => {
  const node = new RaftNode(a, createStored(), timing, () => 0.5, 0)
  elect(node)
  commitNoop(node)
  node.step({ type: 'tick', at: 1100 })
  // The process was suspended for an hour; the first tick afterwards must not act as leader.
  node.step({ type: 'tick', at: 3_601_100 })
  assert.equal(node.role, 'follower')
  assert.ok(node.step({ type: 'read', at: 3_601_101, read: 1 }).some(effect => effect.type === 'readFailed'))
  assert.equal(findFault(node.step({ type: 'propose', at: 3_601_102, wall: 0, proposal: 2, command: 'x' })), 'not-leader')
})

/** Resending doesn't speed up delivery, so resends to a silent member must back off. `match`: index that the other follower acknowledges. */
const resendCases: readonly { readonly name: string, readonly stored: StoredLog, readonly match: number }[] = [
  { name: 'entries', stored: createStored(), match: 2 },
  { name: 'snapshots', stored: { hard: { term: 1, vote: null }, snapshot: { index: 9, term: 1, time: 0, members, state: 'large' }, entries: [] }, match: 10 }
]

for (const { name, stored, match } of resendCases) {
  test(`${name} are resent to a silent member with backoff, and soon after it replies that it lacks them`, () => {
    const node = new RaftNode(a, stored, timing, () => 0.5, 0)
    elect(node)
    const isBulk = (effect: RaftEffect): boolean => effect.type === 'send' && effect.to === c && (effect.message.type === 'snapshot' || (effect.message.type === 'append' && effect.message.entries.length > 0))
    // A member with an empty disk; if there is a snapshot, the entries it lacks have been compacted.
    receive(node, 1003, c, { type: 'appendReply', term: 2, ok: false, match: 1, round: 1 })
    let sent = 0
    let round = 1
    for (let at = 1050; at <= 11_000; at += 50) {
      const effects = node.step({ type: 'tick', at })
      sent += effects.filter(isBulk).length
      round = findRound(effects, c) ?? round
      acknowledge(node, at + 1, b, match)
    }
    assert.ok(sent >= 2 && sent <= 6, `${sent} times`)
    const onReply = receive(node, 11_100, c, { type: 'appendReply', term: 2, ok: false, match: 1, round })
    const afterReply = [...onReply, ...Array.from({ length: 16 }, (_, i) => node.step({ type: 'tick', at: 11_110 + 50 * i })).flat()]
    assert.ok(afterReply.some(isBulk), 'sent after it replied')
  })
}

/** A member that lacks a snapshot and answers each heartbeat. `chooseRound`: the round it answers; `minSends`, `maxSends`: expected snapshot sends in ten seconds. */
const snapshotCases: readonly { readonly name: string, readonly chooseRound: (round: number, first: number) => number, readonly minSends: number, readonly maxSends: number }[] = [
  { name: 'heartbeats after the snapshot, which was lost', chooseRound: round => round, minSends: 15, maxSends: 20 },
  { name: 'heartbeats before the snapshot, which is still in transit', chooseRound: (_, first) => first, minSends: 2, maxSends: 6 }
]

for (const { name, chooseRound, minSends, maxSends } of snapshotCases) {
  test(`a member that lacks a snapshot and answers ${name}, is sent the snapshot ${minSends} to ${maxSends} times in ten seconds`, () => {
    const node = new RaftNode(a, { hard: { term: 1, vote: null }, snapshot: { index: 9, term: 1, time: 0, members, state: 'large' }, entries: [] }, timing, () => 0.5, 0)
    elect(node)
    const firstRound = findRound(node.step({ type: 'tick', at: 1050 }), c) ?? 0
    let sent = 0
    for (let at = 1100; at <= 11_000; at += 50) {
      const effects = node.step({ type: 'tick', at })
      const round = findRound(effects, c) ?? firstRound
      const replies = receive(node, at + 1, c, { type: 'appendReply', term: 2, ok: false, match: 0, round: chooseRound(round, firstRound) })
      sent += [...effects, ...replies].filter(effect => effect.type === 'send' && effect.to === c && effect.message.type === 'snapshot').length
      acknowledge(node, at + 2, b, 10)
    }
    assert.ok(sent >= minSends && sent <= maxSends, `${sent} times`)
  })
}

// After a power loss there is no leader, and gateways wait until a new one has committed what was accepted before. A replica
// without leader contact since its start therefore campaigns early. This doesn't disturb a live leader, as its followers refuse.
const electionCases: { name: string, at: number, hadLeader: boolean, campaigns: boolean }[] = [
  { name: 'a replica without leader contact since its start', at: 150, hadLeader: false, campaigns: true },
  { name: 'a replica without leader contact, too soon after its start', at: 90, hadLeader: false, campaigns: false },
  { name: 'a replica with recent leader contact', at: 150, hadLeader: true, campaigns: false },
  { name: 'a replica whose leader has gone silent', at: 520, hadLeader: true, campaigns: true }
]

for (const { name, at, hadLeader, campaigns } of electionCases) {
  test(`an election is ${campaigns ? '' : 'not '}started after ${at} ms by ${name}`, () => {
    const node = new RaftNode(a, createStored(), timing, () => 0.5, 0)
    if (hadLeader) receive(node, 50, b, { type: 'append', term: 1, prevIndex: 1, prevTerm: 1, entries: [], commit: 1, round: 1 })
    const effects = node.step({ type: 'tick', at })
    assert.equal(effects.some(effect => effect.type === 'send' && effect.message.type === 'vote'), campaigns)
  })
}

test('a replica is current once it has applied an entry of its leader\'s term, until it loses the leader', () => {
  const node = new RaftNode(a, createStored(), timing, () => 0.5, 0)
  const noop: LogEntry = { index: 2, term: 2, time: 0, content: { type: 'noop' } }
  const observed: boolean[] = [node.isCurrent]
  receive(node, 10, b, { type: 'append', term: 2, prevIndex: 1, prevTerm: 1, entries: [noop], commit: 1, round: 1 })
  observed.push(node.isCurrent)
  receive(node, 20, b, { type: 'append', term: 2, prevIndex: 2, prevTerm: 2, entries: [], commit: 2, round: 2 })
  observed.push(node.isCurrent)
  node.step({ type: 'tick', at: 2000 })
  observed.push(node.isCurrent)
  assert.deepEqual(observed, [false, false, true, false])
})

function listSent (effects: readonly RaftEffect[], to: ReplicaId): readonly LogEntry[] {
  return effects.flatMap(effect => effect.type === 'send' && effect.to === to && effect.message.type === 'append' ? effect.message.entries : [])
}

function createEntries (count: number, command: string): LogEntry[] {
  return Array.from({ length: count }, (_, i) => ({ index: i + 2, term: 1, time: 0, content: { type: 'command', command } }))
}

test('a new leader sent its snapshot and its whole log to members that had them', () => {
  const node = new RaftNode(a, createStored(createEntries(20, 'x')), timing, () => 0.5, 0)
  const effects = [...node.step({ type: 'tick', at: 1000 }), ...receive(node, 1001, b, { type: 'voteReply', term: 2, pre: true, granted: true }), ...receive(node, 1002, b, { type: 'voteReply', term: 2, pre: false, granted: true })]
  effects.push(...node.step({ type: 'tick', at: 1060 }), ...node.step({ type: 'tick', at: 1120 }))
  assert.equal(node.role, 'leader')
  assert.ok(effects.every(effect => effect.type !== 'send' || effect.message.type !== 'snapshot'))
  assert.deepEqual([...new Set(listSent(effects, c).map(({ content }) => content.type))], ['noop'])
  // One that lacks entries says so, and gets them.
  const sent = listSent(receive(node, 1130, c, { type: 'appendReply', term: 2, ok: false, match: 11, round: 1 }), c)
  assert.equal(sent[0].index, 12)
  assert.equal(sent.at(-1)?.content.type, 'noop')
})

test('a message held up the heartbeats behind it for longer than an election, as the bytes of its entries were not limited', () => {
  const node = new RaftNode(a, createStored(createEntries(20, 'x'.repeat(300_000))), timing, () => 0.5, 0)
  elect(node)
  const sent: number[] = []
  let effects = receive(node, 1010, c, { type: 'appendReply', term: 2, ok: false, match: 1, round: 1 })
  for (let match = 1; match < 22;) {
    const entries = listSent(effects, c)
    assert.ok(entries.length > 0)
    sent.push(entries.reduce((sum, { content }) => sum + (content.type === 'command' ? String(content.command).length : 0), 0))
    match = entries[entries.length - 1].index
    effects = receive(node, 1020, c, { type: 'appendReply', term: 2, ok: true, match, round: 2 })
  }
  assert.ok(Math.max(...sent) <= 2 ** 20, `${Math.max(...sent)} bytes in one message`)
  assert.equal(sent.reduce((sum, bytes) => sum + bytes, 0), 20 * 300_000)
})
