import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { LoadBook, RecentMost, brandId, noTotals, subtractOwn } from '../src/core/index.js'
import type { BoxLoad } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, desk, engineService, nameZone } from './support/fleet-builder.js'

const holders: readonly { readonly name: string, readonly held: readonly (readonly [number, number])[], readonly priority: number, readonly count: number }[] = [
  { name: 'what the others hold goes after it', held: [[2, 900]], priority: 1, count: 1 },
  { name: 'what the others hold goes with it', held: [[2, 900]], priority: 2, count: 4 },
  { name: 'the others hold something as urgent beside what goes after it', held: [[1, 100], [2, 900]], priority: 1, count: 4 },
  { name: 'the others hold nothing', held: [], priority: 2, count: 1 }
]

for (const { name, held, priority, count } of holders) {
  test(`a box competes with those that hold as urgent requests: ${name}`, () => {
    const fleet = createFleet([createRecord('e1')], engineService)
    fleet.noteHeld(createWork({ priority, pauseMs: 600, cost: { promptTokens: 900, mostTokens: 10, parts: [] } }), true)
    fleet.noteOthers({ ...noTotals, demands: [{ service: desk, patient: 0, brisk: 0, apart: 1, base: 1, readingPauseMs: null, held, holders: held.length === 0 ? 0 : 3 }] }, 0)
    assert.equal(fleet.countHolders(desk, priority), count)
  })
}

test('the others\' work counts, until nobody tells it any more', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2')])
  fleet.noteOthers({ ...createLoad(9), demands: [], zones: [] }, 0)
  assert.equal(fleet.findView(brandId('e1'))?.running, 9)
  fleet.noteOthers(noTotals, 10)
  assert.equal(fleet.findView(brandId('e1'))?.running, 0)
})

test('the totals of a hub hold every box until it falls silent, and the zones heard just now', () => {
  const book = new LoadBook()
  book.note(brandId('a'), nameZone('zone-a'), createLoad(2), 0)
  book.note(brandId('b'), nameZone('zone-b'), createLoad(3), 1000)
  const totals = book.sumOwn(1100)
  assert.deepEqual(totals.loads, [{ endpoint: 'e1', running: 5, brisk: 2, memory: 50, waiting: [[1, 300]], largest: 300, backedOff: 0 }])
  assert.deepEqual(totals.zones, ['zone-b'])
  assert.deepEqual(book.forgetSilent(1600), ['a'])
  assert.deepEqual(book.sumOwn(1600).loads[0].running, 3)
})

// Boxes of all zones believed the same 9,580 tokens held for 600 ms after the registries' leader had lost its power, and refused 60
// tags meanwhile: its gateways told another hub by then, and what it had last told of them counted for 1.5 s more. A gateway
// that had ended likewise left 18,214 unread tokens behind ("others=6747 … less=11467", unchanged for 1.4 s), so that an engine with
// room got nothing.
const unheard: readonly { readonly name: string, readonly tell: (book: LoadBook, load: BoxLoad) => void }[] = [
  { name: 'a box', tell: (book, load) => book.note(brandId('a'), nameZone('zone-a'), load, 0) },
  {
    name: 'a hub',
    tell: (book, load) => {
      const there = new LoadBook()
      there.note(brandId('a'), nameZone('zone-a'), load, 0)
      book.noteSum(brandId('hub-b'), { ...there.sumOwn(0), isWhole: true, gone: [] }, 0)
    }
  }
]

for (const { name, tell } of unheard) {
  test(`what waits by ${name} that was not heard for two words counts no more; what runs does until it falls silent`, () => {
    const book = new LoadBook()
    tell(book, createLoad(2, { demands: [{ service: desk, patient: 20, brisk: 2, apart: 1, base: 1, readingPauseMs: null, held: [[2, 900]] }] }))
    const read = (at: number): unknown[] => {
      const { loads: [load], demands: [demand] } = book.sumAll(book.sumOwn(at), at)
      return [load.running, load.waiting, load.largest, demand.held, demand.holders, demand.patient]
    }
    assert.deepEqual(read(500), [2, [[1, 200]], 200, [[2, 900]], 1, 20])
    assert.deepEqual(read(600), [2, [], 0, [], 0, 20])
  })
}

test('the totals hold what other hubs told, until they fall silent', () => {
  const [here, there] = [new LoadBook(), new LoadBook()]
  here.note(brandId('a'), nameZone('zone-a'), createLoad(2), 0)
  there.note(brandId('b'), nameZone('zone-b'), createLoad(3), 0)
  here.noteSum(brandId('hub-b'), { ...there.sumOwn(0), isWhole: true, gone: [] }, 0)
  const all = here.sumAll(here.sumOwn(0), 0)
  assert.deepEqual([all.loads[0].running, all.zones], [5, ['zone-a', 'zone-b']])
  assert.deepEqual(here.sumAll(here.sumOwn(600), 600).zones, [])
  assert.deepEqual(here.forgetSilent(1600), ['a', 'hub-b'])
  assert.deepEqual(here.sumAll(here.sumOwn(1600), 1600).loads, [])
})

test('what is left of a hub\'s totals without a box\'s own word is what the others told', () => {
  const load = fc.record({ running: fc.integer({ min: 1, max: 9 }), held: fc.integer({ min: 0, max: 900 }), apart: fc.integer({ min: 1, max: 5 }) })
  fc.assert(fc.property(fc.array(load, { minLength: 2, maxLength: 9 }), told => {
    const words = told.map(({ running, held, apart }) => createLoad(running, {
      demands: [{ service: desk, patient: 10 * running, brisk: running, apart, base: 1, readingPauseMs: running, held: held === 0 ? [] : [[2, held]] }],
      gaps: [[brandId('e1'), running]]
    }))
    const sumOf = (some: readonly BoxLoad[]) => {
      const book = new LoadBook()
      some.forEach((word, i) => book.note(brandId(`box-${i}`), nameZone('zone-a'), word, 0))
      return book.sumOwn(0)
    }
    const left = subtractOwn(sumOf(words), words[0])
    const others = sumOf(words.slice(1))
    assert.deepEqual([left.loads[0].running, left.loads[0].memory, left.loads[0].waiting], [others.loads[0].running, others.loads[0].memory, others.loads[0].waiting])
    const [mine, theirs] = [left.demands[0], others.demands[0]]
    assert.deepEqual([mine.patient, mine.brisk, mine.held, mine.holders], [theirs.patient, theirs.brisk, theirs.held, theirs.holders])
    assert.ok(mine.apart >= theirs.apart)
  }))
})

test('the largest of the last while is found, older ones are not', () => {
  const most = new RecentMost(100)
  assert.equal(most.find(0, 7), 7)
  for (const [at, value] of [[0, 9], [50, 4], [60, 5]] as const) most.note(at, value)
  assert.deepEqual([most.find(90, 1), most.find(120, 1), most.find(161, 1)], [9, 5, 1])
})
