import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FencedOrderHandler } from '../src/standin/index.js'

test('an engine that checks fencing refuses an order with a stale fence; one that does not accepts it', () => {
  const newer = { fence: 2, action: { type: 'load', model: 'm' } }
  const older = { fence: 1, action: { type: 'unload', model: 'm' } }
  const checking = new FencedOrderHandler(true, [])
  assert.equal(checking.handle(newer).ok, true)
  assert.equal(checking.handle(older).ok, false)
  assert.ok(checking.models.has('m'))
  const unchecked = new FencedOrderHandler(false, [])
  unchecked.handle(newer)
  assert.equal(unchecked.handle(older).ok, true)
})
