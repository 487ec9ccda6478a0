import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, noTotals } from '../src/core/index.js'
import type { EndpointGate, EndpointRecord, Fleet, ServiceName, RequestProfile } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, engineService, nameZone } from './support/fleet-builder.js'

test('only endpoints that are ready, reachable and untried are chosen', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2', { stage: 'draining' }), createRecord('e3'), createRecord('e4', { service: brandId<ServiceName>('other') })])
  fleet.findView(brandId('e3'))?.health.noteUnreachable(0)
  const choice = fleet.choose(createWork(), [], 1, 0.5)
  assert.equal(typeof choice === 'string' ? choice : choice.view.id, 'e1')
  assert.equal(fleet.choose(createWork(), [brandId('e1')], 1, 0.5), 'none-usable')
  assert.equal(fleet.choose(createWork({ service: brandId<ServiceName>('nobody') }), [], 1, 0.5), 'none-known')
})

test('if the answers of all endpoints break, all remain usable; if all connections fail, none is', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2'), createRecord('e3')])
  for (const view of fleet.views) for (let i = 0; i < 4; i++) view.health.noteBroken(i)
  assert.notEqual(typeof fleet.choose(createWork(), [], 10, 0), 'string')
  for (const view of fleet.views) view.health.noteUnreachable(20)
  assert.equal(fleet.choose(createWork(), [], 30, 0), 'none-usable')
})

test('an endpoint in an unreachable zone is chosen last', () => {
  const fleet = createFleet([createRecord('e1', { zone: nameZone('zone-b') }), createRecord('e2')])
  const busy = fleet.findView(brandId('e2'))
  for (let i = 0; i < 4; i++) busy?.place(createWork(), { readTokens: 0, fetch: null }, 900)
  const choose = (at: number) => { const choice = fleet.choose(createWork(), [], at, 0); return typeof choice === 'string' ? choice : choice.view.id }
  fleet.zones.noteMessage(brandId('zone-b'), 0)
  assert.equal(choose(700), 'e1')
  assert.equal(choose(1000), 'e2')
})

test('all boxes choose the same engine for prompts with the same shared part', () => {
  const records = Array.from({ length: 8 }, (_, i) => createRecord(`e${i + 1}`))
  const boxes = [createFleet(records, engineService), createFleet(records, engineService)]
  for (let shared = 0; shared < 20; shared++) {
    const engines = boxes.map((fleet, i) => {
      const parts = [{ id: `shared-${shared}`, tokens: 4000 }, { id: `own-${i}`, tokens: 500 }]
      const choice = fleet.choose(createWork({ pauseMs: 600, cost: { promptTokens: 4500, maxTokens: 10, parts } }), [], 0, 0.9 * i)
      return typeof choice === 'string' ? choice : choice.view.id
    })
    assert.equal(engines[0], engines[1])
  }
})

test('a pause-tolerant request waits in the box while engines have a backlog; a pause-sensitive one is sent immediately', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2')], engineService)
  const long = createWork({ priority: 2, pauseMs: 600, targetMs: 2000, cost: { promptTokens: 30_000, maxTokens: 10, parts: [] } })
  const first = fleet.choose(long, [], 0, 0)
  assert.ok(typeof first !== 'string')
  first.view.place(long, first.plan, 0)
  assert.equal(fleet.choose(long, [], 1, 0), 'later')
  assert.notEqual(fleet.choose(createWork({ pauseMs: 50, cost: { promptTokens: 100, maxTokens: 10, parts: [] } }), [], 1, 0), 'later')
})

// Guards against overfilled engines while no load reports arrive: with all registries down for two seconds, each of three gateways filled the
// same two engines up to the whole backlog limit. First events of quotes took 1.5 to 2.6 s, and 13 tags queued behind them failed.
test('a box without load reports of the others fills only its part of an engine\'s backlog limit', () => {
  const work = createWork({ pauseMs: 600, cost: { promptTokens: 1000, maxTokens: 10, parts: [] } })
  const [sentWithReports, sentWithoutReports] = [true, false].map(hasReports => {
    const fleet = createFleet([createRecord('e1')], { ...engineService, engine: { slots: 64, memoryTokens: 600_000, tokensPerEvent: 5, transfer: null } })
    fleet.noteBoxes(4)
    fleet.noteOthers({ ...noTotals, zones: [nameZone('zone-a')] }, 5000)
    if (!hasReports) fleet.noteOthers(noTotals, 6500)
    return countSent(fleet, work, hasReports ? 5000 : 7000)
  })
  assert.ok(sentWithoutReports >= 1 && sentWithoutReports <= Math.ceil(sentWithReports / 4), `${sentWithoutReports} sent without reports, ${sentWithReports} with reports`)
})

// Number of requests sent at one time until there is no room.
function countSent (fleet: Fleet, work: RequestProfile, at: number): number {
  for (let sent = 0; ; sent++) {
    const choice = fleet.choose(work, [], at, 0)
    if (typeof choice === 'string') return sent
    choice.view.place(work, choice.plan, at)
  }
}

test('an endpoint that asked other boxes to back off is chosen less by this box too', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2')])
  const load = createLoad(1, { loads: [{ endpoint: brandId('e1'), running: 1, brisk: 0, memory: 0, waiting: [], largest: 0, backedOff: 3 }] })
  const choose = (): string => { const choice = fleet.choose(createWork(), [], 10, 0); return typeof choice === 'string' ? choice : choice.view.id }
  fleet.noteOthers({ ...noTotals, loads: [{ ...load.loads[0], backedOff: 0, running: 0 }] }, 0)
  assert.equal(choose(), 'e1')
  fleet.noteOthers({ ...noTotals, ...load, demands: [] }, 0)
  assert.equal(choose(), 'e2')
})

const reappearances: readonly { name: string, record: Partial<EndpointRecord>, isBackedOff: boolean }[] = [
  { name: 'the same incarnation, found again', record: { sequence: 3, born: 7 }, isBackedOff: true },
  { name: 'a later incarnation', record: { sequence: 1, born: 9 }, isBackedOff: false }
]

for (const { name, record, isBackedOff } of reappearances) {
  test(`back-off, rate limit and leaving notice ${isBackedOff ? 'are kept for' : 'are reset for'} ${name}`, () => {
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
