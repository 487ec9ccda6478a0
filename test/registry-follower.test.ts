import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { VersionedText } from '../src/coordination/index.js'
import { SeenVersions, brandId } from '../src/core/index.js'
import { RegistryFollower } from '../src/gateway/registry-follower.js'
import { LinkPool, packDocument } from '../src/protocol/index.js'
import type { Link, PackedDocument, RouteMessage } from '../src/protocol/index.js'
import { EventLog } from '../src/runtime/index.js'
import { waitFor } from './support/deployment.js'

const host = '127.44.0.1'
const linkPort = 7000

const compose = (version: number): VersionedText => ({ version, text: JSON.stringify({ version, routes: [{ name: `r-${version}` }, { name: 'kept' }] }) })

function createFollower (now: () => number, takeDocument: (document: VersionedText) => void): RegistryFollower {
  const nothing = (): void => {}
  return new RegistryFollower({
    log: new EventLog('test', nothing),
    secret: null,
    linkPort,
    id: brandId('gateway'),
    zone: brandId('zone-a'),
    versions: new SeenVersions(),
    now,
    draw: () => 0,
    handleDocument: takeDocument,
    handlePrompts: nothing,
    handleCrashes: nothing,
    listCrashes: () => ({ ends: [], entries: [] }),
    handleRecords: nothing,
    handleGatewayCount: nothing,
    noteZoneAlive: nothing,
    handleNotices: nothing,
    describePaths: () => ({ relay: null, lost: [] }),
    handleRelays: () => {},
    handleSlots: () => {},
    handlePermits: nothing,
    handleStream: nothing
  })
}

/** A follower connected to a registry whose messages the test sends. */
class FakeRegistry {
  readonly requests: number[] = []
  readonly applied: number[] = []
  #links: LinkPool<RouteMessage>
  #follower: RegistryFollower
  #link: Link<RouteMessage> | null = null

  private constructor (now: () => number) {
    const log = new EventLog('test', () => {})
    const nothing = (): void => {}
    this.#links = new LinkPool<RouteMessage>({
      id: 'registry',
      secret: null,
      clock: log.clock,
      receive: (link, message) => this.#receive(link, message),
      noteOpen: nothing,
      noteClosed: nothing,
      noteFault: nothing
    })
    this.#follower = createFollower(now, ({ version, text }) => {
      assert.equal(text, compose(version).text)
      this.applied.push(version)
    })
  }

  /** `others`: registries that are never reachable. */
  static async run (scenario: (registry: FakeRegistry) => Promise<void>, others: readonly string[] = [], now = () => performance.now()): Promise<void> {
    const registry = new FakeRegistry(now)
    await registry.#links.listen(host, linkPort)
    registry.#follower.start([`${host}:1`, ...others])
    try {
      await waitFor(() => registry.#link !== null, 'the follower presents itself')
      await scenario(registry)
    } finally {
      registry.#follower.close()
      registry.#links.close()
    }
  }

  announce (version: number, isCurrent = false): void { this.#link?.send({ type: 'version', version, isCurrent }) }
  send (document: PackedDocument): void { this.#link?.send({ type: 'document', document }) }
  list (registries: readonly string[]): void { this.#link?.send({ type: 'boxes', registries, gateways: 1 }) }

  #receive (link: Link<RouteMessage>, message: RouteMessage): void {
    if (message.type === 'gateway-hello') this.#link = link
    if (message.type === 'ask-document') this.requests.push(message.held)
  }
}

test('versions announced while an answer is on its way are skipped, and the newest is requested as a delta to that answer', () => FakeRegistry.run(async registry => {
  registry.announce(3)
  await waitFor(() => registry.requests.length === 1, 'the first asked for')
  for (const version of [4, 5, 6]) registry.announce(version)
  registry.send(packDocument(compose(3), null))
  await waitFor(() => registry.requests.length === 2, 'the newest asked for')
  registry.send(packDocument(compose(6), compose(3)))
  await waitFor(() => registry.applied.length === 2, 'both taken')
  assert.deepEqual([registry.requests, registry.applied], [[0, 3], [3, 6]])
}))

test('a delta that can\'t be applied leads to a request for the full document, one against an older version to a request for a new delta', () => FakeRegistry.run(async registry => {
  registry.announce(3)
  await waitFor(() => registry.requests.length === 1, 'the first asked for')
  registry.send(packDocument(compose(3), null))
  await waitFor(() => registry.applied.length === 1, 'the first taken')
  registry.announce(4)
  await waitFor(() => registry.requests.length === 2, 'the change asked for')
  registry.send({ ...packDocument(compose(4), compose(3)), digest: Buffer.alloc(32) })
  await waitFor(() => registry.requests.length === 3, 'asked again')
  registry.send(packDocument(compose(4), compose(2)))
  await waitFor(() => registry.requests.length === 4, 'asked once more')
  registry.send(packDocument(compose(4), compose(3)))
  await waitFor(() => registry.applied.length === 2, 'the second taken')
  assert.deepEqual([registry.requests, registry.applied], [[0, 3, 0, 3], [3, 4]])
}))

// Guards against a delay on each start while a registry is down: gateways waited for the version that it might announce.
test('a document is requested at once if a registry is sure that it is the newest, and not before', () => {
  const startedAt = performance.now()
  return FakeRegistry.run(async registry => {
    registry.announce(3)
    registry.announce(4, true)
    await waitFor(() => registry.requests.length === 1, 'the sure one asked for')
    registry.send(packDocument(compose(4), null))
    await waitFor(() => registry.applied.length === 1, 'it is taken')
    assert.deepEqual([registry.requests, registry.applied], [[0], [4]])
  }, ['127.44.0.9:1'], () => startedAt)
})

// Guards against overloading the seeds: when 194 gateways that started together dialled every seed at once, seeds took 0.4 s
// longer to start than other registries, and the log waited for them.
test('a gateway dials one registry first, and the others once it has a document', async () => {
  const hosts = ['127.44.0.2', '127.44.0.3', '127.44.0.4']
  const startedAt = performance.now()
  const called: string[] = []
  const log = new EventLog('test', () => {})
  const nothing = (): void => {}
  let first: Link<RouteMessage> | null = null
  const pools = hosts.map(own => new LinkPool<RouteMessage>({
    id: own,
    secret: null,
    clock: log.clock,
    receive: (link, { type }) => {
      if (type === 'ask-document') link.send({ type: 'document', document: packDocument(compose(3), null) })
    },
    noteOpen: link => {
      called.push(own)
      first ??= link
    },
    noteClosed: nothing,
    noteFault: nothing
  }))
  // The clock stands still until there is a document.
  let isRunning = false
  const follower = createFollower(() => isRunning ? performance.now() : startedAt, () => { isRunning = true })
  for (const [i, pool] of pools.entries()) await pool.listen(hosts[i], linkPort)
  follower.start(hosts.map(one => `${one}:1`))
  try {
    await waitFor(() => first !== null, 'the first call')
    await new Promise(resolve => setTimeout(resolve, 3 * 100))
    assert.equal(called.length, 1)
    ;(first as Link<RouteMessage> | null)?.send({ type: 'version', version: 3, isCurrent: true })
    await waitFor(() => called.length === 3, 'all called')
  } finally {
    follower.close()
    for (const pool of pools) pool.close()
  }
})

test('a registry that came after twelve others had gone was never dialed', () => {
  const offset = { ms: 0 }
  return FakeRegistry.run(async registry => {
    registry.list([host, ...Array.from({ length: 12 }, (_, i) => `127.44.1.${i + 1}`)])
    await sleep(1500)
    offset.ms = 20_000
    let isMet = false
    const later = new LinkPool<RouteMessage>({ id: 'later', secret: null, clock: new EventLog('test', () => {}).clock, receive: () => { isMet = true }, noteOpen: () => {}, noteClosed: () => {}, noteFault: () => {} })
    await later.listen('127.44.2.1', linkPort)
    try {
      registry.list([host, '127.44.2.1'])
      await waitFor(() => isMet, 'the later registry is met')
    } finally {
      later.close()
    }
  }, [], () => performance.now() + offset.ms)
})
