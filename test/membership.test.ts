import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Membership, defaultMembershipTuning } from '../src/coordination/index.js'
import type { Member, MemberEffect, MemberMessage } from '../src/coordination/index.js'
import { createRandom } from '../src/runtime/index.js'

const tickMs = 50

/** Members on a simulated network with one tick of delay, message loss, blocked links and stopped members. */
class SimulatedGroup {
  now = 0
  readonly nodes = new Map<string, Membership>()
  readonly stoppedIds = new Set<string>()
  readonly blockedLinks = new Set<string>()
  lossRate = 0
  sent = 0
  #random: () => number
  #inTransit: { from: string, to: string, message: MemberMessage }[] = []

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

  /** Advances time by up to `ms`, or until `isDone` holds; returns the time advanced, ms. */
  run (ms: number, isDone: () => boolean = () => false): number {
    const startedAt = this.now
    while (this.now - startedAt < ms && !isDone()) {
      this.now += tickMs
      const arriving = this.#inTransit
      this.#inTransit = []
      for (const { from, to, message } of arriving) {
        if (this.stoppedIds.has(to) || this.blockedLinks.has(`${from}>${to}`) || this.#random() < this.lossRate) continue
        this.#perform(to, this.nodes.get(to)?.step({ type: 'receive', at: this.now, message }) ?? [])
      }
      for (const [id, node] of this.nodes) {
        if (!this.stoppedIds.has(id)) this.#perform(id, node.step({ type: 'tick', at: this.now }))
      }
    }
    return this.now - startedAt
  }

  /** The states in which the other running members see a box. */
  getStatesOf (id: string): Set<string> {
    const states = new Set<string>()
    for (const [other, node] of this.nodes) {
      if (other === id || this.stoppedIds.has(other)) continue
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
      this.#inTransit.push({ from, to: `n${effect.to.port}`, message: effect.message })
    }
  }
}

const hasOnly = (...states: string[]) => (found: Set<string>): boolean => [...found].every(state => states.includes(state))

for (const size of [3, 9, 30]) {
  test(`${size} boxes discover each other and all detect a failed one`, () => {
    const group = new SimulatedGroup(size, size)
    group.run(20_000, () => group.isComplete())
    assert.ok(group.isComplete())
    group.stoppedIds.add('n2')
    const elapsedMs = group.run(30_000, () => hasOnly('unknown')(group.getStatesOf('n2')))
    assert.ok(hasOnly('unknown')(group.getStatesOf('n2')), [...group.getStatesOf('n2')].join())
    assert.ok(elapsedMs < 15_000, `${elapsedMs} ms`)
  })
}

test('all members see a box as leaving within 3 s', () => {
  const group = new SimulatedGroup(9, 4)
  group.run(20_000, () => group.isComplete())
  group.leave('n3')
  const elapsedMs = group.run(10_000, () => hasOnly('leaving')(group.getStatesOf('n3')))
  assert.ok(elapsedMs <= 3000, `${elapsedMs} ms`)
})

test('a wrongly suspected box refutes the suspicion', () => {
  const group = new SimulatedGroup(5, 5)
  group.run(20_000, () => group.isComplete())
  for (const other of ['n0', 'n1', 'n2', 'n3']) group.blockedLinks.add(`n4>${other}`)
  group.run(5000, () => group.getStatesOf('n4').has('suspect'))
  assert.ok(group.getStatesOf('n4').has('suspect'))
  group.blockedLinks.clear()
  group.run(20_000, () => hasOnly('alive')(group.getStatesOf('n4')))
  assert.ok(hasOnly('alive')(group.getStatesOf('n4')))
})

test('the group merges completely after a long partition', () => {
  const group = new SimulatedGroup(6, 6)
  group.run(20_000, () => group.isComplete())
  const [firstHalf, secondHalf] = [['n0', 'n2', 'n4'], ['n1', 'n3', 'n5']]
  for (const a of firstHalf) for (const b of secondHalf) group.blockedLinks.add(`${a}>${b}`).add(`${b}>${a}`)
  group.run(30_000)
  assert.ok(!group.isComplete())
  group.blockedLinks.clear()
  group.run(60_000, () => group.isComplete())
  assert.ok(group.isComplete())
})

test('a box that restarts at the same address is accepted as a new incarnation', () => {
  const group = new SimulatedGroup(5, 8)
  group.run(20_000, () => group.isComplete())
  group.stoppedIds.add('n4')
  group.run(30_000, () => hasOnly('unknown')(group.getStatesOf('n4')))
  group.stoppedIds.delete('n4')
  group.join('n4', 4, 2)
  group.run(30_000, () => hasOnly('alive')(group.getStatesOf('n4')))
  assert.ok(hasOnly('alive')(group.getStatesOf('n4')))
})

test('no member is lost at 10% datagram loss', () => {
  const group = new SimulatedGroup(9, 9)
  group.lossRate = 0.1
  group.run(40_000, () => group.isComplete())
  let incompleteChecks = 0
  for (let i = 0; i < 200; i++) {
    group.run(500)
    if (!group.isComplete()) incompleteChecks += 1
  }
  assert.equal(incompleteChecks, 0)
})
