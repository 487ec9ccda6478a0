import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { after, before, test } from 'node:test'
import { composeEvent, composeBody } from '../src/standin/index.js'
import type { EndpointFault, StandinEndpoint } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { CallAnswer } from './support/route-deployment.js'

let deployment: RouteDeployment
let first: StandinEndpoint
let second: StandinEndpoint

before(async () => {
  deployment = await RouteDeployment.start({ number: 11, registries: 1, gateways: 1 })
  await deployment.putDocument(composeDocument(1))
  first = await deployment.addEndpoint('desk')
  second = await deployment.addEndpoint('desk')
})
after(() => deployment.stop())

function composeStream (path: string, from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, i) => composeEvent(path, from + i)).join('')
}

// Sends requests until both endpoints are considered healthy again, each after an answer of its own.
async function settle (): Promise<void> {
  const isGood = (endpoint: StandinEndpoint): boolean => deployment.gateways[0].fleet.findView(endpoint.id as never)?.health.findState(performance.now()) === 'good'
  await waitFor(async () => (await deployment.ask('/again/x', { method: 'GET', body: '' })).status === 200 && isGood(first) && isGood(second), 'both endpoints trusted')
}

function countRuns (requestId: string): number {
  return [first, second].flatMap(endpoint => endpoint.runs).filter(run => run.requestId === requestId).length
}

const served: readonly { name: string, path: string, method?: string, body?: string, expected: (requestId: string) => string }[] = [
  { name: 'a whole answer', path: '/once/x?y=1', body: 'some text', expected: requestId => composeBody({ requestId, method: 'POST', path: '/once/x?y=1', body: 'some text' }) },
  { name: 'a large body', path: '/again/x', body: 'ä'.repeat(200_000), expected: requestId => composeBody({ requestId, method: 'POST', path: '/again/x', body: 'ä'.repeat(200_000) }) },
  { name: 'a GET without a body', path: '/again/x', method: 'GET', body: '', expected: requestId => composeBody({ requestId, method: 'GET', path: '/again/x', body: '' }) },
  { name: 'numbered events', path: '/stream/events-4', expected: () => composeStream('/stream/events-4', 1, 4) },
  { name: 'events after the last that the caller has', path: '/resume/events-9', expected: () => composeStream('/resume/events-9', 6, 9) }
]

for (const { name, path, method, body, expected } of served) {
  test(`${name}: relayed byte for byte`, async () => {
    const requestId = `served ${name}`
    const headers: Record<string, string> = name.startsWith('events after') ? { 'last-event-id': '5' } : {}
    const answer = await deployment.ask(path, { requestId, method, body, headers })
    assert.deepEqual([answer.status, answer.isWhole, answer.body], [200, true, expected(requestId)])
    assert.equal(answer.headers['x-wrenlane-request-id'], requestId)
    const run = [first, second].flatMap(endpoint => endpoint.runs).find(one => one.requestId === requestId)
    assert.equal(run?.headers['x-wrenlane-workspace'], 'camp')
    assert.equal(run?.headers.authorization, undefined)
    const left = Number(run?.headers['x-wrenlane-deadline-ms'])
    assert.ok(left > 0 && left <= 1500, String(left))
  })
}

const refused: readonly { name: string, path: string, more: Parameters<RouteDeployment['ask']>[1], status: number }[] = [
  { name: 'no route', path: '/nowhere/x', more: {}, status: 404 },
  { name: 'another host', path: '/once/x', more: { host: 'else.example' }, status: 404 },
  { name: 'no key', path: '/once/x', more: { keyed: false }, status: 401 },
  { name: 'a wrong key', path: '/once/x', more: { headers: { authorization: 'Bearer wrong' } }, status: 401 },
  { name: 'a body beyond the limit', path: '/once/x', more: { body: 'x'.repeat(5 * 2 ** 20) }, status: 413 }
]

for (const { name, path, more, status } of refused) {
  test(`${name}: ${status}, and nothing runs`, async () => {
    const requestId = `refused ${name}`
    assert.equal((await deployment.ask(path, { requestId, ...more })).status, status)
    assert.equal(countRuns(requestId), 0)
  })
}

test('a request whose headers arrive too late is refused as not run, and does not run though the rest of it arrives', async () => {
  const { connect } = await import('node:net')
  await deployment.putDocument(composeDocument(2, { limits: { headerMs: 200 } }))
  const socket = connect({ host: deployment.gatewayHost(0), port: 7003, allowHalfOpen: true })
  let answer = ''
  socket.on('data', (chunk: Buffer) => { answer += chunk.toString() })
  socket.on('error', () => {})
  const headers = { host: 'camp.example', ...deployment.spoken.composeCall('late headers', 'test-key', 5000) }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  socket.write(`POST /once/x HTTP/1.1\r\n${lines.join('')}`)
  // The rest of the request arrives together with the answer.
  await waitFor(() => answer.startsWith('HTTP/1.1 408'), 'the answer')
  socket.write('content-length: 0\r\n\r\n')
  await deployment.ask('/once/x')
  await settle()
  assert.equal(countRuns('late headers'), 0)
  socket.destroy()
})

test('a public route needs no key', async () => {
  assert.equal((await deployment.ask('/public/x', { keyed: false })).status, 200)
})

/** The answer to a caller and the number of runs of its request if both endpoints have the same fault. */
const faults: readonly { fault: EndpointFault, path: string, status: number, runs: number, isWhole?: boolean }[] = [
  { fault: { type: 'full' }, path: '/once/x', status: 503, runs: 0 },
  { fault: { type: 'full' }, path: '/again/x', status: 503, runs: 0 },
  { fault: { type: 'error' }, path: '/once/x', status: 500, runs: 1 },
  { fault: { type: 'error' }, path: '/again/x', status: 500, runs: 2 },
  { fault: { type: 'lose' }, path: '/once/x', status: 502, runs: 1 },
  { fault: { type: 'lose' }, path: '/again/x', status: 502, runs: 2 },
  { fault: { type: 'lose' }, path: '/stream/events', status: 502, runs: 1 },
  { fault: { type: 'lose' }, path: '/resume/events', status: 502, runs: 2 },
  { fault: { type: 'hang' }, path: '/once/x', status: 504, runs: 1 },
  { fault: { type: 'break', afterEvents: 0 }, path: '/once/x', status: 502, runs: 1 },
  { fault: { type: 'break', afterEvents: 2 }, path: '/stream/events', status: 200, runs: 1, isWhole: false },
  { fault: { type: 'foreign' }, path: '/once/x', status: 502, runs: 1 },
  { fault: { type: 'foreign' }, path: '/again/x', status: 502, runs: 2 },
  { fault: { type: 'unframed' }, path: '/once/x', status: 200, runs: 1 },
  { fault: { type: 'unframed-reset' }, path: '/once/x', status: 502, runs: 1 },
  { fault: { type: 'unframed-reset' }, path: '/again/x', status: 502, runs: 2 },
  { fault: { type: 'surplus' }, path: '/once/x', status: 200, runs: 1 }
]

for (const { fault, path, status, runs, isWhole = true } of faults) {
  test(`endpoint fault '${fault.type}': ${path} gets ${status} and runs ${runs} times`, async () => {
    const requestId = `fault ${fault.type} ${path}`
    first.fault = fault
    second.fault = fault
    try {
      const answer = await deployment.ask(path, { requestId })
      assert.deepEqual([answer.status, answer.isWhole, countRuns(requestId)], [status, isWhole, runs])
      if (status === 503) assert.ok(Number(answer.headers['retry-after']) > 0)
    } finally {
      first.fault = { type: 'none' }
      second.fault = { type: 'none' }
      await settle()
    }
  })
}

test('a resumable stream continues at the other endpoint, with each event sent once', async () => {
  for (const endpoint of [first, second]) {
    const requestId = `resumed after ${endpoint.id}`
    endpoint.fault = { type: 'break', afterEvents: 3 }
    const other = endpoint === first ? second : first
    // Either endpoint may be chosen first; if it is the one without the fault, the answer is complete at once.
    const answer = await deployment.ask('/resume/events-8', { requestId })
    endpoint.fault = { type: 'none' }
    assert.deepEqual([answer.status, answer.isWhole, answer.body], [200, true, composeStream('/resume/events-8', 1, 8)])
    const resumed = other.runs.find(run => run.requestId === requestId)
    if (endpoint.runs.some(run => run.requestId === requestId)) assert.equal(resumed?.headers['last-event-id'], '3')
    await settle()
  }
})

test('a stream whose continuation fails at the other endpoint is truncated', async () => {
  // Repeats until the endpoint that breaks is chosen first: the balancer chooses at random between equal endpoints.
  for (let i = 0, isCovered = false; !isCovered; i++) {
    const requestId = `broken twice ${i}`
    first.fault = { type: 'break', afterEvents: 3 }
    second.fault = { type: 'error' }
    const answer = await deployment.ask('/resume/events-8', { requestId })
    first.fault = second.fault = { type: 'none' }
    isCovered = first.runs.some(run => run.requestId === requestId && run.headers['last-event-id'] === undefined) && answer.status === 200
    if (isCovered) assert.deepEqual([answer.isWhole, answer.body], [false, composeStream('/resume/events-8', 1, 3)])
    await settle()
  }
  assert.equal((await deployment.ask('/once/x')).status, 200)
})

test('a retry after an endpoint\'s own error is taken from the retry budget', async () => {
  const tight = await RouteDeployment.start({ number: 12, registries: 1, gateways: 1, gateway: { retries: { ratio: 0, extra: 2.5, windowSeconds: 60 } } })
  try {
    await tight.putDocument(composeDocument(1))
    const endpoints = [await tight.addEndpoint('desk'), await tight.addEndpoint('desk')]
    for (const endpoint of endpoints) endpoint.fault = { type: 'error' }
    const statuses = []
    for (let i = 0; i < 3; i++) statuses.push((await tight.ask('/again/x', { requestId: `budget ${i}` })).status)
    assert.deepEqual(statuses, [500, 500, 500])
    assert.deepEqual([0, 1, 2].map(i => endpoints.flatMap(one => one.runs).filter(run => run.requestId === `budget ${i}`).length), [2, 2, 1])
  } finally {
    await tight.stop()
  }
})

test('a surplus answer on a keep-alive connection is never sent to the next caller', async () => {
  first.fault = { type: 'surplus' }
  second.fault = { type: 'surplus' }
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let i = 0; i < 20; i++) {
    const requestId = `surplus ${i}`
    const answer = await deployment.ask('/once/x', { requestId, agent })
    assert.equal(answer.body, composeBody({ requestId, method: 'POST', path: '/once/x', body: 'a body' }))
  }
  agent.destroy()
  first.fault = { type: 'none' }
  second.fault = { type: 'none' }
})

test('a request to an address that another endpoint has taken over is not run there', async () => {
  const { port } = second
  second.close()
  const { StandinEndpoint: Standin } = await import('../src/standin/index.js')
  const stranger = new Standin('stranger', deployment.spoken.endpointHeaders)
  await stranger.listen(deployment.endpointHost, port)
  try {
    for (let i = 0; i < 8; i++) assert.equal((await deployment.ask('/once/x')).status, 200)
    assert.equal(stranger.runs.length, 0)
  } finally {
    stranger.close()
    await second.listen(deployment.endpointHost, port)
    await settle()
  }
})

test('the request of a caller that disconnects is cancelled', async () => {
  first.eventMs = second.eventMs = 30
  const requestId = 'left'
  const { request } = await import('node:http')
  const asked = request({ host: deployment.gatewayHost(0), port: 7003, method: 'POST', path: '/stream/events-500', headers: { host: 'camp.example', ...deployment.spoken.composeCall(requestId, 'test-key', 5000) } })
  asked.on('error', () => {})
  asked.end('x')
  await waitFor(() => countRuns(requestId) === 1, 'the run')
  asked.destroy()
  await waitFor(() => [first, second].flatMap(endpoint => endpoint.runs).some(run => run.requestId === requestId && run.isCancelled), 'the run called off')
  first.eventMs = second.eventMs = 5
})

test('a request gets its final answer as soon as its deadline passes', async () => {
  first.fault = second.fault = { type: 'hang' }
  const startedAt = performance.now()
  const answer = await deployment.ask('/once/x', { deadlineMs: 300 })
  const took = performance.now() - startedAt
  first.fault = second.fault = { type: 'none' }
  assert.equal(answer.status, 504)
  assert.ok(took >= 290, String(took))
  await waitFor(async () => (await deployment.ask('/again/x')).status === 200, 'served again')
})

test('a draining endpoint gets no new work and finishes what it has', async () => {
  // An endpoint at which a request timed out is chosen last for a while: it gets work once the other is full.
  const long: Array<Promise<CallAnswer>> = []
  await waitFor(() => {
    if (first.runs.some(run => run.requestId.startsWith('draining'))) return true
    long.push(deployment.ask('/stream/events-60', { requestId: `draining ${long.length}` }))
    return false
  }, 'work at the first')
  await deployment.register(first, 'desk', 'draining')
  await waitFor(() => deployment.gateways[0].fleet.findView(first.id as never)?.record.stage === 'draining', 'the drain known')
  const before = first.runs.length
  for (let i = 0; i < 10; i++) assert.equal((await deployment.ask('/again/x')).status, 200)
  assert.equal(first.runs.length, before)
  for (const answer of await Promise.all(long)) assert.ok(answer.isWhole)
  await deployment.register(first, 'desk', 'ready')
  await waitFor(() => deployment.gateways[0].fleet.findView(first.id as never)?.record.stage === 'ready', 'ready again')
})
