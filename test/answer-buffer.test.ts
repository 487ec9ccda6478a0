/** Callers that read slowly or not at all, over real sockets. Sizes exceed what the system's own buffers hold. */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { waitFor } from './support/deployment.js'
import { BulkEndpoint, PacedCaller } from './support/bulk-endpoint.js'
import type { BreakPlan } from './support/bulk-endpoint.js'
import { RouteDeployment, composeDocument, key, native } from './support/route-deployment.js'

const mb = 2 ** 20
const budgetMb = 16
/** The endpoints of the users end a connection whose bytes stay unread for 3 s. */
const unreadMs = 3000

let deployment: RouteDeployment
const plan: BreakPlan = { breakAt: null }
const endpoints = [0, 1].map(i => new BulkEndpoint(`bulk-${i}`, native.endpointHeaders, unreadMs, plan))

before(async () => {
  deployment = await RouteDeployment.start({ number: 61, registries: 1, gateways: 1, gateway: { answers: { budgetMb } } })
  const document = composeDocument(1)
  const routes = document.routes.map(route => ({ ...route, timeoutMs: 20_000 }))
  await deployment.putDocument(Object.assign(document, { routes }))
  for (const endpoint of endpoints) {
    await endpoint.listen(deployment.endpointHost)
    await deployment.register(endpoint, 'desk', 'ready')
    await waitFor(() => deployment.gateways[0].fleet.findView(endpoint.id as never) !== undefined, 'the endpoint known')
  }
})
after(async () => {
  for (const endpoint of endpoints) endpoint.close()
  await deployment.stop()
})

function call (path: string, requestId = `r${Math.random()}`): PacedCaller {
  return new PacedCaller(deployment.gatewayHost(0), 7003, path, { host: 'camp.example', ...native.composeCall(requestId, key, 20_000) })
}

function countEndedUnread (): number { return endpoints.reduce((sum, { endedUnread }) => sum + endedUnread, 0) }

function listDropped (): string[] { return deployment.lines.filter(line => line.includes('event=answer-dropped')) }

const kinds = [{ kind: 'plain answers', path: '/again/plain-' }, { kind: 'event streams', path: '/stream/events-' }, { kind: 'answers without a length', path: '/again/chunked-' }]

for (const { kind, path } of kinds) {
  // Guards against endpoints that end an answer as a stalled caller leaves it unread: 80 of 80 were.
  test(`${kind} within the budget are read from the endpoint at once, and delivered whole to callers that stall`, async () => {
    const callers = Array.from({ length: 2 }, () => call(`${path}${8 * mb}`))
    await waitFor(() => deployment.gateways[0].answers.totalBytes > 2 * mb && callers.every(caller => caller.bytes > 0), 'answers held')
    await waitFor(() => deployment.gateways[0].fleet.composeLoad(performance.now()).loads.length === 0, 'the endpoint done')
    for (const caller of callers) caller.readOn()
    for (const caller of callers) assert.equal((await caller.answer).isWhole, true)
    await waitFor(() => deployment.gateways[0].answers.totalBytes === 0, 'nothing held')
    assert.equal(countEndedUnread(), 0)
  })
}

for (const { kind, path } of kinds.slice(0, 2)) {
  // Guards against memory that grows with the number of stalled callers.
  test(`${kind} over the budget: stalled callers are ended and logged, others lose nothing`, async () => {
    const { answers } = deployment.gateways[0]
    const linesBefore = listDropped().length
    const rssBefore = process.memoryUsage().rss
    const stalled = Array.from({ length: 16 }, () => call(`${path}${12 * mb}`))
    const steady = [0, 1].map(() => call(`${path}${12 * mb}`).readOn(3000))
    let mostHeld = 0
    let mostRss = 0
    const watch = setInterval(() => {
      mostHeld = Math.max(mostHeld, answers.totalBytes)
      mostRss = Math.max(mostRss, process.memoryUsage().rss)
    }, 5)
    try {
      while (listDropped().length === linesBefore) assert.equal((await call(`${path}${mb}`).readOn().answer).isWhole, true)
      for (const caller of steady) assert.equal((await caller.answer).isWhole, true)
      await waitFor(() => answers.totalBytes <= budgetMb * mb, 'the budget kept')
    } finally {
      clearInterval(watch)
    }
    for (const caller of stalled) caller.readOn()
    const wholeCount = (await Promise.all(stalled.map(({ answer }) => answer))).filter(({ isWhole }) => isWhole).length
    const lines = listDropped().slice(linesBefore)
    assert.equal(wholeCount + lines.length, stalled.length, lines.join('\n'))
    assert.match(lines[0], /request=r0\.\d+ workspace=camp bytes=\d{7,} budget=16777216 idleMs=\d{4,}/)
    assert.equal(countEndedUnread(), 0)
    // Each endpoint connection may deliver one more chunk after the budget is reached.
    assert.ok(mostHeld < budgetMb * mb + 20 * 2 * 64 * 1024, `${mostHeld / mb} MB held`)
    assert.ok(mostRss - rssBefore < 8 * budgetMb * mb, `${(mostRss - rssBefore) / mb} MB more`)
  })
}

test('callers that read slowly but steadily get whole answers, though together they exceed the budget', async () => {
  const linesBefore = listDropped().length
  const callers = Array.from({ length: 5 }, () => call(`/again/plain-${12 * mb}`).readOn(4000))
  for (const caller of callers) assert.equal((await caller.answer).isWhole, true)
  assert.equal(listDropped().length, linesBefore)
})

const broken = [
  { name: 'in its first part is sent again', breakAt: 128 * 1024, runs: 2, isWhole: true },
  { name: 'after it has begun to be relayed is cut off, not sent again', breakAt: 2 * mb, runs: 1, isWhole: false }
]

for (const { name, breakAt, runs, isWhole } of broken) {
  test(`a repeatable call whose answer fails ${name}`, async () => {
    const path = `/again/plain-${4 * mb}?${name.length}`
    plan.breakAt = breakAt
    const answer = await call(path).readOn().answer
    assert.deepEqual([answer.isWhole, endpoints.flatMap(endpoint => endpoint.runs).filter(one => one === path).length], [isWhole, runs])
  })
}

test('a caller that disconnects frees its bytes at once', async () => {
  const { answers } = deployment.gateways[0]
  const caller = call(`/again/plain-${12 * mb}`)
  await waitFor(() => answers.totalBytes > 4 * mb, 'bytes held')
  caller.leave()
  await waitFor(() => answers.totalBytes === 0 && deployment.gateways[0].inFlight === 0, 'bytes freed')
})

test('a planned stop waits for an answer that is still being read', async () => {
  const caller = call(`/again/plain-${12 * mb}`)
  await waitFor(() => deployment.gateways[0].answers.totalBytes > 4 * mb, 'bytes held')
  const stopped = deployment.gateways[0].stop()
  caller.readOn(4000)
  assert.equal((await caller.answer).isWhole, true)
  assert.equal(await stopped, 0)
})
