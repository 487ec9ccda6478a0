import assert from 'node:assert/strict'
import { mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { test } from 'node:test'
import { until } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

async function withDeployment (number: number, run: (deployment: RouteDeployment) => Promise<void>, options: { readonly registries?: number, readonly gateways?: number } = {}): Promise<void> {
  const place = await RouteDeployment.start({ number, ...options })
  try {
    await run(place)
  } finally {
    await place.stop()
  }
}

function readVersion (body: string): number {
  return (JSON.parse(body) as { version: number }).version
}

async function readNewest (place: RouteDeployment, registry?: number): Promise<number> {
  let version = 0
  await until(async () => {
    const answer = await place.operate('GET', '/v1/routing', '', registry)
    if (answer.status === 200) version = readVersion(answer.body)
    return answer.status === 200
  }, 'a document read')
  return version
}

test('the seeds form one log at the first start, and others join it', () => withDeployment(21, async place => {
  await until(() => place.registries.every(one => (one?.keeperLog.replica?.members.learners.length ?? 0) === 1), 'the fourth let in')
  for (const registry of place.registries) assert.equal(registry?.keeperLog.replica?.members.voters.length, 3)
}, { registries: 4, gateways: 0 }))

test('documents: the highest version wins, whatever the order, and is read back byte for byte from any registry', () => withDeployment(22, async place => {
  const put = (version: number, more: object = {}) => place.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(version, more)), version % 3)
  const cases: readonly (readonly [version: number, status: number, newest: number])[] = [[5, 200, 5], [3, 200, 5], [9, 200, 9], [9, 200, 9], [8, 200, 9]]
  for (const [version, status, newest] of cases) {
    await until(async () => (await put(version, { services: [{ name: 'desk' }, { name: `only-${version}` }] })).status === status, `version ${version} taken`)
    assert.equal(await readNewest(place, 1), newest)
  }
  // Other content under the version held changes nothing.
  assert.equal((await put(9, { services: [{ name: 'desk' }, { name: 'other' }] })).status, 200)
  for (const registry of [0, 1, 2]) {
    const { body } = await place.operate('GET', '/v1/routing', '', registry)
    assert.equal(body, JSON.stringify(composeDocument(9, { services: [{ name: 'desk' }, { name: 'only-9' }] })))
  }
  // Racing operators, resent and reordered.
  await Promise.all([12, 11, 14, 13, 14, 10, 12].map(async (version, i) => await place.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(version)), i % 3)))
  await until(async () => await readNewest(place) === 14, 'the highest in force')
  await until(() => place.gateways.every(gateway => gateway.table?.version === 14), 'in force at the gateways')
}))

const invalid: readonly { name: string, text: string, status: number }[] = [
  { name: 'cut short', text: JSON.stringify(composeDocument(50)).slice(0, -9), status: 400 },
  { name: 'an unknown service', text: JSON.stringify(composeDocument(50, { services: [] })), status: 400 },
  { name: 'no weight', text: JSON.stringify(composeDocument(50)).replace('{"service":"desk"}', '{"service":"desk","weight":0}'), status: 400 },
  { name: 'no time-out', text: JSON.stringify(composeDocument(50)).replace('"timeoutMs":1500', '"timeoutMs":0'), status: 400 },
  { name: 'the same place twice', text: JSON.stringify(composeDocument(50)).replace('"prefix":"/again/"', '"prefix":"/once/"'), status: 400 },
  { name: 'a shared key', text: JSON.stringify(composeDocument(50, { workspaces: [{ name: 'a', keys: ['k'] }, { name: 'b', keys: ['k'] }] })), status: 400 },
  { name: 'an old version that is invalid', text: JSON.stringify(composeDocument(1, { services: [] })), status: 400 },
  { name: 'nothing at all', text: '', status: 400 },
  { name: 'too much', text: 'x'.repeat(2 ** 20 + 1), status: 413 }
]

test('invalid documents are refused, and what is in force stays', () => withDeployment(23, async place => {
  await place.putDocument(composeDocument(2))
  for (const { name, text, status } of invalid) {
    assert.equal((await place.operate('PUT', '/v1/routing', text)).status, status, name)
    assert.equal(await readNewest(place), 2, name)
  }
  assert.equal((await place.operate('PATCH', '/v1/routing', '{}')).status, 404)
  assert.equal((await place.operate('PUT', '/v1/endpoints/e', '{"service":')).status, 400)
}, { registries: 1 }))

test('what was acknowledged outlives the loss of every registry at once, also of one disk', () => withDeployment(24, async place => {
  for (let version = 1; version <= 45; version += 4) {
    await place.putDocument(composeDocument(version))
    for (const registry of place.registries) registry?.kill()
    if (version % 3 === 0) rmSync(join(place.folder, `registry-${version % 2}`), { recursive: true, force: true })
    for (let i = 0; i < 3; i++) await place.startRegistry(i, false)
    assert.equal(await readNewest(place), version)
    // The next loss comes once an emptied disk is a member again.
    await until(() => place.registries.some(one => one?.keeperLog.isLeader === true && one.keeperLog.replica?.members.voters.length === 3), 'three voters again')
  }
}))

test('a registry that is gone for good is replaced by an empty one elsewhere', () => withDeployment(25, async place => {
  await place.putDocument(composeDocument(7))
  place.registries[2]?.kill()
  place.registries[2] = null
  const fresh = await place.startRegistry(3, false)
  const voters = () => place.registries.find(one => one?.keeperLog.isLeader === true)?.keeperLog.replica?.members.voters ?? []
  await until(() => voters().includes(fresh.keeperLog.id) && voters().length === 3, 'the new one a voter')
  assert.ok(!voters().some(id => id.startsWith(`${place.registryHost(2)}#`)))
  // Now the next loss may come.
  place.registries[1]?.kill()
  place.registries[1] = null
  await until(async () => (await place.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(8)), 0)).status === 200, 'accepted again')
  assert.equal(await readNewest(place, 3), 8)
}))

test('without a quorum nothing is acknowledged and nothing read, but gateways go on', () => withDeployment(26, async place => {
  await place.putDocument(composeDocument(3))
  await place.addEndpoint('desk')
  for (const i of [0, 1]) {
    place.registries[i]?.kill()
    place.registries[i] = null
  }
  assert.equal((await place.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(4)), 2)).status, 503)
  assert.equal((await place.operate('GET', '/v1/routing', '', 2)).status, 503)
  assert.equal((await place.ask('/once/x')).status, 200)
}))

test('a gateway that starts late has the newest document before it calls itself ready', () => withDeployment(27, async place => {
  assert.equal(await place.isReady(0), 503)
  assert.equal((await place.ask('/once/x')).status, 503)
  await place.putDocument(composeDocument(3))
  await place.addEndpoint('desk')
  assert.equal(await place.isReady(0), 200)
  const late = await place.startGateway(1)
  await until(async () => await place.isReady(1) === 200, 'the late one ready')
  assert.equal(late.table?.version, 3)
  assert.equal((await place.ask('/once/x', { gateway: 1 })).status, 200)
}))

test('a registry that starts without a quorum tells gateways the document of its snapshot', () => withDeployment(43, async place => {
  for (let version = 1; version <= 45; version++) await place.putDocument(composeDocument(version))
  for (let i = 0; i < 3; i++) place.registries[i]?.kill()
  place.gateways[0].kill()
  place.registries[1] = null
  place.registries[2] = null
  const registry = await place.startRegistry(0, false)
  assert.ok((registry.keeperLog.store.stored.snapshot?.index ?? 0) > 1)
  const gateway = await place.startGateway(0)
  await until(() => (gateway.table?.version ?? 0) > 0, 'routes in force')
}))

test('a planned stop of a gateway cuts nothing, and tells callers to go elsewhere', () => withDeployment(28, async place => {
  await place.putDocument(composeDocument(3))
  const endpoint = await place.addEndpoint('desk')
  endpoint.eventMs = 20
  const running = Array.from({ length: 20 }, () => place.ask('/stream/events-40'))
  await until(() => endpoint.runs.length === 20, 'all under way')
  const stopped = place.gateways[0].stop()
  assert.equal(await place.isReady(0), 503)
  const late = await place.ask('/once/x')
  assert.deepEqual([late.status, late.headers.connection], [200, 'close'])
  for (const answer of await Promise.all(running)) assert.ok(answer.isWhole)
  assert.equal(await stopped, 0)
}, { registries: 1 }))

test('no word of an endpoint is lost that comes while a gateway presents itself', () => withDeployment(29, async place => {
  await place.putDocument(composeDocument(1))
  for (let i = 0; i < 12; i++) {
    place.gateways[0].kill()
    const started = place.startGateway(0)
    // Registers at another moment of the start each time; says it only once.
    await new Promise(resolve => setTimeout(resolve, i))
    const endpoint = await place.addEndpoint('desk')
    await started
    await until(() => place.gateways[0].fleet.findView(endpoint.id as never) !== undefined, 'the endpoint known')
  }
}, { registries: 1 }))

test('a request that comes before the first document waits for it', () => withDeployment(30, async place => {
  await place.addEndpoint('desk')
  const asked = place.ask('/once/x')
  await new Promise(resolve => setTimeout(resolve, 100))
  await place.putDocument(composeDocument(1))
  assert.equal((await asked).status, 200)
}, { registries: 1 }))

test('registries that start again know where endpoints were, and forget those that say nothing', () => withDeployment(31, async place => {
  await place.putDocument(composeDocument(1))
  const endpoint = await place.addEndpoint('desk')
  const leaving = await place.addEndpoint('desk')
  await place.operate('DELETE', `/v1/endpoints/${leaving.id}`)
  const saved = join(place.folder, 'registry-0', 'directory', 'endpoints.json')
  await until(async () => !(await readFile(saved, 'utf8').catch(() => leaving.id)).includes(leaving.id), 'the directory saved')
  place.gateways[0].kill()
  place.registries[0]?.kill()
  const registry = await place.startRegistry(0, false)
  const gateway = await place.startGateway(0)
  await until(() => gateway.fleet.findView(endpoint.id as never) !== undefined, 'the endpoint known')
  assert.equal(gateway.fleet.findView(leaving.id as never), undefined)
  assert.equal((await place.ask('/once/x')).status, 200)
  await until(() => registry.records.every(record => record.stage === 'lost'), 'the silent one lost')
}, { registries: 1 }))

test('a directory that can\'t be read costs nothing but its words', () => withDeployment(32, async place => {
  place.registries[0]?.kill()
  const folder = join(place.folder, 'registry-0', 'directory')
  for (const text of ['[{"id":', '[null, 3, {"id": "e"}]', '{}']) {
    mkdirSync(folder, { recursive: true })
    writeFileSync(join(folder, 'endpoints.json'), text)
    const registry = await place.startRegistry(0, false)
    assert.deepEqual(registry.records, [])
    registry.kill()
  }
}, { registries: 1 }))

test('boxes that start again know which engine holds a shared prompt', () => withDeployment(33, async place => {
  const engine = { slots: 8, memoryTokens: 100_000, transfer: { tokenBytes: 1000, bytesPerMs: 1_000_000 } }
  await place.putDocument(composeDocument(1, { services: [{ name: 'desk', engine }] }))
  const endpoint = await place.addEndpoint('desk')
  const parts = [{ id: 'shared', tokens: 4000 }, { id: 'own', tokens: 500 }]
  const headers = { 'x-wrenlane-tokens': '4500,20', 'x-wrenlane-prompt-parts': 'shared:4000,own:500' }
  assert.equal((await place.ask('/stream/events-3', { headers })).status, 200)
  const saved = join(place.folder, 'registry-0', 'directory', 'prompts.json')
  await until(async () => await readFile(saved, 'utf8').then(text => text.includes('shared'), () => false), 'the prompts saved')
  place.gateways[0].kill()
  place.registries[0]?.kill()
  await place.startRegistry(0, false)
  const gateway = await place.startGateway(0)
  await until(() => gateway.fleet.findView(endpoint.id as never)?.kept.countHeld(parts) === 4000, 'what the engine holds known')
}, { registries: 1 }))

// Gateways whose link opened before the disk did never learned that the registry is of their zone, and went on telling their
// work to a hub of another one, and hearing of it, across zones and later than they need.
test('gateways take the totals of their own zone again once its registry is back, also where its disk opens late', () => withDeployment(34, async place => {
  const hub = place.registryHost(0)
  const countChosen = (): number => place.lines.filter(line => line.includes('event=hub-chosen') && line.includes(`hub=${hub} `)).length
  await until(() => countChosen() === 1, 'the hub of the own zone')
  place.registries[0]?.kill()
  await until(() => place.lines.some(line => line.includes('event=hub-chosen') && line.includes(`before=${hub}`)), 'another hub')
  const folder = join(place.folder, 'registry-0')
  renameSync(folder, `${folder}.away`)
  writeFileSync(folder, '')
  const started = place.startRegistry(0, false)
  await until(() => place.lines.some(line => line.includes('event=disk-not-opened')), 'a disk that does not open')
  rmSync(folder)
  renameSync(`${folder}.away`, folder)
  await started
  await until(() => countChosen() === 2, 'the hub of the own zone again')
}))

// Seeds are settings of a moment. A registry that starts again knows the others from its log.
test('registries that start again find one another though their seeds are gone', () => withDeployment(36, async place => {
  await place.putDocument(composeDocument(4))
  const [seeds, others] = [[0, 1, 2], [3, 4]]
  await until(() => place.registries.some(one => (one?.keeperLog.replica?.members.learners.length ?? 0) === 2), 'the others let in')
  for (const i of [...seeds, ...others]) place.registries[i]?.kill()
  for (const i of [1, 2]) await place.startRegistry(i, false, ['127.36.9.9:7002'])
  assert.equal(await readNewest(place, 1), 4)
}, { registries: 5, gateways: 0 }))
