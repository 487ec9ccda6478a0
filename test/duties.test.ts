/**
 * The calls that one registry makes for all, over real sockets, to a stand-in of
 * the platform that does not check fencing tokens: each window's usage is reported
 * with the same counts by every holder and retry, and no two registries call at once.
 */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { StandinPlatform, findFencingViolations } from '../src/standin/index.js'
import type { PlatformFault } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

const leaseMs = 800
const windowSeconds = 1
let deployment: RouteDeployment
let platform: StandinPlatform

interface Report {
  readonly window: number
  readonly counts: Record<string, number>
}

before(async () => {
  platform = new StandinPlatform()
  await platform.listen('127.0.0.1')
  const duties = { address: `127.0.0.1:${platform.port}`, leaseMs, usageWindowSeconds: windowSeconds, usageLateSeconds: 3 }
  deployment = await RouteDeployment.start({ number: 35, registries: 3, gateways: 2, registry: { duties }, gateway: { usageWindowSeconds: windowSeconds } })
  const sizing = { least: 1, most: 4, bootMs: 500, spotPrice: 0.25, zonePrices: { 'zone-a': 1 } }
  await deployment.putDocument(composeDocument(1, { services: [{ name: 'desk', sizing }] }))
  await deployment.addEndpoint('desk')
})
after(async () => {
  await deployment.stop()
  platform.close()
})

function listReports (): Report[] { return platform.listAcceptedBodies('/v1/usage').map(body => JSON.parse(body) as Report) }

/** Reports of a window whose counts differ. */
function findConflicts (): number[] {
  const bodies = new Map<number, string>()
  const conflicts: number[] = []
  for (const report of listReports()) {
    const text = JSON.stringify(report.counts)
    if ((bodies.get(report.window) ?? text) !== text) conflicts.push(report.window)
    bodies.set(report.window, text)
  }
  return conflicts
}

/** Total requests of all windows reported so far. */
function countReported (): number {
  const windows = new Map(listReports().map(({ window, counts }) => [window, counts.camp ?? 0]))
  return [...windows.values()].reduce((sum, one) => sum + one, 0)
}

async function askMany (count: number): Promise<void> {
  const paths = ['/again/x', '/stream/events-3']
  for (let i = 0; i < count; i++) {
    const answer = await deployment.ask(paths[i % 2], { gateway: i % 2 })
    assert.equal(answer.status, 200)
  }
}

let asked = 0

const faults: readonly { fault: PlatformFault, name: string }[] = [
  { fault: 'none', name: 'no fault' },
  { fault: 'lose', name: 'lost responses' },
  { fault: 'busy', name: 'a platform that is overloaded' },
  { fault: 'error', name: 'a platform that responds with an error' },
  { fault: 'refuse', name: 'a platform that refuses calls' },
  { fault: 'silent', name: 'a platform that does not respond' },
  { fault: 'garbage', name: 'malformed responses' }
]

for (const { fault, name } of faults) {
  test(`usage is reported once for each window: ${name}`, async () => {
    platform.fault = fault
    await askMany(10)
    asked += 10
    const before = platform.calls.length
    await waitFor(() => platform.calls.length > before + (fault === 'silent' ? 1 : 2), 'calls')
    platform.fault = 'none'
    await waitFor(() => countReported() >= asked, `${asked} requests reported`)
    assert.equal(countReported(), asked)
    assert.deepEqual(findConflicts(), [])
  })
}

test('a planned stop of the lease holder, then a crash of the next one, lose no window and cause no conflicting reports', async () => {
  for (const stop of ['stop', 'kill'] as const) {
    const leader = deployment.registries.findIndex(one => one?.keeperLog.isLeader === true)
    await askMany(6)
    asked += 6
    await deployment.registries[leader]?.[stop]()
    deployment.registries[leader] = null
    await askMany(6)
    asked += 6
    await waitFor(() => countReported() >= asked, `${asked} requests reported after the ${stop}`)
    assert.equal(countReported(), asked)
    await deployment.startRegistry(leader, false)
    await waitFor(() => deployment.registries.some(one => one?.keeperLog.isLeader === true), 'a leader')
  }
  assert.deepEqual(findConflicts(), [])
  assert.ok(new Set(platform.calls.map(({ holder }) => holder)).size >= 2)
})

test('endpoints of both kinds are ordered in the zone, within its limits', async () => {
  const orders = platform.listAcceptedBodies('/v1/endpoint-orders').map(body => JSON.parse(body) as { zone: string, spot: boolean, count: number })
  assert.ok(orders.some(({ spot }) => spot))
  for (const { zone, count } of orders) assert.ok(zone === 'zone-a' && count >= 0 && count <= 4, `${zone} ${count}`)
})

test('throughout the tests, only one registry called at a time', () => {
  assert.deepEqual(findFencingViolations(platform.calls, leaseMs), [])
})
