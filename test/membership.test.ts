import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership, defaultMembershipTuning } from '../src/coordination/index.js'
import type { Member, MemberEffect, MemberMessage } from '../src/coordination/index.js'
import { createRandom } from '../src/runtime/index.js'

const tickMs = 50

/** Members over a wire of one tick's delay that can lose, cut and stop. */
class Group {
  now = 0
  readonly nodes = new Map<string, Membership>()
  readonly stopped = new Set<string>()
  readonly cut = new Set<string>()
  loss = 0
  sent = 0
  #random: () => number
  #wire: { from: string, to: string, message: MemberMessage }[] = []

  constructor (size: number, seed: number) {
    this.#random = createRandom(seed)
    for (let i = 0; i < size; i++) this.join(`n${i}`, i, 1)
  }

  join (id: string, port: number, incarnation: number): void {
    const self: Member = { id, incarnation, zone: 'z', host: 'h', port, state: 'alive', version: 0 }
    this.nodes.set(id, new Membership(self, [{ host: 'h', port: 0 }, { host: 'h', port: 1 }], defaultMembershipTuning, this.#random))
  }

  leave (id: string): void {
    this.#perform(id, this.nodes.get(id)?.step({ type: 'leave', at: this.now }) ?? [])
  }

  /** Lets time pass; ends early where `done` holds, and returns the time it took. */
  run (ms: number, done: () => boolean = () => false): number {
    const began = this.now
    while (this.now - began < ms && !done()) {
      this.now += tickMs
      const wire = this.#wire
      this.#wire = []
      for (const { from, to, message } of wire) {
        if (this.stopped.has(to) || this.cut.has(`${from}>${to}`) || this.#random() < this.loss) continue
        this.#perform(to, this.nodes.get(to)?.step({ type: 'receive', at: this.now, message }) ?? [])
      }
      for (const [id, node] of this.nodes) {
        if (!this.stopped.has(id)) this.#perform(id, node.step({ type: 'tick', at: this.now }))
      }
    }
    return this.now - began
  }

  /** What every running member but itself says of a box. */
  statesOf (id: string): Set<string> {
    const states = new Set<string>()
    for (const [other, node] of this.nodes) {
      if (other === id || this.stopped.has(other)) continue
      states.add(node.members.find(member => member.id === id)?.state ?? 'unknown')
    }
    return states
  }

  isComplete (): boolean {
    return [...this.nodes.values()].every(node => node.members.length === this.nodes.size)
  }

  #perform (from: string, effects: readonly MemberEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== 'send') continue
      this.sent += 1
      this.#wire.push({ from, to: `n${effect.to.port}`, message: effect.message })
    }
  }
}

const only = (...states: string[]) => (found: Set<string>): boolean => [...found].every(state => states.includes(state))

for (const size of [3, 9, 30]) {
  test(`${size} boxes find each other, and lose a dead one everywhere`, () => {
    const group = new Group(size, size)
    group.run(20_000, () => group.isComplete())
    assert.ok(group.isComplete())
    group.stopped.add('n2')
    const took = group.run(30_000, () => only('unknown')(group.statesOf('n2')))
    assert.ok(only('unknown')(group.statesOf('n2')), [...group.statesOf('n2')].join())
    assert.ok(took < 15_000, `${took} ms`)
  })
}

test('a box that leaves is known to leave within 3 s', () => {
  const group = new Group(9, 4)
  group.run(20_000, () => group.isComplete())
  group.leave('n3')
  const took = group.run(10_000, () => only('leaving')(group.statesOf('n3')))
  assert.ok(took <= 3000, `${took} ms`)
})

test('a box that was wrongly suspected refutes it', () => {
  const group = new Group(5, 5)
  group.run(20_000, () => group.isComplete())
  for (const other of ['n0', 'n1', 'n2', 'n3']) group.cut.add(`n4>${other}`)
  group.run(5000, () => group.statesOf('n4').has('suspect'))
  assert.ok(group.statesOf('n4').has('suspect'))
  group.cut.clear()
  group.run(20_000, () => only('alive')(group.statesOf('n4')))
  assert.ok(only('alive')(group.statesOf('n4')))
})

test('a cut that lasts is healed whole', () => {
  const group = new Group(6, 6)
  group.run(20_000, () => group.isComplete())
  const [left, right] = [['n0', 'n2', 'n4'], ['n1', 'n3', 'n5']]
  for (const a of left) for (const b of right) group.cut.add(`${a}>${b}`).add(`${b}>${a}`)
  group.run(30_000)
  assert.ok(!group.isComplete())
  group.cut.clear()
  group.run(60_000, () => group.isComplete())
  assert.ok(group.isComplete())
})

test('a box that comes back under its address is a new one', () => {
  const group = new Group(5, 8)
  group.run(20_000, () => group.isComplete())
  group.stopped.add('n4')
  group.run(30_000, () => only('unknown')(group.statesOf('n4')))
  group.stopped.delete('n4')
  group.join('n4', 4, 2)
  group.run(30_000, () => only('alive')(group.statesOf('n4')))
  assert.ok(only('alive')(group.statesOf('n4')))
})

test('a tenth of the datagrams lost loses no member', () => {
  const group = new Group(9, 9)
  group.loss = 0.1
  group.run(40_000, () => group.isComplete())
  let gone = 0
  for (let i = 0; i < 200; i++) {
    group.run(500)
    if (!group.isComplete()) gone += 1
  }
  assert.equal(gone, 0)
})
