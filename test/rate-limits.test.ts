import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { formatNotices, readNotices } from '../src/bin/notice-report.js'
import type { GatewayBox } from '../src/gateway/index.js'
import { countAllowed, countMaxInWindow, settleMs, noticeReactionMs, windowMs } from '../src/soak/limit-bounds.js'
import type { StandinEndpoint } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

const gateways = 4
/** How long the limit is announced, and the pause between requests to each gateway during that time, ms. */
const namedMs = 9000
const pauseMs = 30

let deployment: RouteDeployment
let limited: StandinEndpoint

before(async () => {
  deployment = await RouteDeployment.start({ number: 46, registries: 3, gateways })
  await deployment.putDocument(composeDocument(1))
  limited = await deployment.addEndpoint('desk')
  await deployment.addEndpoint('desk', 'zone-b')
  await deployment.addEndpoint('desk', 'zone-c')
})
after(() => deployment.stop())

// Sends requests to every gateway repeatedly; resolves with the statuses that callers got.
async function call (ms: number): Promise<number[]> {
  const until = performance.now() + ms
  const statuses: number[] = []
  await Promise.all(Array.from({ length: gateways }, async (_, gateway) => {
    const agent = new Agent({ keepAlive: true })
    while (performance.now() < until) {
      statuses.push((await deployment.ask(gateway % 2 === 0 ? '/again/x' : '/once/x', { gateway, agent })).status)
      await sleep(pauseMs)
    }
    agent.destroy()
  }))
  return statuses
}

for (const limit of [2.6, 0.2]) {
  test(`an endpoint with a limit of ${limit} requests per second gets no more from all boxes together`, async () => {
    await call(500)
    limited.limit = limit
    const namedAt = performance.now()
    const statuses = await call(namedMs)
    const [notice] = await readNotices({ host: deployment.registryHost(1), port: 7002 })
    limited.limit = null
    const allowed = countAllowed(limit)
    const arrivals = limited.arrivals.map(({ at }) => at).filter(at => at >= namedAt + noticeReactionMs)
    const maxArrivals = countMaxInWindow(arrivals, windowMs, namedAt + settleMs)
    assert.ok(maxArrivals <= allowed, `${maxArrivals} in ${windowMs} ms, allowed ${allowed}`)
    assert.deepEqual([notice.endpoint, notice.service, notice.limit], [limited.id, 'desk', limit])
    assert.match(formatNotices([notice]), new RegExp(`${limited.id}  service desk  limit ${limit}/s  known for \\d+\\.\\d s, told by (gateway|registry)-\\d`))
    assert.ok(statuses.every(status => status === 200), 'the other endpoints serve the rest')
  })
}

test('a new gateway knows of a limit when it begins to serve', async () => {
  limited.limit = 1
  const isKnown = (gateway: GatewayBox): boolean => gateway.fleet.findView(limited.id as never)?.gate.limit === 1
  await waitFor(async () => {
    await call(100)
    return deployment.gateways.every(isKnown)
  }, 'the others know it')
  const gateway = await deployment.startGateway(gateways)
  await waitFor(() => gateway.isReady && gateway.fleet.findView(limited.id as never) !== undefined, 'the gateway serves')
  assert.ok(isKnown(gateway))
  limited.limit = null
})
