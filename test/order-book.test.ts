import assert from 'node:assert/strict'
import { test } from 'node:test'
import { OrderBook } from '../src/coordination/index.js'
import type { OrderAction, OrderResult } from '../src/coordination/index.js'
import { OrderDesk } from '../src/standin/index.js'

const load: OrderAction = { type: 'load', model: 'm' }
const unload: OrderAction = { type: 'unload', model: 'm' }

function fenceOf (result: OrderResult): number {
  assert.equal(result.type, 'ordered')
  return (result as Extract<OrderResult, { type: 'ordered' }>).fence
}

test('one holder gives orders, and their numbers rise through holders and snapshots', () => {
  let book = new OrderBook()
  assert.equal(book.apply({ type: 'lease', holder: 'a', leaseMs: 1000 }, 0).type, 'leased')
  assert.equal(book.apply({ type: 'lease', holder: 'b', leaseMs: 1000 }, 500).type, 'held')
  const first = fenceOf(book.apply({ type: 'order', holder: 'a', engine: 'e1', action: load }, 600))
  assert.equal(book.apply({ type: 'order', holder: 'b', engine: 'e1', action: load }, 700).type, 'held')
  assert.equal(book.apply({ type: 'order', holder: 'a', engine: 'e1', action: load }, 1000).type, 'held')
  book = new OrderBook(book.save())
  const lease = book.apply({ type: 'lease', holder: 'b', leaseMs: 1000 }, 1100)
  assert.equal(lease.type, 'leased')
  // An engine that doesn't check numbers is given none before the old lease has run out everywhere.
  assert.ok((lease as Extract<OrderResult, { type: 'leased' }>).safeAt > 1000)
  assert.ok(fenceOf(book.apply({ type: 'order', holder: 'b', engine: 'e1', action: load }, 1200)) > first)
})

test('the last loaded copy is never unloaded', () => {
  const book = new OrderBook()
  book.apply({ type: 'lease', holder: 'a', leaseMs: 10_000 }, 0)
  for (const engine of ['e1', 'e2']) {
    const fence = fenceOf(book.apply({ type: 'order', holder: 'a', engine, action: load }, 1))
    book.apply({ type: 'orderDone', fence, ok: true }, 2)
  }
  assert.equal(book.apply({ type: 'order', holder: 'a', engine: 'e1', action: unload }, 3).type, 'ordered')
  assert.equal(book.apply({ type: 'order', holder: 'a', engine: 'e2', action: unload }, 4).type, 'last-copy')
})

test('an engine that checks refuses an order that was overtaken, one that does not takes it', () => {
  const newer = { fence: 2, action: load }
  const older = { fence: 1, action: unload }
  const checking = new OrderDesk(true, [])
  assert.equal(checking.take(newer).ok, true)
  assert.equal(checking.take(older).ok, false)
  assert.ok(checking.models.has('m'))
  const trusting = new OrderDesk(false, [])
  trusting.take(newer)
  assert.equal(trusting.take(older).ok, true)
})
