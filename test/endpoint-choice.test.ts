import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, noTotals } from '../src/core/index.js'
import type { EndpointGate, EndpointRecord, Fleet, ServiceName, Work } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, engineService, nameZone } from './support/fleet-builder.js'

test('work goes only to endpoints that are ready, in touch and not tried', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2', { stage: 'draining' }), createRecord('e3'), createRecord('e4', { service: brandId<ServiceName>('other') })])
  fleet.findView(brandId('e3'))?.trust.noteUnreachable(0)
  const choice = fleet.choose(createWork(), [], 1, 0.5)
  assert.equal(typeof choice === 'string' ? choice : choice.view.id, 'e1')
  assert.equal(fleet.choose(createWork(), [brandId('e1')], 1, 0.5), 'none-usable')
  assert.equal(fleet.choose(createWork({ service: brandId<ServiceName>('nobody') }), [], 1, 0.5), 'none-known')
})

test('where the answers of all break, all are used on; where connections fail, they are not', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2'), createRecord('e3')])
  for (const view of fleet.views) for (let i = 0; i < 4; i++) view.trust.noteBroken(i)
  assert.notEqual(typeof fleet.choose(createWork(), [], 10, 0), 'string')
  for (const view of fleet.views) view.trust.noteUnreachable(20)
  assert.equal(fleet.choose(createWork(), [], 30, 0), 'none-usable')
})

test('an endpoint in a zone that fell silent is taken last', () => {
  const fleet = createFleet([createRecord('e1', { zone: nameZone('zone-b') }), createRecord('e2')])
  const busy = fleet.findView(brandId('e2'))
  for (let i = 0; i < 4; i++) busy?.place(createWork(), { readTokens: 0, fetch: null }, 900)
  const choose = (at: number) => { const choice = fleet.choose(createWork(), [], at, 0); return typeof choice === 'string' ? choice : choice.view.id }
  fleet.zones.noteHeard(brandId('zone-b'), 0)
  assert.equal(choose(700), 'e1')
  assert.equal(choose(1000), 'e2')
})

test('prompts with the same shared part go to the same engine from all boxes', () => {
  const records = Array.from({ length: 8 }, (_, i) => createRecord(`e${i + 1}`))
  const boxes = [createFleet(records, engineService), createFleet(records, engineService)]
  for (let shared = 0; shared < 20; shared++) {
    const homes = boxes.map((fleet, i) => {
      const parts = [{ id: `shared-${shared}`, tokens: 4000 }, { id: `own-${i}`, tokens: 500 }]
      const choice = fleet.choose(createWork({ pauseMs: 600, cost: { promptTokens: 4500, mostTokens: 10, parts } }), [], 0, 0.9 * i)
      return typeof choice === 'string' ? choice : choice.view.id
    })
    assert.equal(homes[0], homes[1])
  }
})

test('a long prompt waits in the box while engines have much to read; a question is sent at once', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2')], engineService)
  const long = createWork({ priority: 2, pauseMs: 600, targetMs: 2000, cost: { promptTokens: 30_000, mostTokens: 10, parts: [] } })
  const first = fleet.choose(long, [], 0, 0)
  assert.ok(typeof first !== 'string')
  first.view.place(long, first.plan, 0)
  assert.equal(fleet.choose(long, [], 1, 0), 'later')
  assert.notEqual(fleet.choose(createWork({ pauseMs: 50, cost: { promptTokens: 100, mostTokens: 10, parts: [] } }), [], 1, 0), 'later')
})

// All registries were down for two seconds, and none of three gateways heard what the others did: each filled the same two engines up to
// what one may send ("others=0 held=0", first events of quotes after 1.5 to 2.6 s), and 13 tags got nothing behind their quotes.
test('a box that doesn\'t hear of the others sends long prompts only up to its part of what engines may have to read', () => {
  const work = createWork({ pauseMs: 600, cost: { promptTokens: 1000, mostTokens: 10, parts: [] } })
  const [heard, cut] = [true, false].map(isHeard => {
    const fleet = createFleet([createRecord('e1')], { ...engineService, engine: { slots: 64, memoryTokens: 600_000, tokensPerEvent: 5, transfer: null } })
    fleet.noteBoxes(4)
    fleet.noteOthers({ ...noTotals, zones: [nameZone('zone-a')] }, 5000)
    if (!isHeard) fleet.noteOthers(noTotals, 6500)
    return countSent(fleet, work, isHeard ? 5000 : 7000)
  })
  assert.ok(cut >= 1 && cut <= Math.ceil(heard / 4), `${cut}, of ${heard} where it hears of them`)
})

// How many requests are sent at one time until there is no room.
function countSent (fleet: Fleet, work: Work, at: number): number {
  for (let sent = 0; ; sent++) {
    const choice = fleet.choose(work, [], at, 0)
    if (typeof choice === 'string') return sent
    choice.view.place(work, choice.plan, at)
  }
}

test('an endpoint from which the others were turned away gets less of this box too', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2')])
  const load = createLoad(1, { loads: [{ endpoint: brandId('e1'), running: 1, brisk: 0, memory: 0, waiting: [], largest: 0, backedOff: 3 }] })
  const choose = (): string => { const choice = fleet.choose(createWork(), [], 10, 0); return typeof choice === 'string' ? choice : choice.view.id }
  fleet.noteOthers({ ...noTotals, loads: [{ ...load.loads[0], backedOff: 0, running: 0 }] }, 0)
  assert.equal(choose(), 'e1')
  fleet.noteOthers({ ...noTotals, ...load, demands: [] }, 0)
  assert.equal(choose(), 'e2')
})

const comings: readonly { name: string, record: Partial<EndpointRecord>, isBackedOff: boolean }[] = [
  { name: 'the same life, seen again', record: { sequence: 3, born: 7 }, isBackedOff: true },
  { name: 'a later life', record: { sequence: 1, born: 9 }, isBackedOff: false }
]

for (const { name, record, isBackedOff } of comings) {
  test(`a back-off, a limit and a word of leaving ${isBackedOff ? 'hold on for' : 'end with'} ${name}`, () => {
    const first = createRecord('e1', { born: 7 })
    const fleet = createFleet([first, createRecord('e2')])
    const gate = (): EndpointGate | undefined => fleet.findView(first.id)?.gate
    gate()?.noteBackoff(1000)
    fleet.applyNotices([{ endpoint: first.id, born: 7, stamp: 1, perSecond: 3, isLeaving: true }])
    fleet.applyRecords([{ ...first, sequence: 2, stage: 'lost' }])
    fleet.applyRecords([{ ...first, ...record }])
    assert.deepEqual([gate()?.isBackedOff(500), gate()?.limit, gate()?.isLeaving], [isBackedOff, isBackedOff ? 3 : null, isBackedOff])
  })
}
