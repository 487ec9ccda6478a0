import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { StandinEndpoint } from '../src/standin/index.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

/** The service `desk` has two endpoints of each of two software versions, `pair` one of each. */
let deployment: RouteDeployment
let endpoints: StandinEndpoint[]
let pair: StandinEndpoint[]
const path = '/resume/events-12'
const rounds = Array.from({ length: 16 }, (_, i) => i)

before(async () => {
  deployment = await RouteDeployment.start({ number: 203, gateways: 2 })
  const document = composeDocument(1)
  const { routes, services } = document
  const resume = { ...routes.find(route => 'name' in route && route.name === 'resume'), name: 'pair', prefix: '/pair/', services: [{ service: 'pair' }] }
  await deployment.putDocument(Object.assign(document, { routes: [...routes, resume], services: [...services, { name: 'pair' }] }))
  for (const software of ['v1', 'v2', 'v1', 'v2']) await deployment.addEndpoint('desk', 'zone-a', Infinity, software)
  endpoints = [...deployment.endpoints]
  for (const software of ['v1', 'v2']) await deployment.addEndpoint('pair', 'zone-a', Infinity, software)
  pair = deployment.endpoints.slice(endpoints.length)
})

after(async () => { await deployment.stop() })

function listVersions (body: string): string[] { return [...new Set([...body.matchAll(/ (v\d)\n/g)].map(([, version]) => version))] }

function findLastId (body: string): string { return [...body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? '' }

function setFault (fault: StandinEndpoint['fault'], isHit: (endpoint: StandinEndpoint) => boolean): void {
  for (const endpoint of endpoints) endpoint.fault = isHit(endpoint) ? fault : { type: 'none' }
}

test('a stream whose endpoint breaks off goes on at the version that began it, within one answer', async () => {
  for (const round of rounds) {
    setFault({ type: 'break', afterEvents: 3 }, endpoint => endpoint === endpoints[0] || endpoint === endpoints[1])
    const { body } = await deployment.ask(path, { requestId: `answer-${round}` })
    assert.equal(listVersions(body).length, 1)
    assert.equal(findLastId(body), '12')
  }
})

test('an answer whose version has no other endpoint is not continued at another version', async () => {
  for (const round of rounds) {
    pair[round % 2].fault = { type: 'break', afterEvents: 3 }
    pair[(round + 1) % 2].fault = { type: 'break', afterEvents: 6 }
    const { body } = await deployment.ask('/pair/events-12', { requestId: `alone-${round}` })
    assert.equal(listVersions(body).length, 1)
  }
})

test('a stream that its caller takes up at another gateway goes on at the version that began it', async () => {
  for (const round of rounds) {
    setFault({ type: 'break', afterEvents: 3 }, () => true)
    const broken = await deployment.ask(path, { requestId: `first-${round}` })
    const [began] = listVersions(broken.body)
    // The other version has more room.
    setFault({ type: 'full' }, endpoint => endpoint === endpoints.find(one => one.software === began))
    const rest = await deployment.ask(path, { requestId: `second-${round}`, gateway: 1, headers: { 'last-event-id': findLastId(broken.body), 'x-wrenlane-resumes': `first-${round}` } })
    assert.equal(rest.status, 200)
    assert.deepEqual(listVersions(broken.body + rest.body), [began])
    assert.equal(findLastId(rest.body), '12')
  }
})
