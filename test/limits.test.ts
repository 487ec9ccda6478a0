import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { WorkspaceLimit, brandId, divideLimit, listSharers } from '../src/core/index.js'
import type { ClassName, LimitSharer, WorkspaceName } from '../src/core/index.js'
import type { Workspace } from '../src/config/index.js'
import { Limits } from '../src/tasks/limits.js'

const workspace: Workspace = {
  name: brandId<WorkspaceName>('w'),
  keys: [],
  defaultClass: brandId<ClassName>('c'),
  requestsPerSecond: 40,
  tokensPerMinute: 1e9,
  streams: 1e9
}

const box = (id: string, zone: string, isGone = false): LimitSharer => ({ id, zone, isGone })

const sharers: { name: string, boxes: LimitSharer[], expected: string[] }[] = [
  { name: 'all running boxes share the limit', boxes: [box('a', '1'), box('b', '2')], expected: ['a', 'b'] },
  { name: 'a failed box gets no share', boxes: [box('a', '1'), box('b', '1', true), box('c', '2')], expected: ['a', 'c'] },
  { name: 'the boxes of a completely failed zone keep their shares', boxes: [box('a', '1'), box('b', '2', true), box('c', '2', true)], expected: ['a', 'b', 'c'] }
]

for (const { name, boxes, expected } of sharers) {
  test(name, () => assert.deepEqual(listSharers(boxes).map(one => one.id), expected))
}

test('the shares of all boxes add up to the limit, whatever their demand', () => {
  fc.assert(fc.property(fc.array(fc.double({ min: 0, max: 1000, noNaN: true }), { minLength: 1, maxLength: 20 }), demands => {
    const shares = demands.map((own, i) => divideLimit(own, demands.filter((_, j) => j !== i)))
    assert.ok(Math.abs(shares.reduce((sum, one) => sum + one, 0) - 1) < 1e-9)
  }), { seed: 3 })
})

/** Simulates eight boxes that exchange demands every 10 s, with unevenly distributed requests at a total rate per second. */
function simulateBoxes (rate: number, seconds: number, partitionAtMs: number | null): { readonly sent: number, readonly admitted: number } {
  let now = 0
  const boxes = Array.from({ length: 8 }, () => new Limits(() => now))
  const names = boxes.map((_, i) => `b${i}`)
  boxes.forEach((limits, i) => limits.setSharers(names.filter((_, j) => j !== i)))
  let sent = 0
  let admitted = 0
  for (let ms = 0; ms < seconds * 1000; ms++) {
    now = ms
    const isPartitioned = partitionAtMs !== null && ms >= partitionAtMs
    if (ms % 10_000 === 500) {
      boxes.forEach((limits, i) => boxes.forEach((other, j) => {
        if (i !== j && !(isPartitioned && (i < 4) !== (j < 4))) other.setDemands(names[i], limits.demands)
      }))
    }
    for (let due = Math.floor((ms + 1) * rate / 1000) - Math.floor(ms * rate / 1000); due > 0; due--) {
      sent += 1
      // Half of all requests go to the first two boxes alone.
      const index = sent % 2 === 0 ? sent / 2 % 2 : Math.floor(sent / 2) % 8
      if (boxes[index].admit(workspace, 1).type === 'over') continue
      admitted += 1
      boxes[index].release(workspace.name, 0)
    }
  }
  return { sent, admitted }
}

const maxOvershoot = 0.15
const maxFalseRefusals = 0.05

test('a workspace over its limit is limited to it across all boxes, within 15%', () => {
  const { admitted } = simulateBoxes(120, 120, null)
  assert.ok(admitted <= 40 * 120 * (1 + maxOvershoot), `${admitted} of ${40 * 120}`)
  assert.ok(admitted >= 40 * 120 * 0.85, `${admitted} of ${40 * 120}`)
})

test('a workspace at half its limit has at most 5% of its requests refused', () => {
  const { sent, admitted } = simulateBoxes(20, 120, null)
  assert.ok(sent - admitted <= sent * maxFalseRefusals, `${sent - admitted} of ${sent} refused`)
})

test('during a network partition both sides together stay within the limit, within 15%', () => {
  const { admitted } = simulateBoxes(120, 120, 40_000)
  assert.ok(admitted <= 40 * 120 * (1 + maxOvershoot), `${admitted} of ${40 * 120}`)
})

test('a request is admitted after the stated retry delay', () => {
  const limit = new WorkspaceLimit()
  const limits = { requestsPerSecond: 2, tokensPerMinute: 1e9, streams: 100 }
  let at = 0
  while (limit.admit(at, limits, 1).type === 'in') at += 1
  const over = limit.admit(at, limits, 1)
  assert.equal(over.type, 'over')
  assert.equal(limit.admit(at + (over as { retryAfterMs: number }).retryAfterMs + 0.001, limits, 1).type, 'in')
})
