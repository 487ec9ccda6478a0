import assert from 'node:assert/strict'
import { after, before, beforeEach, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { drainMs, maxInBackoff, noticeReactionMs } from '../src/soak/limit-bounds.js'
import type { StandinEndpoint } from '../src/standin/index.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

const gateways = 2
const callers = 6
const pauseMs = 15
const answerMs = 40

let deployment: RouteDeployment
let endpoints: StandinEndpoint[]

before(async () => {
  deployment = await RouteDeployment.start({ number: 48, registries: 3, gateways })
  await deployment.putDocument(composeDocument(1))
  endpoints = [await deployment.addEndpoint('desk'), await deployment.addEndpoint('desk'), await deployment.addEndpoint('desk', 'zone-b')]
})
beforeEach(() => {
  for (const endpoint of endpoints) {
    endpoint.answerMs = answerMs
    endpoint.backoff = null
    endpoint.isLeaving = false
  }
})
after(() => deployment.stop())

// Runs several callers at once, so that all endpoints are used; resolves with the statuses that they got.
async function call (gateway: number, ms: number): Promise<number[]> {
  const until = performance.now() + ms
  const statuses: number[] = []
  await Promise.all(Array.from({ length: callers }, async (_, caller) => {
    while (performance.now() < until) {
      statuses.push((await deployment.ask(caller % 2 === 0 ? '/again/x' : '/once/x', { gateway })).status)
      await sleep(pauseMs)
    }
  }))
  return statuses
}

test('an endpoint that asks a box to back off gets almost no requests from it during that time', async () => {
  const [loaded] = endpoints
  // An endpoint that was never used is chosen last, so all are used first.
  await call(0, 1000)
  const before = loaded.arrivals.length
  loaded.backoff = { share: 1, seconds: 2 }
  const statuses = await call(0, 5000)
  const arrivals = loaded.arrivals.slice(before).map(({ at }) => at)
  const broken = arrivals.filter(askedAt => arrivals.filter(at => at > askedAt + noticeReactionMs && at < askedAt + 2000).length > maxInBackoff)
  assert.ok(arrivals.length > 0 && broken.length === 0, `${broken.length} of ${arrivals.length} times`)
  const refused = statuses.filter(status => status !== 200).length
  assert.equal(refused, 0, 'refused requests are sent to other endpoints')
})

test('an endpoint that announces on an answer that it is leaving gets no new work, not even from boxes that it has not told', async () => {
  const [, leaving] = endpoints
  leaving.isLeaving = true
  // Only the first box learns it from the endpoint itself.
  await call(0, 300)
  const saidAt = performance.now()
  await sleep(200)
  await Promise.all([call(0, 3000), call(1, 3000)])
  const late = leaving.arrivals.filter(({ at }) => at > saidAt + drainMs).length
  assert.equal(late, 0)
})

test('if every endpoint asks to back off, callers get the shortest time in retry-after', async () => {
  const [first, , third] = endpoints
  first.backoff = { share: 1, seconds: 9 }
  third.backoff = { share: 1, seconds: 4 }
  await call(1, 300)
  const answer = await deployment.ask('/again/x', { gateway: 1 })
  assert.equal(answer.status, 503)
  const seconds = Number(answer.headers['retry-after'])
  assert.ok(seconds >= 3 && seconds <= 4, `${seconds} s`)
})
