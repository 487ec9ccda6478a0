/**
 * A restarted endpoint keeps its id but none of its state. Guards against taking
 * its first registration, with sequence 1, for a late one of the earlier
 * incarnation: boxes would then wait for the requests that ran there until the
 * endpoint counts as lost.
 */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { PromptIndex, brandId } from '../src/core/index.js'
import type { EndpointId } from '../src/core/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import { createFleet, createRecord, createWork, desk } from './support/fleet-builder.js'

let deployment: RouteDeployment

before(async () => {
  deployment = await RouteDeployment.start({ number: 92 })
  await deployment.putDocument(composeDocument(1))
  for (let i = 0; i < 2; i++) await deployment.addEndpoint('desk')
})

after(() => deployment.stop())

function findStage (id: string): string | undefined {
  return deployment.registries[0]?.records.find(record => record.id === id)?.stage
}

function compose (more: object): string {
  const [endpoint] = deployment.endpoints
  return JSON.stringify({ service: 'desk', host: deployment.endpointHost, port: endpoint.port, zone: 'zone-a', slots: 8, stage: 'ready', ...more })
}

test('requests at an earlier incarnation of an endpoint are sent elsewhere as soon as the new one registers', async () => {
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'hang' }
  const asked = deployment.ask('/again/hangs', { requestId: 'hangs' })
  await waitFor(() => deployment.endpoints.some(({ runs }) => runs.length > 0), 'it runs')
  const [first, second] = deployment.endpoints[0].runs.length > 0 ? deployment.endpoints : [...deployment.endpoints].reverse()
  second.fault = { type: 'none' }
  first.fault = { type: 'none' }
  first.noteRestart()
  assert.equal((await asked).status, 200)
  assert.deepEqual([first.runs.length, second.runs.length], [1, 1])
})

test('a deregistration without an incarnation, right after a new one has registered, is taken to be the earlier incarnation\'s', async () => {
  const { id } = deployment.endpoints[0]
  const born = Date.now()
  await deployment.operate('PUT', `/v1/endpoints/${id}`, compose({ born, sequence: 1 }))
  assert.equal((await deployment.operate('DELETE', `/v1/endpoints/${id}`)).status, 200)
  assert.equal(findStage(id), 'ready')
})

test('an endpoint that deregistered is gone, and its next incarnation gets work again', async () => {
  const endpoint = await deployment.addEndpoint('desk')
  const { id } = endpoint
  await deployment.operate('DELETE', `/v1/endpoints/${id}`)
  await waitFor(() => findStage(id) === 'gone', 'it is gone')
  endpoint.noteRestart()
  await waitFor(() => findStage(id) === 'ready' && deployment.gateways[0].fleet.findView(id as EndpointId) !== undefined, 'its next life is known')
})

test('a new incarnation starts without the state kept for the earlier one', () => {
  const fleet = createFleet([createRecord('e1', { born: 10, sequence: 50 })])
  const old = fleet.findView(brandId('e1'))
  old?.health.noteUnreachable(0)
  old?.place(createWork(), { readTokens: 0, fetch: null }, 0)
  fleet.applyRecords([createRecord('e1', { born: 20, sequence: 1 })])
  const view = fleet.findView(brandId('e1'))
  assert.notEqual(view, old)
  assert.deepEqual([view?.running, view?.health.findState(1), old !== undefined && fleet.isReplaced(old)], [0, 'good', true])
  assert.equal(fleet.listUsable(desk, 1).length, 1)
})

test('registries forget the prompts that an earlier incarnation held', () => {
  const index = new PromptIndex()
  index.note([[brandId('e1'), [['shared', 100]], true], [brandId('e2'), [['shared', 100]], true]])
  const { version } = index
  index.forget(brandId('e1'))
  assert.deepEqual(index.prompts.map(([endpoint]) => endpoint), ['e2'])
  assert.ok(index.version > version)
})
