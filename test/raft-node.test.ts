import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RaftNode } from '../src/coordination/index.js'
import type { LogEntry, Members, RaftEffect, RaftMessage, ReplicaId, StoredLog } from '../src/coordination/index.js'

const [a, b, c, d] = ['a#1', 'b#1', 'c#1', 'd#1'] as ReplicaId[]
const members: Members = { voters: [a, b, c], learners: [] }
const timing = { heartbeatMs: 50, electionMs: 300 }

function stored (entries: readonly LogEntry[] = []): StoredLog {
  return { hard: { term: 1, vote: null }, snapshot: { index: 1, term: 1, time: 0, members, state: null }, entries }
}

function receive (node: RaftNode, at: number, from: ReplicaId, message: RaftMessage): RaftEffect[] {
  return node.step({ type: 'receive', at, from, message })
}

/** Makes a node lead term 2 with b's votes; its first entry is the last of its log. */
function elect (node: RaftNode): void {
  node.step({ type: 'tick', at: 1000 })
  receive(node, 1001, b, { type: 'voteReply', term: 2, pre: true, granted: true })
  receive(node, 1002, b, { type: 'voteReply', term: 2, pre: false, granted: true })
  assert.equal(node.role, 'leader')
}

function acknowledge (node: RaftNode, at: number, from: ReplicaId, match: number): void {
  receive(node, at, from, { type: 'appendReply', term: 2, ok: true, match, round: 1 })
}

/** The round of the last heartbeat to a member. */
function findRound (effects: readonly RaftEffect[], to: ReplicaId): number | undefined {
  const rounds = effects.map(effect => effect.type === 'send' && effect.to === to && 'round' in effect.message ? effect.message.round : undefined)
  return rounds.findLast(round => round !== undefined)
}

function findFault (effects: readonly RaftEffect[]): string | undefined {
  const rejected = effects.find(effect => effect.type === 'rejected')
  return rejected?.type === 'rejected' ? rejected.fault : undefined
}

test('an entry of an older term is not committed by counting, only under one of the own term', () => {
  const old: LogEntry = { index: 2, term: 1, time: 0, content: { type: 'command', command: 'x' } }
  const node = new RaftNode(a, stored([old]), timing, () => 0.5, 0)
  elect(node)
  node.step({ type: 'synced', at: 1003, index: 3, term: 2 })
  acknowledge(node, 1004, b, 2)
  assert.equal(node.commitIndex, 1)
  acknowledge(node, 1005, b, 3)
  assert.equal(node.commitIndex, 3)
})

test('a leader counts itself only once its disk has the entry', () => {
  const node = new RaftNode(a, stored(), timing, () => 0.5, 0)
  elect(node)
  acknowledge(node, 1003, b, 2)
  assert.equal(node.commitIndex, 1)
  node.step({ type: 'synced', at: 1004, index: 2, term: 2 })
  assert.equal(node.commitIndex, 2)
})

/** A change of members that is asked for, and why it is turned away. */
const changes: { name: string, prepare: (node: RaftNode) => void, wanted: Members, fault: string | undefined }[] = [
  { name: 'before the leader has committed in its term', prepare: () => {}, wanted: { voters: [a, b, c], learners: [d] }, fault: 'not-ready' },
  { name: 'of one learner', prepare: settle, wanted: { voters: [a, b, c], learners: [d] }, fault: undefined },
  { name: 'while another is under way', prepare: node => { settle(node); change(node, { voters: [a, b, c], learners: [d] }) }, wanted: { voters: [a, b], learners: [] }, fault: 'change-in-progress' },
  { name: 'of two voters at once', prepare: settle, wanted: { voters: [a], learners: [] }, fault: 'not-one-change' },
  { name: 'to a voter that has not caught up', prepare: settle, wanted: { voters: [a, b, c, d], learners: [] }, fault: 'not-caught-up' }
]

function settle (node: RaftNode): void {
  node.step({ type: 'synced', at: 1003, index: 2, term: 2 })
  acknowledge(node, 1004, b, 2)
}

function change (node: RaftNode, wanted: Members): RaftEffect[] {
  return node.step({ type: 'changeMembers', at: 1005, wall: 0, proposal: 1, members: wanted })
}

for (const { name, prepare, wanted, fault } of changes) {
  test(`a change of members ${name} is ${fault === undefined ? 'taken' : 'turned away'}`, () => {
    const node = new RaftNode(a, stored(), timing, () => 0.5, 0)
    elect(node)
    prepare(node)
    assert.equal(findFault(change(node, wanted)), fault)
  })
}

test('a leader that hears from no quorum steps down and answers no read', () => {
  const node = new RaftNode(a, stored(), timing, () => 0.5, 0)
  elect(node)
  settle(node)
  node.step({ type: 'tick', at: 1100 })
  // Stopped for an hour: its first tick after that must not act as leader.
  node.step({ type: 'tick', at: 3_601_100 })
  assert.equal(node.role, 'follower')
  assert.ok(node.step({ type: 'read', at: 3_601_101, read: 1 }).some(effect => effect.type === 'readFailed'))
  assert.equal(findFault(node.step({ type: 'propose', at: 3_601_102, wall: 0, proposal: 2, command: 'x' })), 'not-leader')
})

/** Bytes don't come sooner for being sent again: how often a silent member may be sent the same in ten seconds, and what it needs. */
const silentMembers: readonly { readonly name: string, readonly first: StoredLog, readonly match: number }[] = [
  { name: 'entries', first: stored(), match: 2 },
  { name: 'a snapshot', first: { hard: { term: 1, vote: null }, snapshot: { index: 9, term: 1, time: 0, members, state: 'large' }, entries: [] }, match: 10 }
]

for (const { name, first, match } of silentMembers) {
  test(`a member that says nothing is sent ${name} less and less often, and at once when it lacks them and is back`, () => {
    const node = new RaftNode(a, first, timing, () => 0.5, 0)
    elect(node)
    const isBulk = (effect: RaftEffect): boolean => effect.type === 'send' && effect.to === c && (effect.message.type === 'snapshot' || (effect.message.type === 'append' && effect.message.entries.length > 0))
    // A member with an empty disk: what it lacks lies before the log where there is a snapshot.
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
    const back = receive(node, 11_100, c, { type: 'appendReply', term: 2, ok: false, match: 1, round })
    const next = [...back, ...Array.from({ length: 16 }, (_, i) => node.step({ type: 'tick', at: 11_110 + 50 * i })).flat()]
    assert.ok(next.some(isBulk), 'sent when it is back')
  })
}

/** A member that answers each heartbeat and lacks a snapshot: which heartbeat it answers, and how often it is sent the snapshot in ten seconds. */
const answering: readonly { readonly name: string, readonly answered: (round: number, first: number) => number, readonly least: number, readonly most: number }[] = [
  { name: 'those after the snapshot, which was lost', answered: round => round, least: 15, most: 20 },
  { name: 'those before the snapshot, which is still on its way', answered: (_, first) => first, least: 2, most: 6 }
]

for (const { name, answered, least, most } of answering) {
  test(`a member that lacks a snapshot and answers ${name}, is sent it ${least} to ${most} times in ten seconds`, () => {
    const node = new RaftNode(a, { hard: { term: 1, vote: null }, snapshot: { index: 9, term: 1, time: 0, members, state: 'large' }, entries: [] }, timing, () => 0.5, 0)
    elect(node)
    const first = findRound(node.step({ type: 'tick', at: 1050 }), c) ?? 0
    let sent = 0
    for (let at = 1100; at <= 11_000; at += 50) {
      const effects = node.step({ type: 'tick', at })
      const round = findRound(effects, c) ?? first
      const answers = receive(node, at + 1, c, { type: 'appendReply', term: 2, ok: false, match: 0, round: answered(round, first) })
      sent += [...effects, ...answers].filter(effect => effect.type === 'send' && effect.to === c && effect.message.type === 'snapshot').length
      acknowledge(node, at + 2, b, 10)
    }
    assert.ok(sent >= least && sent <= most, `${sent} times`)
  })
}

// After a loss of power nobody leads, and what was accepted isn't known to be committed until somebody does: gateways wait for
// that. A leader that lives is not disturbed, as its followers refuse.
const firstTries: { name: string, at: number, hasHeard: boolean, tries: boolean }[] = [
  { name: 'a replica that heard no leader since it started', at: 150, hasHeard: false, tries: true },
  { name: 'the same, too soon after its start', at: 90, hasHeard: false, tries: false },
  { name: 'a replica that has heard one', at: 150, hasHeard: true, tries: false },
  { name: 'a replica that has heard one, which is silent now', at: 520, hasHeard: true, tries: true }
]

for (const { name, at, hasHeard, tries } of firstTries) {
  test(`an election is ${tries ? '' : 'not '}tried after ${at} ms by ${name}`, () => {
    const node = new RaftNode(a, stored(), timing, () => 0.5, 0)
    if (hasHeard) receive(node, 50, b, { type: 'append', term: 1, prevIndex: 1, prevTerm: 1, entries: [], commit: 1, round: 1 })
    const effects = node.step({ type: 'tick', at })
    assert.equal(effects.some(effect => effect.type === 'send' && effect.message.type === 'vote'), tries)
  })
}

test('a replica is current once it has applied an entry of its leader\'s own term, and no more once it knows no leader', () => {
  const node = new RaftNode(a, stored(), timing, () => 0.5, 0)
  const noop: LogEntry = { index: 2, term: 2, time: 0, content: { type: 'noop' } }
  const known: boolean[] = [node.isCurrent]
  receive(node, 10, b, { type: 'append', term: 2, prevIndex: 1, prevTerm: 1, entries: [noop], commit: 1, round: 1 })
  known.push(node.isCurrent)
  receive(node, 20, b, { type: 'append', term: 2, prevIndex: 2, prevTerm: 2, entries: [], commit: 2, round: 2 })
  known.push(node.isCurrent)
  node.step({ type: 'tick', at: 2000 })
  known.push(node.isCurrent)
  assert.deepEqual(known, [false, false, true, false])
})
