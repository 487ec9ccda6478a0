/**
 * Guards against a request that crashes every endpoint that runs it and is repeated with the same path, caller and body, but
 * a new id, at any gateway. If each exchange knows only its own attempts, nothing stops the request: it was sent 15 more times
 * after three endpoints had crashed, and 30 crashed in all. 28 of its sends broke off at 21 endpoints, in 18 arrivals at 8 of
 * 9 gateways, and its first arrivals crashed as many endpoints as its last.
 */
import assert from 'node:assert/strict'
import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { crashBodyPrefix } from '../src/standin/index.js'
import type { StandinEndpoint } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { CallAnswer } from './support/route-deployment.js'

const gateways = 4
const endpoints = 8
/** Time until an endpoint that crashed is back, ms. */
const downMs = 150
let deployment: RouteDeployment

before(async () => {
  deployment = await RouteDeployment.start({ number: 91, gateways, gateway: { retries: { ratio: 0.2, extra: 500, windowSeconds: 10 } } })
  await deployment.putDocument(composeDocument(1))
  for (let i = 0; i < endpoints; i++) (await deployment.addEndpoint('desk')).crash = { afterMs: 20, downMs }
})

after(() => deployment.stop())

function countCrashes (body: string): number {
  return deployment.endpoints.flatMap(endpoint => endpoint.crashBodies).filter(crashBody => crashBody === body).length
}

async function awaitEndpoints (): Promise<void> { await sleep(2 * downMs) }

/** Sends a request to one gateway after the other, each time after the previous answer. */
async function repeat (path: string, body: string, times: number): Promise<CallAnswer[]> {
  const answers: CallAnswer[] = []
  for (let i = 0; i < times; i++) {
    answers.push(await deployment.ask(path, { body, gateway: i % gateways }))
    await sleep(40)
  }
  return answers
}

/** Crashes per request that are accepted: three identify it as harmful, and one more send may be in flight. */
const maxCrashes = 4
const kinds = [
  { name: 'may be repeated', path: '/again/x' },
  { name: 'may run once', path: '/once/x' },
  { name: 'is a stream that breaks off', path: '/stream/events-40' },
  { name: 'is a stream that is carried on elsewhere', path: '/resume/events-40' }
]

test('a request that crashes endpoints crashes few of them, and is then refused as not run by every gateway', async () => {
  const observed: string[] = []
  for (const { name, path } of kinds) {
    const body = `${crashBodyPrefix}: ${name}`
    const answers = await repeat(path, body, 12)
    observed.push(`one that ${name}: ${countCrashes(body) <= maxCrashes ? 'few' : countCrashes(body)}`)
    for (const { status, headers, body: text } of answers.slice(-gateways)) {
      observed.push(status === 503 && Number(headers['retry-after']) > 0 && text.includes('not-run') ? 'refused' : `answered ${status}`)
    }
    await awaitEndpoints()
  }
  assert.deepEqual(observed, kinds.flatMap(({ name }) => [`one that ${name}: few`, ...Array.from({ length: gateways }, () => 'refused')]))
})

test('a request that ran at two crashes was sent again and again to one endpoint that breaks its connections', async () => {
  const body = 'ran at two crashes'
  const listRunners = (): StandinEndpoint[] => deployment.endpoints.filter(({ runs }) => runs.some(run => run.body === body))
  const first = deployment.ask('/again/wait-200', { body })
  for (const count of [1, 2]) {
    await waitFor(() => listRunners().length === count, `run ${count}`)
    listRunners().find(({ isDown, crashBodies }) => !isDown && !crashBodies.includes(body))?.simulateCrash(body, downMs)
  }
  await first
  await awaitEndpoints()
  for (const endpoint of deployment.endpoints) {
    endpoint.runs.length = 0
    endpoint.fault = { type: 'lose' }
  }
  await deployment.ask('/again/wait-200', { body })
  const [chosen] = listRunners()
  for (const endpoint of deployment.endpoints) if (endpoint !== chosen) endpoint.fault = { type: 'none' }
  await sleep(500)
  const again = await deployment.ask('/again/wait-200', { body })
  chosen.fault = { type: 'none' }
  assert.equal(again.status, 200)
})

test('a harmful request seen at one gateway crashes few more endpoints when it arrives at all gateways at once', async () => {
  const body = `${crashBodyPrefix}: at one, then at all`
  await deployment.ask('/again/y', { body })
  await sleep(40)
  for (let round = 0; round < 4; round++) {
    await Promise.all(Array.from({ length: 2 * gateways }, (_, i) => deployment.ask('/again/y', { body, gateway: i % gateways })))
    await sleep(40)
  }
  assert.ok(countCrashes(body) <= maxCrashes + 1, `${countCrashes(body)} ended`)
  await awaitEndpoints()
})

test('a harmless request is not refused because of harmful ones beside it, though they share path and caller and its sends fail with theirs', async () => {
  const body = `${crashBodyPrefix}: with others beside it`
  for (const endpoint of deployment.endpoints) endpoint.answerMs = 30
  const harmless = { isOver: false }
  const beside = Array.from({ length: gateways }, async (_, gateway) => {
    const answers: CallAnswer[] = []
    while (!harmless.isOver) answers.push(await deployment.ask('/again/z', { body: 'harms nobody', gateway }))
    return answers
  })
  await repeat('/again/z', body, 10)
  harmless.isOver = true
  const answers = (await Promise.all(beside)).flat()
  for (const endpoint of deployment.endpoints) endpoint.answerMs = 1
  assert.ok(countCrashes(body) <= maxCrashes, `${countCrashes(body)} ended`)
  assert.deepEqual(answers.filter(answer => answer.body.includes('quarantined')), [])
  assert.equal((await deployment.ask('/again/z', { body: 'harms nobody' })).status, 200)
  await awaitEndpoints()
})

test('connections reset by endpoints that keep running don\'t count as crashes: nothing is refused for them', async () => {
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'lose' }
  await repeat('/again/lost', 'its answer is lost', 8)
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'none' }
  assert.equal((await deployment.ask('/again/lost', { body: 'its answer is lost' })).status, 200)
})

/** Sends a request until it is in quarantine; resolves with its fingerprint. */
async function quarantine (body: string): Promise<string> {
  await repeat('/again/q', body, 6)
  const entries = await listQuarantine()
  assert.equal((await deployment.ask('/again/q', { body })).status, 503)
  await awaitEndpoints()
  return entries.at(-1)?.fingerprint ?? ''
}

async function listQuarantine (): Promise<{ fingerprint: string, state: string, ends: number }[]> {
  return JSON.parse((await deployment.operate('GET', '/v1/quarantine')).body) as { fingerprint: string, state: string, ends: number }[]
}

test('a request in quarantine is refused at once by a restarted gateway, also after all registries have restarted from their disks', async () => {
  const body = `${crashBodyPrefix}: before the boxes were gone`
  await quarantine(body)
  const crashesBefore = countCrashes(body)
  deployment.gateways[0].kill()
  await deployment.startGateway(0)
  await waitFor(async () => (await deployment.ask('/public/up', { body: 'x', gateway: 0, keyed: false })).status === 200, 'the gateway serves')
  assert.equal((await deployment.ask('/again/q', { body, gateway: 0 })).status, 503)
  for (const gateway of deployment.gateways) gateway.kill()
  for (const registry of deployment.registries) registry?.kill()
  for (let i = 0; i < 3; i++) await deployment.startRegistry(i, false)
  await deployment.startGateway(0)
  await waitFor(async () => (await deployment.ask('/public/up', { body: 'x', gateway: 0, keyed: false })).status === 200, 'the gateway serves')
  assert.equal((await deployment.ask('/again/q', { body, gateway: 0 })).status, 503)
  for (let i = 1; i < gateways; i++) await deployment.startGateway(i)
  await waitFor(() => deployment.gateways.every(({ table }) => table !== null), 'all gateways have the document')
  assert.equal(countCrashes(body), crashesBefore)
})

test('a registry that restarts without its disk learns of the quarantine from the others', async () => {
  const body = `${crashBodyPrefix}: while a registry was gone`
  deployment.registries[2]?.kill()
  const fingerprint = await quarantine(body)
  rmSync(join(deployment.folder, 'registry-2'), { recursive: true, force: true })
  await deployment.startRegistry(2, false)
  await waitFor(async () => (await deployment.operate('GET', '/v1/quarantine', '', 2)).body.includes(fingerprint), 'the registry knows')
})

test('an operator can list a quarantine and lift it; the request is then tried, and refused again after another crash', async () => {
  const body = `${crashBodyPrefix}: until an operator lifts it`
  const fingerprint = await quarantine(body)
  const crashesBefore = countCrashes(body)
  const [entry] = (await listQuarantine()).filter(one => one.fingerprint === fingerprint)
  assert.deepEqual([entry.state, entry.ends >= 3], ['refused', true])
  assert.ok(deployment.lines.some(line => line.includes('event=exchange') && line.includes('outcome=quarantined') && line.includes(fingerprint)))
  assert.ok(deployment.lines.some(line => line.includes('event=quarantine ') && line.includes(fingerprint)))
  assert.equal((await deployment.operate('DELETE', '/v1/quarantine/unknown')).status, 404)
  assert.equal((await deployment.operate('DELETE', `/v1/quarantine/${fingerprint}`)).status, 200)
  await waitFor(async () => (await deployment.ask('/again/q', { body })).status === 502, 'it is sent again')
  await awaitEndpoints()
  await repeat('/again/q', body, 6)
  assert.ok(countCrashes(body) - crashesBefore <= maxCrashes, `${countCrashes(body) - crashesBefore} ended`)
  assert.equal((await deployment.ask('/again/q', { body })).status, 503)
  await awaitEndpoints()
})

// Guards against blaming a request for a crash when its answer was lost seconds before the endpoint crashed for another reason.
test('a request whose answer was lost is not blamed when the endpoint crashes later', async () => {
  const body = 'its answer is lost, then the endpoint ends'
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'lose' }
  assert.equal((await deployment.ask('/again/l', { body })).status, 502)
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'none' }
  await sleep(1100)
  for (const endpoint of deployment.endpoints) {
    await deployment.ask('/again/l', { body: `${crashBodyPrefix}: ${endpoint.id}`, gateway: 0 })
  }
  await awaitEndpoints()
  const { ends } = deployment.gateways[0].listCrashes()
  assert.ok(ends.length > 0 && ends.every(({ runs }) => runs.length <= 1), JSON.stringify(ends))
})
