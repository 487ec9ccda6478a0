import assert from 'node:assert/strict'
import { test } from 'node:test'
import { OrderDesk } from '../src/standin/index.js'

test('an engine that checks refuses an order that was overtaken, one that does not takes it', () => {
  const newer = { fence: 2, action: { type: 'load', model: 'm' } }
  const older = { fence: 1, action: { type: 'unload', model: 'm' } }
  const checking = new OrderDesk(true, [])
  assert.equal(checking.take(newer).ok, true)
  assert.equal(checking.take(older).ok, false)
  assert.ok(checking.models.has('m'))
  const trusting = new OrderDesk(false, [])
  trusting.take(newer)
  assert.equal(trusting.take(older).ok, true)
})
