import assert from 'node:assert/strict'
import { after, afterEach, before, test } from 'node:test'
import { Deployment, chat, host, send, until } from './support/deployment.js'
import type { Answer } from './support/deployment.js'

let place: Deployment
let counter = 0

before(async () => {
  const dead = `[services.dead]\nendpoints = [{ host = "${host}", port = 1, zone = "zone-0" }]\n`
  place = await Deployment.start({ port: 21_200, entries: 2, intent: dead })
})
after(() => place.stop())
afterEach(() => { place.service.fault = 'none' })

function nextKey (): string {
  counter += 1
  return `key-${counter}`
}

function call (box: number, key: string, body = '{"pitch":7}', service = 'bookings'): Promise<Answer> {
  const url = `http://${host}:${place.entries[box % place.entries.length].port}`
  return send(url, `/v1/services/${service}/confirm`, body, { 'idempotency-key': key, 'content-type': 'application/json' })
}

function countRuns (key: string): number {
  return place.service.served.filter(one => one.key === key).length
}

test('a resend through another box gets the recorded answer, and runs nothing', async () => {
  const key = nextKey()
  const first = await call(0, key)
  const again = await call(1, key)
  assert.equal(first.status, 200)
  assert.equal(again.body, first.body)
  assert.equal(again.headers['x-wrenlane-replayed'], 'true')
  assert.equal(countRuns(key), 1)
})

test('the same key with another body is an error', async () => {
  const key = nextKey()
  await call(0, key)
  const other = await call(1, key, '{"pitch":8}')
  assert.equal(other.status, 422)
  assert.equal(JSON.parse(other.body).error.code, 'key-conflict')
  assert.equal(countRuns(key), 1)
})

test('twenty resends at once through both boxes run once', async () => {
  const key = nextKey()
  const answers = await Promise.all(Array.from({ length: 20 }, (_, i) => call(i, key)))
  assert.equal(countRuns(key), 1)
  assert.ok(answers.every(answer => answer.status === 200 || answer.status === 409))
  assert.ok(answers.some(answer => answer.status === 200))
})

test('a service that fails after it ran leaves "unknown", for good', async () => {
  const key = nextKey()
  place.service.fault = 'reset-after-run'
  const first = await call(0, key)
  place.service.fault = 'none'
  const again = await call(1, key)
  assert.equal(first.headers['x-wrenlane-outcome'], 'unknown')
  assert.equal(JSON.parse(again.body).error.code, 'claim-unknown')
  assert.equal(countRuns(key), 1)
})

test('a service that does not answer in time leaves "unknown"', async () => {
  const key = nextKey()
  place.service.fault = 'hang-after-run'
  const first = await call(0, key)
  assert.equal(first.status, 504)
  assert.equal(first.headers['x-wrenlane-outcome'], 'unknown')
  assert.equal((await call(1, key)).status, 409)
  assert.equal(countRuns(key), 1)
})

test('a service that cannot be reached is "not run", and its key is free again', async () => {
  const key = nextKey()
  const first = await call(0, key, '{}', 'dead')
  assert.equal(first.status, 502)
  assert.equal(first.headers['x-wrenlane-outcome'], 'not-run')
  const again = await call(1, key, '{}', 'dead')
  assert.equal(JSON.parse(again.body).error.code, 'service-unreachable')
})

test('a path that may be repeated needs no key and no keeper', async () => {
  const answer = await send(place.url, '/v1/services/bookings/stock/7', '{}')
  assert.equal(answer.status, 200)
})

test('killing the leader during calls runs none twice, and none that was called not run', async () => {
  const keys = Array.from({ length: 120 }, nextKey)
  const answers = new Map<string, Answer>()
  const calls = keys.map(async (key, i) => {
    if (i === 40) place.leader?.kill()
    await new Promise(resolve => setTimeout(resolve, i * 5))
    answers.set(key, await call(i, key))
  })
  await Promise.all(calls)
  for (const key of keys) {
    const answer = answers.get(key)
    const runs = countRuns(key)
    assert.ok(runs <= 1, `${key} ran ${runs} times`)
    if (answer?.headers['x-wrenlane-outcome'] === 'not-run') assert.equal(runs, 0, `${key} was called not run`)
    if (answer?.status === 200) assert.equal(runs, 1)
  }
  await until(() => place.keepers.filter(keeper => keeper.replica?.isLeader === true).length > 0, 'another leader')
  // Every key can be asked about again, through the other box, and still runs at most once.
  const later = await Promise.all(keys.map((key, i) => call(i + 1, key)))
  for (const [i, key] of keys.entries()) {
    assert.ok(countRuns(key) <= 1)
    if (later[i].status === 200) assert.equal(countRuns(key), 1)
  }
})

test('without a quorum such calls are refused as not run, and chats are served', async () => {
  const survivors = place.keepers.filter(keeper => keeper.replica?.isLeader === true || keeper.replica?.node.role === 'follower')
  for (const keeper of survivors) keeper.kill()
  const key = nextKey()
  const answer = await call(0, key)
  assert.equal(answer.status, 503)
  assert.equal(JSON.parse(answer.body).error.code, 'no-quorum')
  assert.equal(answer.headers['x-wrenlane-outcome'], 'not-run')
  assert.equal(countRuns(key), 0)
  assert.equal((await chat(place.url)).status, 200)
  assert.equal((await send(place.url, '/v1/services/bookings/stock/7', '{}')).status, 200)
})
