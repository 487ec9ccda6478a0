import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { LoadTable, SlidingMax, brandId, noTotals, subtractOwn } from '../src/core/index.js'
import type { BoxLoad } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, desk, engineService, nameZone } from './support/fleet-builder.js'

const holderCases: readonly { readonly name: string, readonly held: readonly (readonly [number, number])[], readonly priority: number, readonly count: number }[] = [
  { name: 'the others hold less urgent ones', held: [[2, 900]], priority: 1, count: 1 },
  { name: 'the others hold equally urgent ones', held: [[2, 900]], priority: 2, count: 4 },
  { name: 'the others hold equally and less urgent ones', held: [[1, 100], [2, 900]], priority: 1, count: 4 },
  { name: 'the others hold nothing', held: [], priority: 2, count: 1 }
]

for (const { name, held, priority, count } of holderCases) {
  test(`counts the boxes that hold requests at least as urgent: ${name}`, () => {
    const fleet = createFleet([createRecord('e1')], engineService)
    fleet.noteQueued(createWork({ priority, pauseMs: 600, cost: { promptTokens: 900, maxTokens: 10, parts: [] } }), true)
    fleet.noteOthers({ ...noTotals, demands: [{ service: desk, patient: 0, brisk: 0, apart: 1, base: 1, readingPauseMs: null, held, holders: held.length === 0 ? 0 : 3 }] }, 0)
    assert.equal(fleet.countHolders(desk, priority), count)
  })
}

test('the load of other boxes counts until it is no longer reported', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2')])
  fleet.noteOthers({ ...createLoad(9), demands: [], zones: [] }, 0)
  assert.equal(fleet.findView(brandId('e1'))?.running, 9)
  fleet.noteOthers(noTotals, 10)
  assert.equal(fleet.findView(brandId('e1'))?.running, 0)
})

test('a hub\'s totals include each box until its report expires, and the zones with recent reports', () => {
  const table = new LoadTable()
  table.note(brandId('a'), nameZone('zone-a'), createLoad(2), 0)
  table.note(brandId('b'), nameZone('zone-b'), createLoad(3), 1000)
  const totals = table.sumOwn(1100)
  assert.deepEqual(totals.loads, [{ endpoint: 'e1', running: 5, brisk: 2, memory: 50, waiting: [[1, 300]], largest: 300, backedOff: 0 }])
  assert.deepEqual(totals.zones, ['zone-b'])
  assert.deepEqual(table.dropExpired(1600), ['a'])
  assert.deepEqual(table.sumOwn(1600).loads[0].running, 3)
})

// Guards against counting the backlog of boxes that no longer report: after the registries' leader lost power, its gateways reported to another
// hub, but their last reports to the old one counted for 1.5 s more. All boxes assumed 9,580 queued tokens for 600 ms and refused 60 tags.
// Likewise, the 18,214 unread tokens of a stopped gateway kept requests away from an engine with room for 1.4 s.
const staleReportCases: readonly { readonly name: string, readonly report: (table: LoadTable, load: BoxLoad) => void }[] = [
  { name: 'a box', report: (table, load) => table.note(brandId('a'), nameZone('zone-a'), load, 0) },
  {
    name: 'a hub',
    report: (table, load) => {
      const otherTable = new LoadTable()
      otherTable.note(brandId('a'), nameZone('zone-a'), load, 0)
      table.noteSum(brandId('hub-b'), { ...otherTable.sumOwn(0), isWhole: true, gone: [] }, 0)
    }
  }
]

for (const { name, report } of staleReportCases) {
  test(`the backlog of ${name} is dropped after two missed reports; running requests count until the report expires`, () => {
    const table = new LoadTable()
    report(table, createLoad(2, { demands: [{ service: desk, patient: 20, brisk: 2, apart: 1, base: 1, readingPauseMs: null, held: [[2, 900]] }] }))
    const read = (at: number): unknown[] => {
      const { loads: [load], demands: [demand] } = table.sumAll(table.sumOwn(at), at)
      return [load.running, load.waiting, load.largest, demand.held, demand.holders, demand.patient]
    }
    assert.deepEqual(read(500), [2, [[1, 200]], 200, [[2, 900]], 1, 20])
    assert.deepEqual(read(600), [2, [], 0, [], 0, 20])
  })
}

test('the totals include those of other hubs until they expire', () => {
  const [here, there] = [new LoadTable(), new LoadTable()]
  here.note(brandId('a'), nameZone('zone-a'), createLoad(2), 0)
  there.note(brandId('b'), nameZone('zone-b'), createLoad(3), 0)
  here.noteSum(brandId('hub-b'), { ...there.sumOwn(0), isWhole: true, gone: [] }, 0)
  const all = here.sumAll(here.sumOwn(0), 0)
  assert.deepEqual([all.loads[0].running, all.zones], [5, ['zone-a', 'zone-b']])
  assert.deepEqual(here.sumAll(here.sumOwn(600), 600).zones, [])
  assert.deepEqual(here.dropExpired(1600), ['a', 'hub-b'])
  assert.deepEqual(here.sumAll(here.sumOwn(1600), 1600).loads, [])
})

test('a hub\'s totals minus a box\'s own report equal the sum of the other reports', () => {
  const load = fc.record({ running: fc.integer({ min: 1, max: 9 }), held: fc.integer({ min: 0, max: 900 }), apart: fc.integer({ min: 1, max: 5 }) })
  fc.assert(fc.property(fc.array(load, { minLength: 2, maxLength: 9 }), samples => {
    const reports = samples.map(({ running, held, apart }) => createLoad(running, {
      demands: [{ service: desk, patient: 10 * running, brisk: running, apart, base: 1, readingPauseMs: running, held: held === 0 ? [] : [[2, held]] }],
      gaps: [[brandId('e1'), running]]
    }))
    const sumOf = (some: readonly BoxLoad[]) => {
      const table = new LoadTable()
      some.forEach((report, i) => table.note(brandId(`box-${i}`), nameZone('zone-a'), report, 0))
      return table.sumOwn(0)
    }
    const remaining = subtractOwn(sumOf(reports), reports[0])
    const others = sumOf(reports.slice(1))
    assert.deepEqual([remaining.loads[0].running, remaining.loads[0].memory, remaining.loads[0].waiting], [others.loads[0].running, others.loads[0].memory, others.loads[0].waiting])
    const [mine, theirs] = [remaining.demands[0], others.demands[0]]
    assert.deepEqual([mine.patient, mine.brisk, mine.held, mine.holders], [theirs.patient, theirs.brisk, theirs.held, theirs.holders])
    assert.ok(mine.apart >= theirs.apart)
  }))
})

test('finds the maximum within the window, not older values', () => {
  const max = new SlidingMax(100)
  assert.equal(max.find(0, 7), 7)
  for (const [at, value] of [[0, 9], [50, 4], [60, 5]] as const) max.note(at, value)
  assert.deepEqual([max.find(90, 1), max.find(120, 1), max.find(161, 1)], [9, 5, 1])
})
