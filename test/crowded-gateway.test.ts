import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

/** Requests a second over all gateways, each over a new connection, and how long each part lasts, s. */
const perSecond = 120
const seconds = 5
/** Least share of requests answered while most connections go to one gateway, of that before. */
const minShare = 0.75
let deployment: RouteDeployment

before(async () => {
  deployment = await RouteDeployment.start({ number: 146, gateways: 4 })
  await deployment.putDocument(composeDocument(1))
  for (let i = 0; i < 6; i++) await deployment.addEndpoint('desk', ['zone-a', 'zone-b', 'zone-c'][i % 3], 16)
})

after(async () => { await deployment.stop() })

/** Sends requests of each kind; nine in ten to the crowded gateway, if there is one. Returns how many were answered whole. */
async function play (crowded: number | null): Promise<number> {
  const calls: Promise<boolean>[] = []
  for (let i = 0; i < perSecond * seconds; i++) {
    const gateway = crowded === null || i % 10 === 0 ? i % 4 : crowded
    const path = ['/again/x', '/once/x', '/resume/events-10', '/stream/events-10'][i % 4]
    calls.push(deployment.ask(path, { gateway }).then(({ status, isWhole }) => status === 200 && isWhole))
    await sleep(1000 / perSecond)
  }
  return (await Promise.all(calls)).filter(isServed => isServed).length
}

test('requests are served at the first attempt while most new connections go to one gateway, then to another', async () => {
  const before = await play(null)
  for (const crowded of [1, 2]) {
    const served = await play(crowded)
    assert.ok(served >= minShare * before, `${served} served, ${before} before`)
  }
})
