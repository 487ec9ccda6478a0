import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ClaimTable } from '../src/coordination/index.js'
import type { ClaimCommand, ClaimKey, ClaimResult, StoredAnswer } from '../src/coordination/index.js'

const bounds = { retentionMs: 10_000, maxTotalAnswerBytes: 200, maxAnswerBytes: 100 }
const key: ClaimKey = { workspace: 'w', service: 's', key: 'k' }
const answer = (size = 10): StoredAnswer => ({ status: 200, contentType: 'text/plain', body: Buffer.alloc(size, 1) })
const claim = (attempt: string, digest = 'd', of = key): ClaimCommand => ({ type: 'claim', key: of, digest, attempt, ttlMs: 1000 })
const settle = (attempt: string, given: StoredAnswer | null = answer(), of = key): ClaimCommand => ({ type: 'settle', key: of, attempt, answer: given })
const withdraw = (attempt: string): ClaimCommand => ({ type: 'withdraw', key, attempt })

/** Commands with their agreed time and the result of each. */
const cases: { name: string, steps: (readonly [ClaimCommand, number, ClaimResult['type']])[] }[] = [
  { name: 'the first attempt runs, others wait', steps: [[claim('a'), 0, 'granted'], [claim('b'), 1, 'in-progress']] },
  { name: 'the same attempt, asking again, is granted again', steps: [[claim('a'), 0, 'granted'], [claim('a'), 1, 'granted']] },
  { name: 'another body is told apart', steps: [[claim('a'), 0, 'granted'], [claim('b', 'other'), 1, 'other-body']] },
  { name: 'a settled call gives its answer', steps: [[claim('a'), 0, 'granted'], [settle('a'), 1, 'settled'], [claim('b'), 2, 'answered']] },
  { name: 'a failed call stays unknown', steps: [[claim('a'), 0, 'granted'], [settle('a', null), 1, 'settled'], [claim('b'), 2, 'unknown'], [claim('c'), 3, 'unknown']] },
  { name: 'a claim whose box died becomes unknown', steps: [[claim('a'), 0, 'granted'], [claim('b'), 1000, 'unknown'], [settle('a'), 1001, 'unknown']] },
  { name: 'a withdrawn claim frees the key', steps: [[claim('a'), 0, 'granted'], [withdraw('a'), 1, 'withdrawn'], [claim('b'), 2, 'granted']] },
  { name: 'a withdrawal that overtakes its claim still holds', steps: [[withdraw('a'), 0, 'withdrawn'], [claim('a'), 1, 'withdrawn'], [claim('b'), 2, 'granted']] },
  { name: 'a withdrawal of another attempt frees nothing', steps: [[claim('a'), 0, 'granted'], [withdraw('b'), 1, 'withdrawn'], [claim('c'), 2, 'in-progress']] },
  { name: 'an answer that is too large is not kept, and known to have run', steps: [[claim('a'), 0, 'granted'], [settle('a', answer(101)), 1, 'settled'], [claim('b'), 2, 'answer-dropped']] },
  { name: 'a finished claim is forgotten after its time', steps: [[claim('a'), 0, 'granted'], [settle('a'), 1, 'settled'], [claim('b'), 10_002, 'granted']] }
]

for (const { name, steps } of cases) {
  test(name, () => {
    const table = new ClaimTable(bounds)
    for (const [command, now, type] of steps) assert.equal(table.apply(command, now).type, type, JSON.stringify(command))
  })
}

test('stored answers are bounded, the oldest lose their bodies first', () => {
  const table = new ClaimTable(bounds)
  const keyed = (name: string): ClaimKey => ({ ...key, key: name })
  for (const name of ['1', '2', '3']) {
    table.apply(claim(name, 'd', keyed(name)), 0)
    table.apply(settle(name, answer(90), keyed(name)), 1)
  }
  assert.equal(table.answerBytes, 180)
  assert.equal(table.apply(claim('x', 'd', keyed('1')), 2).type, 'answer-dropped')
  assert.equal(table.apply(claim('x', 'd', keyed('3')), 2).type, 'answered')
})

/** The naive form: a list of everything that was ever asked, searched anew each time. */
class NaiveClaims {
  #log: { command: ClaimCommand, at: number, result: string }[] = []

  apply (command: ClaimCommand, at: number): string {
    const result = this.#decide(command, at)
    this.#log.push({ command, at, result })
    return result
  }

  #decide (command: ClaimCommand, at: number): string {
    const withdrawn = (attempt: string): boolean => this.#log.some(one => one.command.type === 'withdraw' && one.command.attempt === attempt)
    if (command.type === 'withdraw') return 'withdrawn'
    const grant = this.#log.findLast(one => one.command.type === 'claim' && one.result === 'granted' && !this.#isFreed(one.command.attempt))
    const first = grant === undefined ? undefined : this.#log.find(one => one.command.type === 'claim' && one.result === 'granted' && one.command.attempt === grant.command.attempt)
    const isUnknown = this.#log.some(one => one.command.type === 'claim' && one.result === 'unknown')
    const settled = this.#log.find(one => one.command.type === 'settle' && one.result === 'settled')
    if (command.type === 'settle') {
      const isOpen = first !== undefined && first.command.attempt === command.attempt && settled === undefined && !isUnknown
      return isOpen ? 'settled' : 'unknown'
    }
    if (withdrawn(command.attempt)) return 'withdrawn'
    if (first === undefined) return 'granted'
    if ((first.command as { digest: string }).digest !== command.digest) return 'other-body'
    if (settled !== undefined) return (settled.command as { answer: unknown }).answer === null ? 'unknown' : 'answered'
    if (isUnknown || at >= first.at + 1000) return 'unknown'
    return first.command.attempt === command.attempt ? 'granted' : 'in-progress'
  }

  // A withdrawal frees the key unless the call had come to its end before.
  #isFreed (attempt: string): boolean {
    const end = this.#log.findIndex(one => one.result === 'settled' || (one.command.type === 'claim' && one.result === 'unknown'))
    const at = this.#log.findIndex(one => one.command.type === 'withdraw' && one.command.attempt === attempt)
    return at >= 0 && (end < 0 || at < end)
  }
}

test('the table agrees with a naive one on any history, and a snapshot changes nothing', () => {
  const attempt = fc.constantFrom('a', 'b', 'c')
  const command = fc.oneof(
    fc.record({ type: fc.constant('claim' as const), key: fc.constant(key), digest: fc.constantFrom('d', 'e'), attempt, ttlMs: fc.constant(1000) }),
    fc.record({ type: fc.constant('withdraw' as const), key: fc.constant(key), attempt }),
    fc.record({ type: fc.constant('settle' as const), key: fc.constant(key), attempt, answer: fc.constantFrom(null, answer()) })
  )
  const history = fc.array(fc.tuple(command, fc.integer({ min: 0, max: 400 }), fc.boolean()), { maxLength: 20 })
  fc.assert(fc.property(history, steps => {
    let table = new ClaimTable(bounds)
    const naive = new NaiveClaims()
    let now = 0
    let granted = new Set<string>()
    for (const [one, passed, snapshot] of steps) {
      now += passed
      if (now > bounds.retentionMs) return
      if (snapshot) table = new ClaimTable(bounds, table.save())
      const result = table.apply(one, now).type
      if (one.type === 'withdraw') granted = new Set([...granted].filter(name => name !== one.attempt))
      if (one.type === 'claim' && result === 'granted') granted.add(one.attempt)
      assert.equal(result, naive.apply(one, now))
      // At most one attempt at a time may run.
      assert.ok(granted.size <= 1)
    }
  }), { seed: 7, numRuns: 2000 })
})
