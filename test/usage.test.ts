/**
 * Aggregation of usage updates until their counts are settled. Updates may be
 * duplicated, delayed, relayed by several registries, or come from restarted boxes.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { UsageAggregator } from '../src/coordination/index.js'
import type { UsageUpdate } from '../src/coordination/index.js'
import { DayClock } from '../src/runtime/index.js'

const createUpdate = (source: string, window: number, requests: number, through = 0): UsageUpdate => ({ source, through, windows: [[window, [['camp', requests]]]] })

const sums: readonly { name: string, updates: readonly UsageUpdate[], sum: number }[] = [
  { name: 'two boxes', updates: [createUpdate('a', 7, 3), createUpdate('b', 7, 4)], sum: 7 },
  { name: 'a duplicate update', updates: [createUpdate('a', 7, 3), createUpdate('a', 7, 3)], sum: 3 },
  { name: 'an older update after a newer one', updates: [createUpdate('a', 7, 5), createUpdate('a', 7, 3)], sum: 5 },
  { name: 'a restarted box', updates: [createUpdate('a', 7, 5), createUpdate('a of a later start', 7, 2)], sum: 7 },
  { name: 'another window', updates: [createUpdate('a', 7, 5), createUpdate('a', 8, 9)], sum: 5 }
]

for (const { name, updates, sum } of sums) {
  test(`each request counts once: ${name}`, () => {
    // The leader receives all updates through another registry, both incrementally and in full.
    const leader = new UsageAggregator()
    const relay = new UsageAggregator()
    for (const update of updates) {
      relay.note(update, 0)
      for (const relayed of relay.takeUpdates(false)) leader.note(relayed, 0)
    }
    for (const relayed of relay.takeUpdates(true)) leader.note(relayed, 0)
    assert.deepEqual(leader.sum(7), [['camp', sum]])
    assert.deepEqual(relay.sum(7), [['camp', sum]])
  })
}

test('changes are relayed once, complete sources no longer count as behind, and settled windows are dropped', () => {
  const aggregator = new UsageAggregator()
  aggregator.note(createUpdate('a', 7, 3, 8000), 100)
  aggregator.note(createUpdate('b', 7, 3, 9000), 100)
  assert.equal(aggregator.takeUpdates(false).length, 2)
  assert.deepEqual(aggregator.takeUpdates(false), [])
  assert.equal(aggregator.countBehind(8500, 0), 1)
  assert.equal(aggregator.countBehind(8500, 101), 0)
  aggregator.note({ source: 'a', through: 9000, windows: [] }, 200)
  assert.deepEqual(aggregator.takeUpdates(false), [{ source: 'a', through: 9000, windows: [] }])
  assert.equal(aggregator.countBehind(8500, 0), 0)
  aggregator.prune(8, 300)
  assert.deepEqual(aggregator.sum(7), [])
})

const clockCases: readonly { name: string, wall: (monotonicMs: number) => number, at: number, expected: number }[] = [
  { name: 'a correct clock', wall: monotonicMs => 1e12 + monotonicMs, at: 5000, expected: 1e12 + 5000 },
  { name: 'a small correction', wall: monotonicMs => 1e12 + monotonicMs + (monotonicMs >= 5000 ? 60 : 0), at: 5000, expected: 1e12 + 5060 },
  { name: 'a clock just set ahead', wall: monotonicMs => 1e12 + monotonicMs + (monotonicMs >= 3000 ? 4000 : 0), at: 5000, expected: 1e12 + 5000 },
  { name: 'a clock just set back', wall: monotonicMs => 1e12 + monotonicMs - (monotonicMs >= 3000 ? 4000 : 0), at: 5000, expected: 1e12 + 5000 },
  { name: 'a clock set ahead for more than a minute', wall: monotonicMs => 1e12 + monotonicMs + (monotonicMs >= 3000 ? 4000 : 0), at: 70_000, expected: 1e12 + 74_000 }
]

for (const { name, wall, at, expected } of clockCases) {
  test(`the wall-clock time used for windows: ${name}`, () => {
    let monotonicMs = 0
    const clock = new DayClock(() => monotonicMs, () => wall(monotonicMs))
    for (; monotonicMs < at; monotonicMs += 500) clock.read()
    assert.equal(clock.read(), expected)
  })
}
