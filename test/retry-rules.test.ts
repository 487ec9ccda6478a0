import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Route } from '../src/core/index.js'
import { brandId } from '../src/core/index.js'
import { classifySend, computeMaxSilenceMs, mayRetryAfter } from '../src/gateway/index.js'

function createRoute (more: Partial<Route>): Route {
  return { name: brandId('r'), host: 'h', prefix: '/', kind: 'once', timeoutMs: 1000, targetMs: 100, pauseMs: null, priority: 0, services: [], mostAttempts: 2, isPublic: false, resumable: false, ...more }
}

// For each kind of route: whether a request may be retried after [unreachable, unreachable after an earlier send, broken].
const kinds: readonly { name: string, route: Route, mayRetry: readonly [boolean, boolean, boolean] }[] = [
  { name: 'may run once', route: createRoute({ kind: 'once' }), mayRetry: [true, false, false] },
  { name: 'may be repeated', route: createRoute({ kind: 'repeatable' }), mayRetry: [true, true, true] },
  { name: 'a stream that can\'t be resumed', route: createRoute({ kind: 'events' }), mayRetry: [true, false, false] },
  { name: 'a stream that can be resumed', route: createRoute({ kind: 'events', resumable: true }), mayRetry: [true, true, true] },
  { name: 'resumable has no effect without events', route: createRoute({ kind: 'once', resumable: true }), mayRetry: [true, false, false] }
]

for (const { name, route, mayRetry } of kinds) {
  test(`retries after a failure: ${name}`, () => {
    assert.deepEqual([mayRetryAfter(route, 'unreachable', false), mayRetryAfter(route, 'unreachable', true), mayRetryAfter(route, 'broken', true)], mayRetry)
  })
}

const sends: readonly { attempts: number, unreachable: number, maxAttempts: number, allowed: ReturnType<typeof classifySend> }[] = [
  { attempts: 0, unreachable: 0, maxAttempts: 1, allowed: 'free' },
  { attempts: 1, unreachable: 0, maxAttempts: 1, allowed: 'no' },
  { attempts: 1, unreachable: 0, maxAttempts: 2, allowed: 'paid' },
  { attempts: 2, unreachable: 0, maxAttempts: 2, allowed: 'no' },
  { attempts: 3, unreachable: 3, maxAttempts: 1, allowed: 'free' },
  { attempts: 3, unreachable: 2, maxAttempts: 2, allowed: 'paid' },
  { attempts: 4, unreachable: 4, maxAttempts: 9, allowed: 'no' }
]

test('one more send is free, paid or not allowed', () => {
  for (const { attempts, unreachable, maxAttempts, allowed } of sends) assert.equal(classifySend(createRoute({ mostAttempts: maxAttempts }), { attempts, unreachable }), allowed, `${attempts} ${unreachable} ${maxAttempts}`)
})

test('a stream may be silent for a multiple of its pause limit, and for at least a minimum time', () => {
  assert.deepEqual([null, 50, 300].map(pauseMs => computeMaxSilenceMs(createRoute({ pauseMs }))), [600, 600, 1200])
})
