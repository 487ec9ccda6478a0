import assert from 'node:assert/strict'
import { describe, test } from 'node:test'
import { PeerList } from '../src/coordination/index.js'

const bounds = { forgetMs: 10_000, mostPeers: 12 }

/** Peers that go and come, at steps of one second, as one box sees them. */
class Scenario {
  readonly dialed = new Set<string>()
  readonly list: PeerList
  readonly up = new Set<string>()
  at = 0

  constructor (seeds: readonly string[]) {
    this.list = new PeerList('own', bounds, { dial: host => { this.dialed.add(host) }, disconnect: host => { this.dialed.delete(host) } })
    this.list.setSeeds(seeds, 0)
    for (const seed of seeds) this.up.add(seed)
  }

  /** Each connected peer lists all that are up, every two seconds. */
  pass (seconds: number, lists: () => Iterable<string> = () => this.up): void {
    for (let i = 0; i < seconds; i++) {
      this.at += 1000
      const connected = [...this.dialed].filter(host => this.up.has(host))
      this.list.check(connected, this.at)
      if (connected.length > 0 && this.at % 2000 === 0) this.list.noteListed([...lists()], this.at)
    }
  }

  replace (before: string, after: string): void {
    this.up.add(after)
    this.pass(4)
    this.up.delete(before)
    this.pass(3)
  }

  get connected (): string[] { return [...this.dialed].filter(host => this.up.has(host)).sort() }
}

const cases: readonly { readonly name: string, play (scenario: Scenario): void, readonly connected: readonly string[], readonly dialed: number }[] = [
  {
    name: 'after twelve replaced peers no further one was dialed',
    play: scenario => { for (let i = 0; i < 30; i++) scenario.replace(i < 3 ? `p${i}` : `n${i - 3}`, `n${i}`) },
    connected: ['n27', 'n28', 'n29'],
    dialed: 3
  },
  {
    name: 'a peer that is away for less than its time stays',
    play: scenario => {
      scenario.up.delete('p0')
      scenario.pass(8)
      scenario.up.add('p0')
    },
    connected: ['p0', 'p1', 'p2'],
    dialed: 3
  },
  {
    name: 'a peer that comes back at its address after long is found',
    play: scenario => {
      scenario.up.delete('p0')
      scenario.pass(60)
      assert.equal(scenario.dialed.has('p0'), false)
      scenario.up.add('p0')
    },
    connected: ['p0', 'p1', 'p2'],
    dialed: 3
  },
  {
    name: 'a box that has lost all peers keeps them',
    play: scenario => {
      const up = [...scenario.up]
      scenario.up.clear()
      scenario.pass(300)
      for (const host of up) scenario.up.add(host)
    },
    connected: ['p0', 'p1', 'p2'],
    dialed: 3
  },
  {
    name: 'a box that has lost all peers did not try new seeds',
    play: scenario => {
      scenario.replace('p0', 'n0')
      scenario.up.clear()
      scenario.pass(60)
      scenario.up.add('s0')
      scenario.list.setSeeds(['s0'], scenario.at)
    },
    connected: ['s0'],
    dialed: 1
  },
  {
    name: 'a box that has lost all peers tries its seeds again, though they were forgotten',
    play: scenario => {
      for (let i = 0; i < 3; i++) scenario.replace(`p${i}`, `n${i}`)
      scenario.pass(30)
      assert.deepEqual([...scenario.dialed].sort(), ['n0', 'n1', 'n2'])
      scenario.up.clear()
      scenario.pass(5)
      scenario.up.add('p1')
    },
    connected: ['p1'],
    dialed: 1
  },
  {
    name: 'more peers than there is room for: those that are gone make room',
    play: scenario => {
      for (let i = 0; i < 12; i++) scenario.up.add(`old${i}`)
      scenario.pass(4)
      for (let i = 0; i < 12; i++) scenario.up.delete(`old${i}`)
      scenario.up.add('new')
    },
    connected: ['new', 'p0', 'p1', 'p2'],
    dialed: 4
  }
]

describe('peers that a box knows', () => {
  for (const { name, play, connected, dialed } of cases) {
    test(name, () => {
      const scenario = new Scenario(['p0', 'p1', 'p2'])
      scenario.pass(4)
      play(scenario)
      scenario.pass(30)
      assert.deepEqual(scenario.connected, connected)
      assert.equal(scenario.dialed.size, dialed)
    })
  }

  test('peers that are gone for good were told of by one box to the next for ever', () => {
    const names = ['a', 'b', 'c']
    const dialed = new Map(names.map(name => [name, new Set<string>()]))
    const lists = new Map(names.map(name => [name, new PeerList(name, bounds, { dial: host => { dialed.get(name)?.add(host) }, disconnect: host => { dialed.get(name)?.delete(host) } })]))
    for (const list of lists.values()) list.setSeeds([...names, 'gone'], 0)
    for (let at = 250; at <= 60_000; at += 250) {
      for (const [name, list] of lists) {
        const others = names.filter(other => other !== name)
        list.check(others, at)
        for (const other of others) list.noteListed(lists.get(other)?.listRecent(at) ?? [], at)
      }
    }
    for (const name of names) assert.deepEqual([...dialed.get(name) ?? []].sort(), names.filter(other => other !== name))
  })

  test('members of the log are dialed however long they are away', () => {
    const scenario = new Scenario(['p0', 'p1', 'p2'])
    scenario.list.setMembers(['p0'], 0)
    scenario.up.delete('p0')
    scenario.pass(300)
    assert.ok(scenario.dialed.has('p0'))
    assert.ok(scenario.list.listRecent(scenario.at).includes('p0'))
  })
})
