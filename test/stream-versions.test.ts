import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { StandinEndpoint } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { CallAnswer } from './support/route-deployment.js'

/** Two endpoints of each of two software versions. The service `pair` has one of each, `left` and `right` have three of one version. */
let deployment: RouteDeployment
let endpoints: StandinEndpoint[]
let pair: StandinEndpoint[]
const services = new Map<StandinEndpoint, string>()
const path = '/resume/events-12'
const rounds = Array.from({ length: 16 }, (_, i) => i)

before(async () => {
  deployment = await RouteDeployment.start({ number: 143, gateways: 3 })
  const document = composeDocument(1)
  const { routes, workspaces } = document
  const resume = routes.find(route => 'name' in route && route.name === 'resume')
  const pairRoute = { ...resume, name: 'pair', prefix: '/pair/', services: [{ service: 'pair' }] }
  const splitRoute = { ...resume, name: 'split', prefix: '/split/', services: [{ service: 'left' }, { service: 'right' }] }
  await deployment.putDocument(Object.assign(document, {
    routes: [...routes, pairRoute, splitRoute],
    services: [...document.services, { name: 'pair' }, { name: 'left' }, { name: 'right' }],
    workspaces: [...workspaces, { name: 'other', keys: ['other-key'], priority: 1 }]
  }))
  for (const software of ['v1', 'v2', 'v1', 'v2']) await deployment.addEndpoint('desk', 'zone-a', Infinity, software)
  endpoints = [...deployment.endpoints]
  for (const software of ['v1', 'v2']) await deployment.addEndpoint('pair', 'zone-a', Infinity, software)
  pair = deployment.endpoints.slice(endpoints.length)
  for (const service of ['left', 'right', 'left', 'right', 'left', 'right']) services.set(await deployment.addEndpoint(service, 'zone-a', Infinity, 'v1'), service)
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

/** Starts a stream that breaks off after three events. */
async function begin (requestId: string, gateway = 0, streamPath = path): Promise<CallAnswer> {
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'break', afterEvents: 3 }
  const broken = await deployment.ask(streamPath, { requestId, gateway })
  for (const endpoint of deployment.endpoints) endpoint.fault = { type: 'none' }
  return broken
}

function takeUp (requestId: string, resumes: string, gateway: number, streamPath = path): Promise<CallAnswer> {
  return deployment.ask(streamPath, { requestId, gateway, headers: { 'last-event-id': '3', 'x-wrenlane-resumes': resumes } })
}

function countRuns (requestId: string): number { return deployment.endpoints.flatMap(({ runs }) => runs).filter(run => run.requestId === requestId).length }

test('a stream that its caller takes up at another gateway goes on at the version that began it', async () => {
  for (const round of rounds) {
    const broken = await begin(`first-${round}`)
    const [began] = listVersions(broken.body)
    // The other version has more room.
    setFault({ type: 'full' }, endpoint => endpoint === endpoints.find(one => one.software === began))
    const rest = await takeUp(`second-${round}`, `first-${round}`, 1)
    assert.equal(rest.status, 200)
    assert.deepEqual(listVersions(broken.body + rest.body), [began])
    assert.equal(findLastId(rest.body), '12')
  }
})

test('a stream that is taken up twice goes on at the version that began it', async () => {
  for (const round of rounds) {
    const first = await begin(`taken-${round}`)
    for (const endpoint of endpoints) endpoint.fault = { type: 'break', afterEvents: 6 }
    const second = await takeUp(`taken-again-${round}`, `taken-${round}`, 1)
    for (const endpoint of endpoints) endpoint.fault = { type: 'none' }
    const third = await deployment.ask(path, { gateway: 2, headers: { 'last-event-id': findLastId(second.body), 'x-wrenlane-resumes': `taken-${round}` } })
    assert.equal(listVersions(first.body + second.body + third.body).length, 1)
    assert.equal(findLastId(third.body), '12')
  }
})

test('a stream of a route with two services goes on at the service that began it', async () => {
  for (const round of rounds) {
    const name = `split-${round}`
    await begin(name, 0, '/split/events-12')
    const rest = await takeUp(`${name} again`, name, 1, '/split/events-12')
    const runners = [...services].filter(([{ runs }]) => runs.some(run => run.requestId === name || run.requestId === `${name} again`))
    assert.equal(rest.status, 200)
    assert.equal(new Set(runners.map(([, service]) => service)).size, 1)
  }
})

/** Requests that name no stream which this caller may take up. */
const unresolved: readonly { name: string, path?: string, headers: Record<string, string>, status: number, error: string }[] = [
  { name: 'an unknown id', headers: { 'last-event-id': '3', 'x-wrenlane-resumes': 'nobody' }, status: 503, error: 'stream-unknown' },
  { name: 'its own id', headers: { 'last-event-id': '3', 'x-wrenlane-resumes': 'its own id' }, status: 400, error: 'bad-request' },
  { name: 'a stream of another route', path: '/pair/events-12', headers: { 'last-event-id': '3', 'x-wrenlane-resumes': 'known' }, status: 503, error: 'stream-unknown' },
  { name: 'a stream of another workspace', headers: { authorization: 'Bearer other-key', 'last-event-id': '3', 'x-wrenlane-resumes': 'known' }, status: 503, error: 'stream-unknown' },
  { name: 'no last event', headers: { 'x-wrenlane-resumes': 'known' }, status: 400, error: 'bad-request' },
  { name: 'a last event, but no stream', headers: { 'last-event-id': '3' }, status: 400, error: 'bad-request' }
]

for (const { name, headers, status, error, ...more } of unresolved) {
  test(`a request that names ${name} is refused as ${error} and doesn't run`, async () => {
    await begin('known')
    const answer = await deployment.ask(more.path ?? path, { requestId: name, gateway: 1, headers })
    assert.equal(answer.status, status)
    assert.equal((JSON.parse(answer.body) as { error: string }).error, error)
    assert.equal((JSON.parse(answer.body) as { outcome: string }).outcome, 'not-run')
    assert.equal(answer.headers['retry-after'] !== undefined, status === 503)
    assert.equal(countRuns(name), 0)
  })
}

test('a stream whose version no longer serves ends at once, and its caller learns why', async () => {
  const broken = await begin('gone', 0, '/pair/events-12')
  const [began] = listVersions(broken.body)
  const last = pair.find(({ software }) => software === began) as StandinEndpoint
  await deployment.register(last, 'pair', 'draining')
  await waitFor(() => deployment.gateways.every(({ fleet }) => fleet.findView(last.id as never)?.record.stage === 'draining'), 'the endpoint draining')
  const rest = await deployment.ask('/pair/events-12', { requestId: 'gone again', gateway: 1, deadlineMs: 60_000, headers: { 'last-event-id': '3', 'x-wrenlane-resumes': 'gone' } })
  assert.equal(rest.status, 410)
  assert.equal((JSON.parse(rest.body) as { error: string }).error, 'stream-version-gone')
  assert.equal(countRuns('gone again'), 0)
})

test('a stream that broke off before all registries restarted goes on at the version that began it', async () => {
  const broken = await begin('before the restart', 0)
  for (const registry of deployment.registries) registry?.kill()
  await Promise.all(deployment.registries.map((_, i) => deployment.startRegistry(i, false)))
  let rest: CallAnswer | undefined
  await waitFor(async () => (rest = await takeUp('after the restart', 'before the restart', 1)).status === 200, 'the stream known again')
  assert.deepEqual(listVersions(rest?.body ?? ''), listVersions(broken.body))
  // Restored endpoints that send no heartbeat count as lost.
  for (const endpoint of endpoints) await deployment.register(endpoint, 'desk', 'ready')
})

test('a stream whose gateway was killed right after its first event goes on at the version that began it', async () => {
  for (const round of rounds.slice(0, 4)) {
    const broken = await deployment.ask(path, { requestId: `short-${round}`, gateway: 2, noteData: () => deployment.gateways[2].kill() })
    const rest = await deployment.ask(path, { gateway: 1, headers: { 'last-event-id': findLastId(broken.body), 'x-wrenlane-resumes': `short-${round}` } })
    assert.equal(rest.status, 200, rest.body)
    assert.deepEqual(listVersions(rest.body), listVersions(broken.body))
    await deployment.startGateway(2)
    await waitFor(async () => (await deployment.ask(path, { gateway: 2 })).status === 200, 'the gateway started again')
  }
})

test('a stream whose gateway was killed goes on at the version that began it', async () => {
  const broken = await Promise.all(rounds.map(round => begin(`killed-${round}`, 2)))
  deployment.gateways[2].kill()
  for (const round of rounds) {
    const rest = await takeUp(`after the kill ${round}`, `killed-${round}`, round % 2)
    assert.equal(rest.status, 200)
    assert.deepEqual(listVersions(rest.body), listVersions(broken[round].body))
  }
})

test('a gateway that reaches no registry continues its own streams only', async () => {
  const own = await begin('own', 1)
  await begin('from elsewhere', 0)
  for (const registry of deployment.registries) registry?.kill()
  await waitFor(async () => (await takeUp('without registries', 'from elsewhere', 1)).status === 503, 'the registries silent')
  const rest = await takeUp('own again', 'own', 1)
  assert.equal(rest.status, 200)
  assert.deepEqual(listVersions(rest.body), listVersions(own.body))
})
