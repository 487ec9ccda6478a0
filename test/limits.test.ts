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
  { name: 'all that are there share', boxes: [box('a', '1'), box('b', '2')], expected: ['a', 'b'] },
  { name: 'a box that died gives its share up', boxes: [box('a', '1'), box('b', '1', true), box('c', '2')], expected: ['a', 'c'] },
  { name: 'a zone that is gone whole keeps its share', boxes: [box('a', '1'), box('b', '2', true), box('c', '2', true)], expected: ['a', 'b', 'c'] }
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

/** Eight boxes, demand told every 10 s, requests at a rate over all boxes by an uneven lot. */
function runBoxes (rate: number, seconds: number, cutAt: number | null): { readonly asked: number, readonly letIn: number } {
  let now = 0
  const boxes = Array.from({ length: 8 }, () => new Limits(() => now))
  const names = boxes.map((_, i) => `b${i}`)
  boxes.forEach((limits, i) => limits.setSharers(names.filter((_, j) => j !== i)))
  let asked = 0
  let letIn = 0
  for (let ms = 0; ms < seconds * 1000; ms++) {
    now = ms
    const isCut = cutAt !== null && ms >= cutAt
    if (ms % 10_000 === 500) {
      boxes.forEach((limits, i) => boxes.forEach((other, j) => {
        if (i !== j && !(isCut && (i < 4) !== (j < 4))) other.note(names[i], limits.demands)
      }))
    }
    for (let due = Math.floor((ms + 1) * rate / 1000) - Math.floor(ms * rate / 1000); due > 0; due--) {
      asked += 1
      // Half of all requests reach the first two boxes.
      const at = asked % 2 === 0 ? asked / 2 % 2 : Math.floor(asked / 2) % 8
      if (boxes[at].enter(workspace, 1).type === 'over') continue
      letIn += 1
      boxes[at].leave(workspace.name, 0)
    }
  }
  return { asked, letIn }
}

const overshoot = 0.15
const wrongly = 0.05

test('a workspace over its limit is held to it over all boxes, within 15%', () => {
  const { letIn } = runBoxes(120, 120, null)
  assert.ok(letIn <= 40 * 120 * (1 + overshoot), `${letIn} of ${40 * 120}`)
  assert.ok(letIn >= 40 * 120 * 0.85, `${letIn} of ${40 * 120}`)
})

test('a workspace at half its limit is refused at most one request in twenty', () => {
  const { asked, letIn } = runBoxes(20, 120, null)
  assert.ok(asked - letIn <= asked * wrongly, `${asked - letIn} of ${asked} refused`)
})

test('through a cut both sides together stay within the limit, within 15%', () => {
  const { letIn } = runBoxes(120, 120, 40_000)
  assert.ok(letIn <= 40 * 120 * (1 + overshoot), `${letIn} of ${40 * 120}`)
})

test('a bucket says when to come back, and keeps its word', () => {
  const limit = new WorkspaceLimit()
  const limits = { requestsPerSecond: 2, tokensPerMinute: 1e9, streams: 100 }
  let at = 0
  while (limit.enter(at, limits, 1).type === 'in') at += 1
  const over = limit.enter(at, limits, 1)
  assert.equal(over.type, 'over')
  assert.equal(limit.enter(at + (over as { retryAfterMs: number }).retryAfterMs + 0.001, limits, 1).type, 'in')
})
