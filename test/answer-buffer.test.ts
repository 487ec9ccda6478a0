/** Callers that read slowly or not at all, over real sockets. Sizes exceed what the system's own buffers hold. */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { BulkEndpoint, PacedCaller } from '../src/standin/index.js'
import type { BreakPlan } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument, key, native } from './support/route-deployment.js'

const mb = 2 ** 20
const budgetMb = 16
const plan: BreakPlan = { breakAt: null }
/** Endpoints of users end a connection whose bytes stay unread for 3 s. */
const endpoints = [0, 1].map(i => new BulkEndpoint(`bulk-${i}`, native.endpointHeaders, 3000, plan))
let deployment: RouteDeployment

before(async () => {
  deployment = await RouteDeployment.start({ number: 61, registries: 1, gateways: 1, registry: { lostMs: 300_000 }, gateway: { answers: { budgetMb } } })
  const routes = composeDocument(1).routes.map(route => ({ ...route, timeoutMs: 20_000 }))
  await deployment.putDocument(Object.assign(composeDocument(1), { routes }))
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

function call (path: string): PacedCaller {
  return new PacedCaller(deployment.gatewayHost(0), 7003, path, { host: 'camp.example', ...native.composeCall(`r${Math.random()}`, key, 20_000) })
}

async function countWhole (callers: readonly PacedCaller[]): Promise<number> {
  return (await Promise.all(callers.map(({ isWhole }) => isWhole))).filter(Boolean).length
}

function listDropped (): string[] { return deployment.lines.filter(line => line.includes('event=answer-dropped')) }
function countEndedUnread (): number { return endpoints.reduce((sum, { endedUnread }) => sum + endedUnread, 0) }

for (const path of ['/again/plain-', '/stream/events-', '/again/chunked-']) {
  // Guards against endpoints that end an answer as a stalled caller leaves it unread: 80 of 80 were.
  test(`${path}N within the budget: read from the endpoint at once, and delivered whole to callers that stall`, async () => {
    const callers = [0, 1].map(() => call(`${path}${8 * mb}`))
    await waitFor(() => deployment.gateways[0].answers.totalBytes > 2 * mb && callers.every(({ bytes }) => bytes > 0), 'answers held')
    await waitFor(() => deployment.gateways[0].fleet.composeLoad(performance.now()).loads.length === 0, 'the endpoint done')
    assert.equal(await countWhole(callers.map(caller => caller.readOn())), 2)
    await waitFor(() => deployment.gateways[0].answers.totalBytes === 0, 'nothing held')
    assert.equal(countEndedUnread(), 0)
  })
}

for (const path of ['/again/plain-', '/stream/events-']) {
  // Guards against memory that grows with the number of stalled callers.
  test(`${path}N over the budget: stalled callers are ended and logged, others lose nothing`, async () => {
    const { answers } = deployment.gateways[0]
    const linesBefore = listDropped().length
    const rssBefore = process.memoryUsage().rss
    const stalled = Array.from({ length: 16 }, () => call(`${path}${12 * mb}`))
    // Node alone sees these read at intervals of more than a second.
    const steady = [0, 1].map(() => call(`${path}${8 * mb}`).readOn(800))
    const held: number[] = []
    const rss: number[] = []
    const watch = setInterval(() => {
      held.push(answers.totalBytes)
      rss.push(process.memoryUsage().rss)
    }, 5)
    try {
      while (listDropped().length === linesBefore) assert.equal(await call(`${path}${mb}`).readOn().isWhole, true)
      assert.equal(await countWhole(steady), 2)
      await waitFor(() => answers.totalBytes <= budgetMb * mb, 'the budget kept')
    } finally {
      clearInterval(watch)
    }
    const whole = await countWhole(stalled.map(caller => caller.readOn()))
    const lines = listDropped().slice(linesBefore)
    assert.equal(whole + lines.length, stalled.length, lines.join('\n'))
    assert.match(lines[0], /request=r0\.\d+ workspace=camp bytes=\d{7,} budget=16777216 idleMs=\d{4,}/)
    assert.equal(countEndedUnread(), 0)
    // Each exchange may hold 64 KB, and receive as much again, above the budget.
    assert.ok(Math.max(...held) < budgetMb * mb + 20 * 2 * 64 * 1024, `${Math.max(...held) / mb} MB held`)
    assert.ok(Math.max(...rss) - rssBefore < 8 * budgetMb * mb, `${(Math.max(...rss) - rssBefore) / mb} MB more`)
  })
}

test('callers that read slowly but steadily get whole answers, though together they exceed the budget', async () => {
  const linesBefore = listDropped().length
  assert.equal(await countWhole(Array.from({ length: 5 }, () => call(`/again/plain-${12 * mb}`).readOn(4000))), 5)
  assert.equal(listDropped().length, linesBefore)
})

const broken = [
  { name: 'in its first part is sent again', breakAt: 128 * 1024, runs: 2, isWhole: true },
  { name: 'after it has begun to be relayed is cut off, not sent again', breakAt: 2 * mb, runs: 1, isWhole: false }
]

for (const { name, breakAt, runs, isWhole } of broken) {
  test(`a repeatable call whose answer fails ${name}`, async () => {
    const path = `/again/plain-${4 * mb}?${breakAt}`
    plan.breakAt = breakAt
    assert.equal(await call(path).readOn().isWhole, isWhole)
    assert.equal(endpoints.flatMap(endpoint => endpoint.runs).filter(one => one === path).length, runs)
  })
}

test('a caller that disconnects frees its bytes at once; a planned stop waits for an answer that is being read', async () => {
  const [gateway] = deployment.gateways
  const leaving = call(`/again/plain-${12 * mb}`)
  await waitFor(() => gateway.answers.totalBytes > 4 * mb, 'bytes held')
  leaving.leave()
  await waitFor(() => gateway.answers.totalBytes === 0 && gateway.inFlight === 0, 'bytes freed')
  const reading = call(`/again/plain-${12 * mb}`)
  await waitFor(() => gateway.answers.totalBytes > 4 * mb, 'bytes held')
  const stopped = gateway.stop()
  assert.deepEqual([await reading.readOn(4000).isWhole, await stopped], [true, 0])
})
