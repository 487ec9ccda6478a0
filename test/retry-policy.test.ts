import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Route } from '../src/core/index.js'
import { brandId, lookUpError } from '../src/core/index.js'
import { RetryPolicy } from '../src/gateway/index.js'
import type { NextStep, SendOutcome } from '../src/gateway/index.js'

function createRoute (more: Partial<Route>): Route {
  return { name: brandId('r'), host: 'h', prefix: '/', kind: 'once', timeoutMs: 1000, targetMs: 100, pauseMs: null, priority: 0, services: [], mostAttempts: 2, isPublic: false, resumable: false, ...more }
}

const once = createRoute({ kind: 'once' })
const again = createRoute({ kind: 'repeatable' })
const events = createRoute({ kind: 'events' })
const resumable = createRoute({ kind: 'events', resumable: true })
const unreachable: SendOutcome = { type: 'broke', failure: 'unreachable', reason: 'refused' }
const broken: SendOutcome = { type: 'broke', failure: 'broken', reason: 'reset' }
const full: SendOutcome = { type: 'not-run', isMisdirected: false, availableInMs: 0 }
const other: SendOutcome = { type: 'not-run', isMisdirected: true, availableInMs: 0 }
const failed: SendOutcome = { type: 'failed' }
const none: SendOutcome = { type: 'unplaced', why: 'none-usable' }
const late: SendOutcome = { type: 'given-up', wasWritten: true }
const unsent: SendOutcome = { type: 'given-up', wasWritten: false }

/** The step after each outcome: another send, passing on the endpoint's answer, or an error of this kind. */
const cases: readonly { readonly name: string, readonly route: Route, readonly outcomes: readonly SendOutcome[], readonly steps: readonly string[], readonly retries?: number }[] = [
  { name: 'nobody reached, nothing may run twice', route: once, outcomes: [unreachable, unreachable], steps: ['send', 'send'] },
  { name: 'nobody reached four times', route: once, outcomes: [unreachable, unreachable, unreachable, unreachable], steps: ['send', 'send', 'send', 'no-engine'] },
  { name: 'a broken send that may not be repeated', route: once, outcomes: [broken], steps: ['engine-failed'] },
  { name: 'a broken send that may be', route: again, outcomes: [broken, broken], steps: ['send', 'engine-failed'] },
  { name: 'a broken stream that can\'t be continued', route: events, outcomes: [broken], steps: ['engine-failed'] },
  { name: 'a broken stream that can', route: resumable, outcomes: [broken], steps: ['send'] },
  { name: 'full, then full again', route: once, outcomes: [full, full], steps: ['send', 'overloaded'] },
  { name: 'broken, then nobody has room', route: again, outcomes: [broken, none], steps: ['send', 'engine-failed'] },
  { name: 'broken, then full', route: again, outcomes: [broken, full], steps: ['send', 'engine-failed'] },
  { name: 'another endpoint at the address, which costs no retry', route: once, outcomes: [other, other], steps: ['send', 'send'], retries: 0 },
  { name: 'a failure of its own that may not be repeated', route: once, outcomes: [failed], steps: ['pass'] },
  { name: 'one that may be, and no time left after it', route: again, outcomes: [failed, unsent], steps: ['send', 'engine-timeout'] },
  { name: 'one that may be, without a retry left', route: again, outcomes: [failed], steps: ['pass'], retries: 0 },
  { name: 'broken without a retry left', route: again, outcomes: [broken], steps: ['engine-failed'], retries: 0 },
  { name: 'nobody known', route: once, outcomes: [{ type: 'unplaced', why: 'none-known' }], steps: ['no-engine'] },
  { name: 'no answer in time', route: once, outcomes: [late], steps: ['engine-timeout'] },
  { name: 'never sent in time', route: once, outcomes: [unsent], steps: ['overloaded'] },
  { name: 'an answer', route: once, outcomes: [{ type: 'answered', status: 404 }], steps: ['pass'] },
  { name: 'an answer whose status would say that it did not run', route: once, outcomes: [{ type: 'answered', status: 429 }], steps: ['engine-failed'] }
]

function describeStep (step: NextStep): string {
  return step.type === 'refuse' ? step.refusal.kind : step.type
}

for (const { name, route, outcomes, steps, retries = 9 } of cases) {
  test(`after ${name}`, () => {
    let left = retries
    const policy = new RetryPolicy(route, () => left-- > 0)
    const taken = outcomes.map(outcome => {
      policy.noteSend()
      return describeStep(policy.decide(outcome))
    })
    assert.deepEqual(taken, steps)
  })
}

test('a request that may have run is not sent again unless it may be repeated, and is never reported as not run', () => {
  const outcome = fc.constantFrom<SendOutcome>(unreachable, broken, full, other, failed, none, late, unsent, { type: 'answered', status: 503 })
  fc.assert(fc.property(fc.constantFrom(once, again, events, resumable), fc.array(outcome, { minLength: 1, maxLength: 8 }), fc.boolean(), (route, outcomes, hasRetries) => {
    const policy = new RetryPolicy(route, () => hasRetries)
    const mayRepeat = route === again || route === resumable
    let mayHaveRun = false
    for (const one of outcomes) {
      policy.noteSend()
      const step = policy.decide(one)
      mayHaveRun ||= one === broken || one === failed || one === late || one.type === 'answered'
      if (step.type === 'send') assert.ok(mayRepeat || !mayHaveRun)
      if (step.type === 'refuse' && mayHaveRun) assert.notEqual(lookUpError(step.refusal.kind).outcome, 'not-run')
      if (step.type !== 'send') return
    }
  }), { numRuns: 2000 })
})
