import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { SharedRetryBudget } from '../src/core/index.js'

test('the retries of all boxes together stay within the budget in every window', () => {
  const bounds = { ratio: 0.2, extra: 58, windowMs: 10_000 }
  const step = fc.record({ box: fc.integer({ min: 0, max: 8 }), wait: fc.integer({ min: 0, max: 60 }), retries: fc.integer({ min: 0, max: 3 }) })
  fc.assert(fc.property(fc.array(step, { minLength: 200, maxLength: 600 }), steps => {
    const budgets = Array.from({ length: 9 }, () => new SharedRetryBudget(bounds))
    const events: { at: number, repeat: boolean }[] = []
    let at = 0
    for (const { box, wait, retries } of steps) {
      at += wait
      budgets[box].noteRequest(at)
      events.push({ at, repeat: false })
      for (let i = 0; i < retries; i++) if (budgets[box].tryConsume(at, 9)) events.push({ at, repeat: true })
    }
    for (const { at: end } of events) {
      const window = events.filter(one => one.at > end - bounds.windowMs && one.at <= end)
      const repeats = window.filter(one => one.repeat).length
      assert.ok(repeats <= bounds.ratio * (window.length - repeats) + bounds.extra, `${repeats} of ${window.length}`)
    }
  }), { numRuns: 30 })
})
