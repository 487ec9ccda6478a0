import assert from 'node:assert/strict'
import { mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { test } from 'node:test'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

async function withDeployment (number: number, run: (deployment: RouteDeployment) => Promise<void>, options: { readonly registries?: number, readonly gateways?: number } = {}): Promise<void> {
  const deployment = await RouteDeployment.start({ number, ...options })
  try {
    await run(deployment)
  } finally {
    await deployment.stop()
  }
}

function readVersion (body: string): number {
  return (JSON.parse(body) as { version: number }).version
}

async function readNewest (deployment: RouteDeployment, registry?: number): Promise<number> {
  let version = 0
  await waitFor(async () => {
    const answer = await deployment.operate('GET', '/v1/routing', '', registry)
    if (answer.status === 200) version = readVersion(answer.body)
    return answer.status === 200
  }, 'a document read')
  return version
}

test('the seeds form one log on the first start, and other registries join it', () => withDeployment(21, async deployment => {
  await waitFor(() => deployment.registries.every(one => (one?.keeperLog.replica?.members.learners.length ?? 0) === 1), 'the fourth added as a learner')
  for (const registry of deployment.registries) assert.equal(registry?.keeperLog.replica?.members.voters.length, 3)
}, { registries: 4, gateways: 0 }))

test('documents: the highest version wins, whatever the order, and is read back byte for byte from any registry', () => withDeployment(22, async deployment => {
  const put = (version: number, more: object = {}) => deployment.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(version, more)), version % 3)
  const cases: readonly (readonly [version: number, status: number, newest: number])[] = [[5, 200, 5], [3, 200, 5], [9, 200, 9], [9, 200, 9], [8, 200, 9]]
  for (const [version, status, newest] of cases) {
    await waitFor(async () => (await put(version, { services: [{ name: 'desk' }, { name: `only-${version}` }] })).status === status, `version ${version} taken`)
    assert.equal(await readNewest(deployment, 1), newest)
  }
  // Other content under the active version changes nothing.
  assert.equal((await put(9, { services: [{ name: 'desk' }, { name: 'other' }] })).status, 200)
  for (const registry of [0, 1, 2]) {
    const { body } = await deployment.operate('GET', '/v1/routing', '', registry)
    assert.equal(body, JSON.stringify(composeDocument(9, { services: [{ name: 'desk' }, { name: 'only-9' }] })))
  }
  // Concurrent puts, with repeats and out of order.
  await Promise.all([12, 11, 14, 13, 14, 10, 12].map(async (version, i) => await deployment.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(version)), i % 3)))
  await waitFor(async () => await readNewest(deployment) === 14, 'the highest version active')
  await waitFor(() => deployment.gateways.every(gateway => gateway.table?.version === 14), 'active at the gateways')
}))

const invalid: readonly { name: string, text: string, status: number }[] = [
  { name: 'truncated JSON', text: JSON.stringify(composeDocument(50)).slice(0, -9), status: 400 },
  { name: 'an unknown service', text: JSON.stringify(composeDocument(50, { services: [] })), status: 400 },
  { name: 'zero weight', text: JSON.stringify(composeDocument(50)).replace('{"service":"desk"}', '{"service":"desk","weight":0}'), status: 400 },
  { name: 'zero time-out', text: JSON.stringify(composeDocument(50)).replace('"timeoutMs":1500', '"timeoutMs":0'), status: 400 },
  { name: 'a duplicate route prefix', text: JSON.stringify(composeDocument(50)).replace('"prefix":"/again/"', '"prefix":"/once/"'), status: 400 },
  { name: 'a key shared by two workspaces', text: JSON.stringify(composeDocument(50, { workspaces: [{ name: 'a', keys: ['k'] }, { name: 'b', keys: ['k'] }] })), status: 400 },
  { name: 'an old version that is invalid', text: JSON.stringify(composeDocument(1, { services: [] })), status: 400 },
  { name: 'an empty body', text: '', status: 400 },
  { name: 'a body over the limit', text: 'x'.repeat(2 ** 20 + 1), status: 413 }
]

test('invalid documents are rejected, and the active one stays', () => withDeployment(23, async deployment => {
  await deployment.putDocument(composeDocument(2))
  for (const { name, text, status } of invalid) {
    assert.equal((await deployment.operate('PUT', '/v1/routing', text)).status, status, name)
    assert.equal(await readNewest(deployment), 2, name)
  }
  assert.equal((await deployment.operate('PATCH', '/v1/routing', '{}')).status, 404)
  assert.equal((await deployment.operate('PUT', '/v1/endpoints/e', '{"service":')).status, 400)
}, { registries: 1 }))

test('acknowledged documents survive a crash of all registries at once, including the loss of one disk', () => withDeployment(24, async deployment => {
  for (let version = 1; version <= 45; version += 4) {
    await deployment.putDocument(composeDocument(version))
    for (const registry of deployment.registries) registry?.kill()
    if (version % 3 === 0) rmSync(join(deployment.folder, `registry-${version % 2}`), { recursive: true, force: true })
    for (let i = 0; i < 3; i++) await deployment.startRegistry(i, false)
    assert.equal(await readNewest(deployment), version)
    // The next crash waits until the replica with the emptied disk is a voter again.
    await waitFor(() => deployment.registries.some(one => one?.keeperLog.isLeader === true && one.keeperLog.replica?.members.voters.length === 3), 'three voters again')
  }
}))

test('a permanently lost registry is replaced by an empty one on another host', () => withDeployment(25, async deployment => {
  await deployment.putDocument(composeDocument(7))
  deployment.registries[2]?.kill()
  deployment.registries[2] = null
  const fresh = await deployment.startRegistry(3, false)
  const voters = () => deployment.registries.find(one => one?.keeperLog.isLeader === true)?.keeperLog.replica?.members.voters ?? []
  // The new one may first take over the vote of an earlier one of its zone, which then gets that of the lost one.
  const isReplaced = () => voters().length === 3 && !voters().some(id => id.startsWith(`${deployment.registryHost(2)}#`))
  await waitFor(() => voters().includes(fresh.keeperLog.id) && isReplaced(), 'the new one a voter, and the lost one none')
  // The log now tolerates the next failure.
  deployment.registries[1]?.kill()
  deployment.registries[1] = null
  await waitFor(async () => (await deployment.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(8)), 0)).status === 200, 'puts accepted again')
  assert.equal(await readNewest(deployment, 3), 8)
}))

test('without a quorum puts and reads fail, but gateways keep serving', () => withDeployment(26, async deployment => {
  await deployment.putDocument(composeDocument(3))
  await deployment.addEndpoint('desk')
  for (const i of [0, 1]) {
    deployment.registries[i]?.kill()
    deployment.registries[i] = null
  }
  assert.equal((await deployment.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(4)), 2)).status, 503)
  assert.equal((await deployment.operate('GET', '/v1/routing', '', 2)).status, 503)
  assert.equal((await deployment.ask('/once/x')).status, 200)
}))

test('a gateway that starts late has the newest document before it reports ready', () => withDeployment(27, async deployment => {
  assert.equal(await deployment.isReady(0), 503)
  assert.equal((await deployment.ask('/once/x')).status, 503)
  await deployment.putDocument(composeDocument(3))
  await deployment.addEndpoint('desk')
  assert.equal(await deployment.isReady(0), 200)
  const late = await deployment.startGateway(1)
  await waitFor(async () => await deployment.isReady(1) === 200, 'the late gateway ready')
  assert.equal(late.table?.version, 3)
  assert.equal((await deployment.ask('/once/x', { gateway: 1 })).status, 200)
}))

test('a registry that starts without a quorum serves gateways the document of its snapshot', () => withDeployment(43, async deployment => {
  for (let version = 1; version <= 45; version++) await deployment.putDocument(composeDocument(version))
  for (let i = 0; i < 3; i++) deployment.registries[i]?.kill()
  deployment.gateways[0].kill()
  deployment.registries[1] = null
  deployment.registries[2] = null
  const registry = await deployment.startRegistry(0, false)
  assert.ok((registry.keeperLog.store.stored.snapshot?.index ?? 0) > 1)
  const gateway = await deployment.startGateway(0)
  await waitFor(() => (gateway.table?.version ?? 0) > 0, 'routes active')
}))

test('a planned stop of a gateway breaks no stream, and closes connections of new requests', () => withDeployment(28, async deployment => {
  await deployment.putDocument(composeDocument(3))
  const endpoint = await deployment.addEndpoint('desk')
  endpoint.eventMs = 20
  const running = Array.from({ length: 20 }, () => deployment.ask('/stream/events-40'))
  await waitFor(() => endpoint.runs.length === 20, 'all requests running')
  const stopped = deployment.gateways[0].stop()
  assert.equal(await deployment.isReady(0), 503)
  const late = await deployment.ask('/once/x')
  assert.deepEqual([late.status, late.headers.connection], [200, 'close'])
  for (const answer of await Promise.all(running)) assert.ok(answer.isWhole)
  assert.equal(await stopped, 0)
}, { registries: 1 }))

test('no registration is lost that arrives while a gateway connects', () => withDeployment(29, async deployment => {
  await deployment.putDocument(composeDocument(1))
  for (let i = 0; i < 12; i++) {
    deployment.gateways[0].kill()
    const started = deployment.startGateway(0)
    // Registers once, at a different moment of the gateway's start each time.
    await new Promise(resolve => setTimeout(resolve, i))
    const endpoint = await deployment.addEndpoint('desk')
    await started
    await waitFor(() => deployment.gateways[0].fleet.findView(endpoint.id as never) !== undefined, 'the endpoint known')
  }
}, { registries: 1 }))

test('a request that arrives before the first document waits for it', () => withDeployment(30, async deployment => {
  await deployment.addEndpoint('desk')
  const asked = deployment.ask('/once/x')
  await new Promise(resolve => setTimeout(resolve, 100))
  await deployment.putDocument(composeDocument(1))
  assert.equal((await asked).status, 200)
}, { registries: 1 }))

test('restarted registries restore the saved endpoints, and mark those without heartbeats as lost', () => withDeployment(31, async deployment => {
  await deployment.putDocument(composeDocument(1))
  const endpoint = await deployment.addEndpoint('desk')
  const leaving = await deployment.addEndpoint('desk')
  await deployment.operate('DELETE', `/v1/endpoints/${leaving.id}`)
  const saved = join(deployment.folder, 'registry-0', 'directory', 'endpoints.json')
  await waitFor(async () => !(await readFile(saved, 'utf8').catch(() => leaving.id)).includes(leaving.id), 'the directory saved')
  deployment.gateways[0].kill()
  deployment.registries[0]?.kill()
  const registry = await deployment.startRegistry(0, false)
  const gateway = await deployment.startGateway(0)
  await waitFor(() => gateway.fleet.findView(endpoint.id as never) !== undefined, 'the endpoint known')
  assert.equal(gateway.fleet.findView(leaving.id as never), undefined)
  assert.equal((await deployment.ask('/once/x')).status, 200)
  await waitFor(() => registry.records.every(record => record.stage === 'lost'), 'the silent endpoint lost')
}, { registries: 1 }))

test('a registry starts with an empty directory where the saved one is unreadable', () => withDeployment(32, async deployment => {
  deployment.registries[0]?.kill()
  const folder = join(deployment.folder, 'registry-0', 'directory')
  for (const text of ['[{"id":', '[null, 3, {"id": "e"}]', '{}']) {
    mkdirSync(folder, { recursive: true })
    writeFileSync(join(folder, 'endpoints.json'), text)
    const registry = await deployment.startRegistry(0, false)
    assert.deepEqual(registry.records, [])
    registry.kill()
  }
}, { registries: 1 }))

test('restarted boxes know which engine has cached a shared prompt', () => withDeployment(33, async deployment => {
  const engine = { slots: 8, memoryTokens: 100_000, transfer: { tokenBytes: 1000, bytesPerMs: 1_000_000 } }
  await deployment.putDocument(composeDocument(1, { services: [{ name: 'desk', engine }] }))
  const endpoint = await deployment.addEndpoint('desk')
  const parts = [{ id: 'shared', tokens: 4000 }, { id: 'own', tokens: 500 }]
  const headers = { 'x-wrenlane-tokens': '4500,20', 'x-wrenlane-prompt-parts': 'shared:4000,own:500' }
  assert.equal((await deployment.ask('/stream/events-3', { headers })).status, 200)
  const saved = join(deployment.folder, 'registry-0', 'directory', 'prompts.json')
  await waitFor(async () => await readFile(saved, 'utf8').then(text => text.includes('shared'), () => false), 'the prompts saved')
  deployment.gateways[0].kill()
  deployment.registries[0]?.kill()
  await deployment.startRegistry(0, false)
  const gateway = await deployment.startGateway(0)
  await waitFor(() => gateway.fleet.findView(endpoint.id as never)?.cachedPrompts.countCachedTokens(parts) === 4000, 'the cached prompt known')
}, { registries: 1 }))

// Guards against gateways staying with a hub in another zone: a gateway whose link opened before the registry's disk did never
// received the registry's zone, so it kept exchanging load reports across zones, with added delay.
test('gateways switch back to the hub of their own zone once its registry restarts, even if its disk opens late', () => withDeployment(34, async deployment => {
  const hub = deployment.registryHost(0)
  const countChosen = (): number => deployment.lines.filter(line => line.includes('event=hub-chosen') && line.includes(`hub=${hub} `)).length
  await waitFor(() => countChosen() === 1, 'the hub of its own zone chosen')
  deployment.registries[0]?.kill()
  await waitFor(() => deployment.lines.some(line => line.includes('event=hub-chosen') && line.includes(`before=${hub}`)), 'another hub chosen')
  const folder = join(deployment.folder, 'registry-0')
  renameSync(folder, `${folder}.away`)
  writeFileSync(folder, '')
  const started = deployment.startRegistry(0, false)
  await waitFor(() => deployment.lines.some(line => line.includes('event=disk-not-opened')), 'the disk failing to open')
  rmSync(folder)
  renameSync(`${folder}.away`, folder)
  await started
  await waitFor(() => countChosen() === 2, 'the hub of its own zone chosen again')
}))

// Seeds may be outdated by a restart. A restarted registry takes the other members from its log.
test('restarted registries find each other without their seeds', () => withDeployment(36, async deployment => {
  await deployment.putDocument(composeDocument(4))
  const [seeds, others] = [[0, 1, 2], [3, 4]]
  await waitFor(() => deployment.registries.some(one => (one?.keeperLog.replica?.members.learners.length ?? 0) === 2), 'the others added as learners')
  for (const i of [...seeds, ...others]) deployment.registries[i]?.kill()
  for (const i of [1, 2]) await deployment.startRegistry(i, false, ['127.36.9.9:7002'])
  assert.equal(await readNewest(deployment, 1), 4)
}, { registries: 5, gateways: 0 }))

test('two planned removals in turn ended the quorum for good, though both registries had successors', () => withDeployment(47, async deployment => {
  await deployment.putDocument(composeDocument(1))
  const successors = [await deployment.startRegistry(3, false), await deployment.startRegistry(4, false)]
  const voters = () => deployment.registries.find(one => one?.keeperLog.isLeader === true)?.keeperLog.replica?.members.voters ?? []
  await waitFor(() => voters().length === 3 && successors.every(one => voters().includes(one.keeperLog.id)), 'the successors vote')
  for (const i of [0, 1]) {
    const registry = deployment.registries[i]
    deployment.registries[i] = null
    await registry?.stop()
  }
  await waitFor(async () => (await deployment.operate('PUT', '/v1/routing', JSON.stringify(composeDocument(2)))).status === 200, 'a document is taken')
  assert.equal(await readNewest(deployment), 2)
}, { gateways: 0 }))
