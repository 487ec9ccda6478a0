import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { StandinEndpoint } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

const headers = { 'x-wrenlane-tokens': '4500,20', 'x-wrenlane-prompt-parts': 'shared:4000,own:500' }
const fetchHeader = 'x-wrenlane-fetch-from'
let deployment: RouteDeployment
let endpoints: StandinEndpoint[]

before(async () => {
  deployment = await RouteDeployment.start({ number: 41, registries: 1, gateways: 2 })
  const engine = { slots: 8, memoryTokens: 100_000, transfer: { tokenBytes: 1000, bytesPerMs: 1_000_000 } }
  await deployment.putDocument(composeDocument(1, { services: [{ name: 'desk', engine }] }))
  endpoints = [await deployment.addEndpoint('desk'), await deployment.addEndpoint('desk')]
})

after(async () => await deployment.stop())

async function askFrom (gateway: number, requestId: string, more: Record<string, string> = {}): Promise<{ status: number, fetchFrom: unknown, endpoint: string }> {
  const { status } = await deployment.ask('/stream/events-2', { gateway, requestId, headers: { ...headers, ...more } })
  const ran = endpoints.find(endpoint => endpoint.runs.some(run => run.requestId === requestId))
  const run = ran?.runs.find(one => one.requestId === requestId)
  return { status, fetchFrom: run?.headers[fetchHeader], endpoint: ran?.id ?? '' }
}

test('an engine without a shared prompt fetches it from the engine that processed it, also through another gateway', async () => {
  const first = await askFrom(0, 'first reader')
  assert.deepEqual([first.status, first.fetchFrom], [200, undefined])
  const holder = endpoints.find(({ id }) => id === first.endpoint)!
  const parts = [{ id: 'shared', tokens: 4000 }]
  await waitFor(() => deployment.gateways[1].fleet.findView(holder.id as never)?.cachedPrompts.countCachedTokens(parts) === 4000, 'the holder known to the other gateway')
  holder.fault = { type: 'full' }
  const second = await askFrom(1, 'second reader')
  holder.fault = { type: 'none' }
  assert.deepEqual([second.status, second.fetchFrom], [200, `${deployment.endpointHost}:${holder.port}`])
  assert.notEqual(second.endpoint, holder.id)
})

test('a caller can\'t choose the engine from which a prompt is fetched', async () => {
  const { status, fetchFrom } = await askFrom(0, 'caller names one', { [fetchHeader]: '10.9.9.9:1' })
  assert.equal(status, 200)
  assert.notEqual(fetchFrom, '10.9.9.9:1')
})
