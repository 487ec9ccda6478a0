import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { VersionedText } from '../src/coordination/index.js'
import { brandId } from '../src/core/index.js'
import { RegistryFollower } from '../src/gateway/registry-follower.js'
import { LinkPool, packDocument } from '../src/protocol/index.js'
import type { Link, PackedDocument, RouteMessage } from '../src/protocol/index.js'
import { EventLog } from '../src/runtime/index.js'
import { until } from './support/deployment.js'

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
    now,
    draw: () => 0,
    takeDocument,
    takePrompts: nothing,
    takeCrashes: nothing,
    listCrashes: () => ({ ends: [], entries: [] }),
    takeRecords: nothing,
    takeGatewayCount: nothing,
    noteZone: nothing,
    takeNotices: nothing,
    takePermits: nothing
  })
}

/** A follower before a registry that the test plays. */
class Stage {
  readonly asked: number[] = []
  readonly taken: number[] = []
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
      this.taken.push(version)
    })
  }

  /** `others`: registries that are never reached. */
  static async run (play: (stage: Stage) => Promise<void>, others: readonly string[] = [], now = () => performance.now()): Promise<void> {
    const stage = new Stage(now)
    await stage.#links.listen(host, linkPort)
    stage.#follower.start([`${host}:1`, ...others])
    try {
      await until(() => stage.#link !== null, 'the follower presents itself')
      await play(stage)
    } finally {
      stage.#follower.close()
      stage.#links.close()
    }
  }

  name (version: number, isCurrent = false): void { this.#link?.send({ type: 'version', version, isCurrent }) }
  give (document: PackedDocument): void { this.#link?.send({ type: 'document', document }) }

  #receive (link: Link<RouteMessage>, message: RouteMessage): void {
    if (message.type === 'gateway-hello') this.#link = link
    if (message.type === 'ask-document') this.asked.push(message.held)
  }
}

test('versions that are named while an answer is on its way are not asked for, and told against what came', () => Stage.run(async stage => {
  stage.name(3)
  await until(() => stage.asked.length === 1, 'the first asked for')
  for (const version of [4, 5, 6]) stage.name(version)
  stage.give(packDocument(compose(3), null))
  await until(() => stage.asked.length === 2, 'the newest asked for')
  stage.give(packDocument(compose(6), compose(3)))
  await until(() => stage.taken.length === 2, 'both taken')
  assert.deepEqual([stage.asked, stage.taken], [[0, 3], [3, 6]])
}))

test('a document that can\'t be made out is asked for whole, and one told against an older version for what changed', () => Stage.run(async stage => {
  stage.name(3)
  await until(() => stage.asked.length === 1, 'the first asked for')
  stage.give(packDocument(compose(3), null))
  await until(() => stage.taken.length === 1, 'the first taken')
  stage.name(4)
  await until(() => stage.asked.length === 2, 'the change asked for')
  stage.give({ ...packDocument(compose(4), compose(3)), digest: Buffer.alloc(32) })
  await until(() => stage.asked.length === 3, 'asked again')
  stage.give(packDocument(compose(4), compose(2)))
  await until(() => stage.asked.length === 4, 'asked once more')
  stage.give(packDocument(compose(4), compose(3)))
  await until(() => stage.taken.length === 2, 'the second taken')
  assert.deepEqual([stage.asked, stage.taken], [[0, 3, 0, 3], [3, 4]])
}))

// Gateways that start beside a registry that is lost waited each time for what it might have named.
test('a document is asked for at once where a registry is sure of it, and not before where none is', () => {
  const startedAt = performance.now()
  return Stage.run(async stage => {
    stage.name(3)
    stage.name(4, true)
    await until(() => stage.asked.length === 1, 'the sure one asked for')
    stage.give(packDocument(compose(4), null))
    await until(() => stage.taken.length === 1, 'it is taken')
    assert.deepEqual([stage.asked, stage.taken], [[0], [4]])
  }, ['127.44.0.9:1'], () => startedAt)
})

// 194 gateways that start together called every seed at once: seeds took 0.4 s longer to start than other registries, and the log
// waited for them.
test('a gateway calls one registry at first, the others once it has a document', async () => {
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
  // Before there is a document the clock stands; after that it goes on.
  let isRunning = false
  const follower = createFollower(() => isRunning ? performance.now() : startedAt, () => { isRunning = true })
  for (const [i, pool] of pools.entries()) await pool.listen(hosts[i], linkPort)
  follower.start(hosts.map(one => `${one}:1`))
  try {
    await until(() => first !== null, 'the first call')
    await new Promise(resolve => setTimeout(resolve, 3 * 100))
    assert.equal(called.length, 1)
    ;(first as Link<RouteMessage> | null)?.send({ type: 'version', version: 3, isCurrent: true })
    await until(() => called.length === 3, 'all called')
  } finally {
    follower.close()
    for (const pool of pools) pool.close()
  }
})
