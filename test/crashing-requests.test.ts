/**
 * A request that crashed each endpoint that ran it came again and again, with
 * the same path, caller and body but each time another id, at any gateway. It
 * was sent 15 times more after three endpoints had ended under it, and 30 ended
 * in all: 28 sends of it broke off at 21 endpoints in 18 arrivals at 8 of 9
 * gateways, and its first arrivals ended as many as its last. An exchange knew
 * what it had tried itself, and nothing outlived it.
 */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { crashMark } from '../src/standin/index.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { CallAnswer } from './support/route-deployment.js'

const gateways = 4
const endpoints = 8
/** Until an endpoint that ended is back, ms. */
const downMs = 150
let place: RouteDeployment

before(async () => {
  place = await RouteDeployment.start({ number: 91, gateways, gateway: { retries: { ratio: 0.2, extra: 500, windowSeconds: 10 } } })
  await place.putDocument(composeDocument(1))
  for (let i = 0; i < endpoints; i++) (await place.addEndpoint('desk')).crash = { afterMs: 20, downMs }
})

after(() => place.stop())

function countEnds (body: string): number {
  return place.endpoints.flatMap(endpoint => endpoint.ends).filter(ended => ended === body).length
}

async function awaitEndpoints (): Promise<void> { await sleep(2 * downMs) }

/** Sends a request to one gateway after the other, each time once its last answer is there. */
async function repeat (path: string, body: string, times: number): Promise<CallAnswer[]> {
  const answers: CallAnswer[] = []
  for (let i = 0; i < times; i++) {
    answers.push(await place.ask(path, { body, gateway: i % gateways }))
    await sleep(40)
  }
  return answers
}

/** Ends under one request that are borne: three show what it is, and one may be under way. */
const mostEnds = 4
const kinds = [
  { name: 'may be repeated', path: '/again/x' },
  { name: 'may run once', path: '/once/x' },
  { name: 'is a stream that breaks off', path: '/stream/events-40' },
  { name: 'is a stream that is carried on elsewhere', path: '/resume/events-40' }
]

test('a request that ends its endpoints ends few of them, and is then refused as not run, whichever gateway it comes to', async () => {
  const ended: string[] = []
  for (const { name, path } of kinds) {
    const body = `${crashMark}: ${name}`
    const answers = await repeat(path, body, 12)
    ended.push(`one that ${name}: ${countEnds(body) <= mostEnds ? 'few' : countEnds(body)}`)
    for (const { status, headers, body: text } of answers.slice(-gateways)) {
      ended.push(status === 503 && Number(headers['retry-after']) > 0 && text.includes('not-run') ? 'refused' : `answered ${status}`)
    }
    await awaitEndpoints()
  }
  assert.deepEqual(ended, kinds.flatMap(({ name }) => [`one that ${name}: few`, ...Array.from({ length: gateways }, () => 'refused')]))
})

test('one that came through one gateway first ends few endpoints more as it comes through all at once', async () => {
  const body = `${crashMark}: at one, then at all`
  await place.ask('/again/y', { body })
  await sleep(40)
  for (let round = 0; round < 4; round++) {
    await Promise.all(Array.from({ length: 2 * gateways }, (_, i) => place.ask('/again/y', { body, gateway: i % gateways })))
    await sleep(40)
  }
  assert.ok(countEnds(body) <= mostEnds + 1, `${countEnds(body)} ended`)
  await awaitEndpoints()
})
