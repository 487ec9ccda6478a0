import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Route } from '../src/core/index.js'
import { brandId } from '../src/core/index.js'
import { allowSend, limitSilence, mayGoOn } from '../src/gateway/index.js'

function createRoute (more: Partial<Route>): Route {
  return { name: brandId('r'), host: 'h', prefix: '/', kind: 'once', timeoutMs: 1000, targetMs: 100, pauseMs: null, priority: 0, services: [], mostAttempts: 2, isPublic: false, resumable: false, ...more }
}

// For each kind of route: whether a request may go elsewhere after [unreachable, unreachable after an earlier send, broken].
const kinds: readonly { name: string, route: Route, goesOn: readonly [boolean, boolean, boolean] }[] = [
  { name: 'may run once', route: createRoute({ kind: 'once' }), goesOn: [true, false, false] },
  { name: 'may be repeated', route: createRoute({ kind: 'repeatable' }), goesOn: [true, true, true] },
  { name: 'a stream that can\'t be continued', route: createRoute({ kind: 'events' }), goesOn: [true, false, false] },
  { name: 'a stream that can', route: createRoute({ kind: 'events', resumable: true }), goesOn: [true, true, true] },
  { name: 'resumable means nothing without events', route: createRoute({ kind: 'once', resumable: true }), goesOn: [true, false, false] }
]

for (const { name, route, goesOn } of kinds) {
  test(`what a failure allows: ${name}`, () => {
    assert.deepEqual([mayGoOn(route, 'unreachable', false), mayGoOn(route, 'unreachable', true), mayGoOn(route, 'broken', true)], goesOn)
  })
}

const sends: readonly { attempts: number, unreachable: number, most: number, allowed: ReturnType<typeof allowSend> }[] = [
  { attempts: 0, unreachable: 0, most: 1, allowed: 'free' },
  { attempts: 1, unreachable: 0, most: 1, allowed: 'no' },
  { attempts: 1, unreachable: 0, most: 2, allowed: 'paid' },
  { attempts: 2, unreachable: 0, most: 2, allowed: 'no' },
  { attempts: 3, unreachable: 3, most: 1, allowed: 'free' },
  { attempts: 3, unreachable: 2, most: 2, allowed: 'paid' },
  { attempts: 4, unreachable: 4, most: 9, allowed: 'no' }
]

test('one more send is free, paid or not allowed', () => {
  for (const { attempts, unreachable, most, allowed } of sends) assert.equal(allowSend(createRoute({ mostAttempts: most }), { attempts, unreachable }), allowed, `${attempts} ${unreachable} ${most}`)
})

test('a stream may be silent for some of its pauses, and for a least time', () => {
  assert.deepEqual([null, 50, 300].map(pauseMs => limitSilence(createRoute({ pauseMs }))), [600, 600, 1200])
})
