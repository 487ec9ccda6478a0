import assert from 'node:assert/strict'
import { test } from 'node:test'
import { formatMistake, gatewayFields, parseToml } from '../src/config/index.js'
import { chooseDropped, computeBudgetBytes, decidePlainAnswer, mayReceive } from '../src/core/index.js'
import type { HeldAnswer } from '../src/core/index.js'

const mb = 2 ** 20
const budgetBytes = 64 * mb

interface Case {
  readonly name: string
  /** Megabytes held, idle time and longest earlier idle time, by name. */
  readonly answers: Readonly<Record<string, readonly [heldMb: number, idleMs: number | null, longestIdleMs?: number]>>
  readonly unreadMs?: number
  readonly dropped: string | null
}

const cases: readonly Case[] = [
  { name: 'nothing is ended within the budget', answers: { a: [60, 60_000] }, dropped: null },
  { name: 'a caller that reads is not ended for others, whatever it holds', answers: { a: [60, 0], b: [20, 700] }, unreadMs: 5000, dropped: null },
  { name: 'the most bytes among callers that stalled at the same time', answers: { a: [12, 6000], b: [40, 6000], c: [20, 0] }, dropped: 'b' },
  { name: 'the longest idle among callers with as many bytes', answers: { a: [30, 4000], b: [30, 6000], c: [30, 5000] }, dropped: 'b' },
  { name: 'much held for a while before little held for long', answers: { a: [1, 20_000], b: [70, 4000] }, dropped: 'b' },
  { name: 'a short pause is no stall while endpoints are read', answers: { a: [70, 2000] }, dropped: null },
  { name: 'a pause of 1 s is a stall once an endpoint has been left unread', answers: { a: [70, 1000] }, unreadMs: 400, dropped: 'a' },
  { name: 'a caller that pauses as it did before and read on then', answers: { a: [70, 3500, 2000], b: [1, 3000] }, dropped: 'b' },
  { name: 'a caller that pauses far longer than before', answers: { a: [70, 4000, 2000] }, dropped: 'a' },
  { name: 'a caller that once made a very long pause', answers: { a: [70, 8000, 30_000] }, dropped: 'a' },
  { name: 'answers that can only be relayed whole wait while others are read', answers: { a: [50, null], b: [20, 100] }, unreadMs: 5000, dropped: null },
  { name: 'the largest of answers that can only be relayed whole, if nobody can free any bytes', answers: { a: [30, null], b: [40, null], c: [0, 5000] }, dropped: 'b' }
]

for (const { name, answers, unreadMs = 0, dropped } of cases) {
  test(`answers over the budget: ${name}`, () => {
    const held: (HeldAnswer & { id: string })[] = Object.entries(answers).map(([id, [heldMb, idleMs, longestIdleMs = 0]]) => ({ id, heldBytes: heldMb * mb, idleMs, longestIdleMs }))
    const totalBytes = held.reduce((sum, { heldBytes }) => sum + heldBytes, 0)
    assert.equal(chooseDropped(held, { totalBytes, budgetBytes, unreadMs })?.id ?? null, dropped)
  })
}

// Guards against memory that grows from 75 to 245 MB while four callers a second stall for 6 s over four gateways.
test('callers that stall one a second are ended late and one by one, and never beside a steady reader', () => {
  const answers: { arrivedAt: number, heldBytes: number, idleMs: number | null, longestIdleMs: number }[] = [{ arrivedAt: 0, heldBytes: 10 * mb, idleMs: 0, longestIdleMs: 900 }]
  const [reader] = answers
  let most = 0
  for (let at = 0; at < 30_000; at += 40) {
    if (at % 1000 === 0) answers.push({ arrivedAt: at, heldBytes: 0, idleMs: 0, longestIdleMs: 0 })
    reader.idleMs = at % 900
    for (const answer of answers.slice(1)) Object.assign(answer, { idleMs: at - answer.arrivedAt, heldBytes: Math.min(12 * mb, (at - answer.arrivedAt) * mb / 50) })
    const total = (): number => answers.reduce((sum, { heldBytes }) => sum + heldBytes, 0)
    for (let dropped = chooseDropped(answers, { totalBytes: total(), budgetBytes, unreadMs: 0 }); dropped !== null; dropped = chooseDropped(answers, { totalBytes: total(), budgetBytes, unreadMs: 0 })) {
      assert.notEqual(dropped, reader)
      assert.ok((dropped.idleMs ?? 0) >= 4000)
      answers.splice(answers.indexOf(dropped), 1)
    }
    most = Math.max(most, total())
  }
  assert.ok(most <= budgetBytes, String(most / mb))
})

test('a box reads on for callers that keep up, and for others within the budget', () => {
  const reads = ([[0, 0, 70], [0.05, 0, 70], [0.2, 0, 70], [0.2, null, 70], [1, null, 70], [1, 0, 64]] as const).map(([heldMb, idleMs, totalMb]) => mayReceive({ heldBytes: heldMb * mb, idleMs }, { totalBytes: totalMb * mb, budgetBytes }))
  assert.deepEqual(reads, [true, true, false, true, false, true])
})

test('a plain answer is relayed early only if it has a length and is large', () => {
  const steps = ([[200, 12_000], [300, 12_000], [70_000, 90_000], [300, null], [70_000, null]] as const).map(([received, length]) => decidePlainAnswer(received * 1024, length === null ? null : length * 1024))
  assert.deepEqual(steps, ['hold', 'relay', 'relay', 'hold', 'too-large'])
})

test('the default budget is a quarter of the memory of the box', () => {
  assert.deepEqual([computeBudgetBytes(null, null), computeBudgetBytes(null, 210), computeBudgetBytes(7, 210)], [64 * mb, 52.5 * mb, 7 * mb])
})

const settings: readonly (readonly [lines: string, mistake: string | null])[] = [
  ['budgetMb = 105', null],
  ['budgetMb = 106', 'f:6: answers.budgetMb: found 106; allowed: a whole number from 1 to 105 (MB)'],
  ['budgetMb = 0', 'f:6: answers.budgetMb: found 0; allowed: a whole number from 1 to 105 (MB)'],
  ['budgetMb = 9\nbudget = 1', 'f:7: answers.budget: found an unknown key; allowed: did you mean "budgetMb"?']
]

for (const [lines, mistake] of settings) {
  test(`a box of 210 MB with ${lines.replace('\n', ', ')}`, () => {
    const parsed = parseToml(`[box]\ncpuShare = 1\nmemoryMb = 210\nlinkMbps = 10\n[answers]\n${lines}`, gatewayFields)
    const mistakes = parsed.ok ? [] : parsed.mistakes.map(one => formatMistake('f', one)).filter(line => line.includes('answers'))
    assert.deepEqual(mistakes, mistake === null ? [] : [mistake])
  })
}
