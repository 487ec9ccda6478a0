import assert from 'node:assert/strict'
import { after, afterEach, before, test } from 'node:test'
import { Deployment, sendChat, host, send, waitFor } from './support/deployment.js'
import type { HttpResponse } from './support/deployment.js'

let deployment: Deployment
let keyCount = 0

before(async () => {
  const unreachableService = `[services.dead]\nendpoints = [{ host = "${host}", port = 1, zone = "zone-0" }]\n`
  deployment = await Deployment.start({ port: 21_200, entries: 2, intent: unreachableService })
})
after(() => deployment.stop())
afterEach(() => { deployment.service.fault = 'none' })

function nextKey (): string {
  keyCount += 1
  return `key-${keyCount}`
}

function call (boxIndex: number, key: string, body = '{"pitch":7}', service = 'bookings'): Promise<HttpResponse> {
  const url = `http://${host}:${deployment.entries[boxIndex % deployment.entries.length].port}`
  return send(url, `/v1/services/${service}/confirm`, body, { 'idempotency-key': key, 'content-type': 'application/json' })
}

function countRuns (key: string): number {
  return deployment.service.served.filter(call => call.key === key).length
}

test('a resend through another box gets the stored response without a second run', async () => {
  const key = nextKey()
  const first = await call(0, key)
  const resent = await call(1, key)
  assert.equal(first.status, 200)
  assert.equal(resent.body, first.body)
  assert.equal(resent.headers['x-wrenlane-replayed'], 'true')
  assert.equal(countRuns(key), 1)
})

test('reusing a key with a different body is an error', async () => {
  const key = nextKey()
  await call(0, key)
  const other = await call(1, key, '{"pitch":8}')
  assert.equal(other.status, 422)
  assert.equal(JSON.parse(other.body).error.code, 'key-conflict')
  assert.equal(countRuns(key), 1)
})

test('twenty concurrent resends through both boxes run once', async () => {
  const key = nextKey()
  const responses = await Promise.all(Array.from({ length: 20 }, (_, i) => call(i, key)))
  assert.equal(countRuns(key), 1)
  assert.ok(responses.every(response => response.status === 200 || response.status === 409))
  assert.ok(responses.some(response => response.status === 200))
})

test('a call that fails after it was run has the outcome "unknown" permanently', async () => {
  const key = nextKey()
  deployment.service.fault = 'reset-after-run'
  const first = await call(0, key)
  deployment.service.fault = 'none'
  const resent = await call(1, key)
  assert.equal(first.headers['x-wrenlane-outcome'], 'unknown')
  assert.equal(JSON.parse(resent.body).error.code, 'claim-unknown')
  assert.equal(countRuns(key), 1)
})

test('a call that times out has the outcome "unknown"', async () => {
  const key = nextKey()
  deployment.service.fault = 'hang-after-run'
  const first = await call(0, key)
  assert.equal(first.status, 504)
  assert.equal(first.headers['x-wrenlane-outcome'], 'unknown')
  assert.equal((await call(1, key)).status, 409)
  assert.equal(countRuns(key), 1)
})

test('a call to an unreachable service has the outcome "not-run", and its key can be used again', async () => {
  const key = nextKey()
  const first = await call(0, key, '{}', 'dead')
  assert.equal(first.status, 502)
  assert.equal(first.headers['x-wrenlane-outcome'], 'not-run')
  const resent = await call(1, key, '{}', 'dead')
  assert.equal(JSON.parse(resent.body).error.code, 'service-unreachable')
})

test('a repeatable path requires neither a key nor a keeper', async () => {
  const response = await send(deployment.url, '/v1/services/bookings/stock/7', '{}')
  assert.equal(response.status, 200)
})

test('when the leader is killed during calls, none runs twice, and none reported as not-run has run', async () => {
  const keys = Array.from({ length: 120 }, nextKey)
  const responses = new Map<string, HttpResponse>()
  const calls = keys.map(async (key, i) => {
    if (i === 40) deployment.leader?.kill()
    await new Promise(resolve => setTimeout(resolve, i * 5))
    responses.set(key, await call(i, key))
  })
  await Promise.all(calls)
  for (const key of keys) {
    const response = responses.get(key)
    const runs = countRuns(key)
    assert.ok(runs <= 1, `${key} ran ${runs} times`)
    if (response?.headers['x-wrenlane-outcome'] === 'not-run') assert.equal(runs, 0, `${key} was reported as not-run`)
    if (response?.status === 200) assert.equal(runs, 1)
  }
  await waitFor(() => deployment.keepers.filter(keeper => keeper.replica?.isLeader === true).length > 0, 'another leader')
  // Resending every call through the other box must not run any of them twice.
  const resent = await Promise.all(keys.map((key, i) => call(i + 1, key)))
  for (const [i, key] of keys.entries()) {
    assert.ok(countRuns(key) <= 1)
    if (resent[i].status === 200) assert.equal(countRuns(key), 1)
  }
})

test('without a quorum non-repeatable calls are refused as not-run, and chats are served', async () => {
  const survivors = deployment.keepers.filter(keeper => keeper.replica?.isLeader === true || keeper.replica?.node.role === 'follower')
  for (const keeper of survivors) keeper.kill()
  const key = nextKey()
  const response = await call(0, key)
  assert.equal(response.status, 503)
  assert.equal(JSON.parse(response.body).error.code, 'no-quorum')
  assert.equal(response.headers['x-wrenlane-outcome'], 'not-run')
  assert.equal(countRuns(key), 0)
  assert.equal((await sendChat(deployment.url)).status, 200)
  assert.equal((await send(deployment.url, '/v1/services/bookings/stock/7', '{}')).status, 200)
})
