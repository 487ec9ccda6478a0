import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ClaimTable } from '../src/coordination/index.js'
import type { ClaimCommand, ClaimKey, ClaimResult, StoredAnswer } from '../src/coordination/index.js'

const bounds = { retentionMs: 10_000, maxTotalAnswerBytes: 200, maxAnswerBytes: 100 }
const key: ClaimKey = { workspace: 'w', service: 's', key: 'k' }
const createAnswer = (size = 10): StoredAnswer => ({ status: 200, contentType: 'text/plain', body: Buffer.alloc(size, 1) })
const createClaim = (attempt: string, digest = 'd', claimKey = key): ClaimCommand => ({ type: 'claim', key: claimKey, digest, attempt, ttlMs: 1000 })
const createSettle = (attempt: string, answer: StoredAnswer | null = createAnswer(), claimKey = key): ClaimCommand => ({ type: 'settle', key: claimKey, attempt, answer })
const createWithdraw = (attempt: string): ClaimCommand => ({ type: 'withdraw', key, attempt })

/** Each step is a command, its log time and the expected result. */
const cases: { name: string, steps: (readonly [ClaimCommand, number, ClaimResult['type']])[] }[] = [
  { name: 'the first attempt is granted, others are in progress', steps: [[createClaim('a'), 0, 'granted'], [createClaim('b'), 1, 'in-progress']] },
  { name: 'the same attempt is granted again when it retries', steps: [[createClaim('a'), 0, 'granted'], [createClaim('a'), 1, 'granted']] },
  { name: 'a different body under the same key is rejected', steps: [[createClaim('a'), 0, 'granted'], [createClaim('b', 'other'), 1, 'other-body']] },
  { name: 'a settled call returns its stored answer', steps: [[createClaim('a'), 0, 'granted'], [createSettle('a'), 1, 'settled'], [createClaim('b'), 2, 'answered']] },
  { name: 'a call settled without an answer stays unknown', steps: [[createClaim('a'), 0, 'granted'], [createSettle('a', null), 1, 'settled'], [createClaim('b'), 2, 'unknown'], [createClaim('c'), 3, 'unknown']] },
  { name: 'a claim that is not settled within its TTL becomes unknown', steps: [[createClaim('a'), 0, 'granted'], [createClaim('b'), 1000, 'unknown'], [createSettle('a'), 1001, 'unknown']] },
  { name: 'withdrawing a claim releases the key', steps: [[createClaim('a'), 0, 'granted'], [createWithdraw('a'), 1, 'withdrawn'], [createClaim('b'), 2, 'granted']] },
  { name: 'a withdrawal that arrives before its claim still takes effect', steps: [[createWithdraw('a'), 0, 'withdrawn'], [createClaim('a'), 1, 'withdrawn'], [createClaim('b'), 2, 'granted']] },
  { name: 'a withdrawal by another attempt does not release the key', steps: [[createClaim('a'), 0, 'granted'], [createWithdraw('b'), 1, 'withdrawn'], [createClaim('c'), 2, 'in-progress']] },
  { name: 'an answer over the size limit is dropped, but the call is known to have run', steps: [[createClaim('a'), 0, 'granted'], [createSettle('a', createAnswer(101)), 1, 'settled'], [createClaim('b'), 2, 'answer-dropped']] },
  { name: 'a finished claim expires after the retention time', steps: [[createClaim('a'), 0, 'granted'], [createSettle('a'), 1, 'settled'], [createClaim('b'), 10_002, 'granted']] }
]

for (const { name, steps } of cases) {
  test(name, () => {
    const table = new ClaimTable(bounds)
    for (const [command, now, type] of steps) assert.equal(table.apply(command, now).type, type, JSON.stringify(command))
  })
}

test('the total size of stored answers is bounded and the oldest are evicted first', () => {
  const table = new ClaimTable(bounds)
  const createKey = (name: string): ClaimKey => ({ ...key, key: name })
  for (const name of ['1', '2', '3']) {
    table.apply(createClaim(name, 'd', createKey(name)), 0)
    table.apply(createSettle(name, createAnswer(90), createKey(name)), 1)
  }
  assert.equal(table.answerBytes, 180)
  assert.equal(table.apply(createClaim('x', 'd', createKey('1')), 2).type, 'answer-dropped')
  assert.equal(table.apply(createClaim('x', 'd', createKey('3')), 2).type, 'answered')
})

/** Reference model: keeps the complete command history and searches it for each decision. */
class ReferenceClaims {
  #history: { command: ClaimCommand, at: number, result: string }[] = []

  apply (command: ClaimCommand, at: number): string {
    const result = this.#decide(command, at)
    this.#history.push({ command, at, result })
    return result
  }

  #decide (command: ClaimCommand, at: number): string {
    const isWithdrawn = (attempt: string): boolean => this.#history.some(one => one.command.type === 'withdraw' && one.command.attempt === attempt)
    if (command.type === 'withdraw') return 'withdrawn'
    const grant = this.#history.findLast(one => one.command.type === 'claim' && one.result === 'granted' && !this.#isWithdrawnBeforeEnd(one.command.attempt))
    const first = grant === undefined ? undefined : this.#history.find(one => one.command.type === 'claim' && one.result === 'granted' && one.command.attempt === grant.command.attempt)
    const isUnknown = this.#history.some(one => one.command.type === 'claim' && one.result === 'unknown')
    const settled = this.#history.find(one => one.command.type === 'settle' && one.result === 'settled')
    if (command.type === 'settle') {
      const isOpen = first !== undefined && first.command.attempt === command.attempt && settled === undefined && !isUnknown
      return isOpen ? 'settled' : 'unknown'
    }
    if (isWithdrawn(command.attempt)) return 'withdrawn'
    if (first === undefined) return 'granted'
    if ((first.command as { digest: string }).digest !== command.digest) return 'other-body'
    if (settled !== undefined) return (settled.command as { answer: unknown }).answer === null ? 'unknown' : 'answered'
    if (isUnknown || at >= first.at + 1000) return 'unknown'
    return first.command.attempt === command.attempt ? 'granted' : 'in-progress'
  }

  // A withdrawal releases the key unless the call ended before it.
  #isWithdrawnBeforeEnd (attempt: string): boolean {
    const end = this.#history.findIndex(one => one.result === 'settled' || (one.command.type === 'claim' && one.result === 'unknown'))
    const at = this.#history.findIndex(one => one.command.type === 'withdraw' && one.command.attempt === attempt)
    return at >= 0 && (end < 0 || at < end)
  }
}

test('the table matches the reference model on any history, also across snapshots', () => {
  const attempt = fc.constantFrom('a', 'b', 'c')
  const command = fc.oneof(
    fc.record({ type: fc.constant('claim' as const), key: fc.constant(key), digest: fc.constantFrom('d', 'e'), attempt, ttlMs: fc.constant(1000) }),
    fc.record({ type: fc.constant('withdraw' as const), key: fc.constant(key), attempt }),
    fc.record({ type: fc.constant('settle' as const), key: fc.constant(key), attempt, answer: fc.constantFrom(null, createAnswer()) })
  )
  const history = fc.array(fc.tuple(command, fc.integer({ min: 0, max: 400 }), fc.boolean()), { maxLength: 20 })
  fc.assert(fc.property(history, steps => {
    let table = new ClaimTable(bounds)
    const reference = new ReferenceClaims()
    let now = 0
    let granted = new Set<string>()
    for (const [step, elapsedMs, restoresSnapshot] of steps) {
      now += elapsedMs
      if (now > bounds.retentionMs) return
      if (restoresSnapshot) table = new ClaimTable(bounds, table.save())
      const result = table.apply(step, now).type
      if (step.type === 'withdraw') granted = new Set([...granted].filter(name => name !== step.attempt))
      if (step.type === 'claim' && result === 'granted') granted.add(step.attempt)
      assert.equal(result, reference.apply(step, now))
      // At most one attempt may run at a time.
      assert.ok(granted.size <= 1)
    }
  }), { seed: 7, numRuns: 2000 })
})
