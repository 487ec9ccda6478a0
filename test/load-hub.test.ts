import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { after, before, test } from 'node:test'
import { brandId } from '../src/core/index.js'
import type { BoxId, BoxLoad, EndpointId, LoadTotals, ZoneName } from '../src/core/index.js'
import { decodeTotalsWord, encodeLoadWord } from '../src/protocol/index.js'
import { LoadHub } from '../src/registry/index.js'
import { EventLog } from '../src/runtime/index.js'
import { until } from './support/deployment.js'

const hosts = ['127.45.0.1', '127.45.0.2']
const port = 7001
const wordMs = 50

/** A gateway that tells a hub the same work over and over, and takes in what it is told. */
class Teller {
  readonly told: LoadTotals[] = []
  sent = 0
  running = 1
  #id: BoxId
  #socket: Socket = createSocket('udp4')
  #timer: NodeJS.Timeout

  constructor (i: number) {
    this.#id = brandId<BoxId>(`gateway-${i}`)
    this.#socket.on('message', bytes => {
      const word = decodeTotalsWord(bytes)
      if (word !== null) this.told.push(word.totals)
    })
    this.#timer = setInterval(() => this.#send(hosts[i]), wordMs)
  }

  close (): void {
    clearInterval(this.#timer)
    this.#socket.close()
  }

  #send (host: string): void {
    this.sent += 1
    const load: BoxLoad = { loads: [{ endpoint: brandId<EndpointId>('e1'), running: this.running, brisk: 0, memory: 0, waiting: [], largest: 0 }], demands: [], gaps: [], prompts: [] }
    this.#socket.send(encodeLoadWord({ box: this.#id, zone: brandId<ZoneName>('zone-a'), start: 1, number: this.sent, load }), port, host)
  }
}

const hubs: LoadHub[] = []
const tellers: Teller[] = []

before(async () => {
  for (const host of hosts) {
    const hub = new LoadHub({
      id: brandId<BoxId>(host),
      log: new EventLog(host, () => {}),
      now: () => performance.now(),
      listOthers: () => hosts.filter(one => one !== host)
    })
    await hub.listen(host, port)
    hubs.push(hub)
  }
  for (let i = 0; i < hosts.length; i++) tellers.push(new Teller(i))
  await until(() => tellers.every(one => one.told.length > 0), 'all told')
})

after(() => {
  for (const one of [...tellers, ...hubs]) one.close()
})

const countRunning = (totals: LoadTotals | undefined): number => totals?.loads[0]?.running ?? 0

test('hubs tell of a change in one gateway to the gateways of all', async () => {
  tellers[0].running = 5
  await until(() => tellers.every(one => countRunning(one.told.at(-1)) === 6), 'the change everywhere')
})

test('while nothing changes, gateways are told the totals no more often than as a sign of life', async () => {
  const first = tellers[1]
  const { sent } = first
  const before = first.told.length
  await until(() => first.sent >= sent + 20, 'a second of words')
  const told = first.told.length - before
  // A sign of life goes out at most as often as this gateway's own words.
  assert.ok(told >= 1 && told <= first.sent - sent, `${told} times in ${first.sent - sent} words`)
})
