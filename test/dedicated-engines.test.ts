import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LoadTable, PauseRange, ReadingPause, DedicatedCountController, brandId, computeDedicatedCount, computeMinTolerantPause, isPauseTolerant } from '../src/core/index.js'
import type { ReadingDemand } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, desk, engineService, movingService, nameZone } from './support/fleet-builder.js'

const demand: ReadingDemand = { rates: Array<number>(10).fill(40_000), tolerantRate: 0, sensitiveRate: 0, waiting: 0, tolerantEngines: 0, sensitiveEngines: 0, isReservedByRate: false }
const unevenRates = [...Array<number>(6).fill(20_000), 90_000, 90_000]
const countCases: readonly { name: string, demand: Partial<ReadingDemand>, count: number }[] = [
  { name: 'no demand', demand: {}, count: 1 },
  { name: 'reading for three engines, with planned utilization below one', demand: { tolerantRate: 100_000 }, count: 4 },
  { name: 'a burst of long prompts leaves a fifth of the engines to other requests', demand: { tolerantRate: 900_000 }, count: 8 },
  { name: 'pause-sensitive requests take precedence in bursts of both', demand: { tolerantRate: 240_000, sensitiveRate: 100_000 }, count: 5 },
  { name: 'a burst of pause-sensitive requests leaves some engines to long prompts', demand: { tolerantRate: 240_000, sensitiveRate: 900_000 }, count: 3 },
  { name: 'slower engines require a higher count', demand: { rates: Array<number>(10).fill(20_000), tolerantRate: 100_000 }, count: 8 },
  { name: 'memory use requires engines', demand: { tolerantEngines: 4.2 }, count: 5 },
  { name: 'a fifth of the engines holds more than half of the capacity back', demand: { rates: unevenRates, tolerantRate: 900_000, isReservedByRate: true }, count: 7 },
  { name: 'without the measures, the reserve is a share of the engines', demand: { rates: unevenRates, tolerantRate: 900_000 }, count: 6 },
  { name: 'a reserve by rate leaves too little to many pause-sensitive requests', demand: { rates: unevenRates, tolerantRate: 900_000, sensitiveRate: 80_000, isReservedByRate: true }, count: 6 },
  { name: 'a single engine serves all requests', demand: { rates: [40_000], tolerantRate: 100_000 }, count: 1 }
]

for (const { name, demand: more, count } of countCases) {
  test(`dedicated engines: ${name}`, () => assert.equal(computeDedicatedCount({ ...demand, ...more }), count))
}

test('the count of dedicated engines grows immediately and shrinks slowly, never below its base', () => {
  const controller = new DedicatedCountController()
  assert.deepEqual(controller.update(0, demand), { count: 4, base: 4 })
  assert.equal(controller.update(10, { ...demand, tolerantRate: 250_000 }).count, 8)
  assert.equal(controller.update(1000, demand).count, 8)
  assert.equal(controller.update(2600, demand).count, 7)
  for (let at = 4200; at < 30_000; at += 1600) controller.update(at, { ...demand, tolerantRate: 100_000 })
  assert.deepEqual(controller.counts, { count: 4, base: 4 })
})

test('engines needed by pause-sensitive requests are released immediately', () => {
  const controller = new DedicatedCountController()
  assert.equal(controller.update(0, { ...demand, tolerantRate: 250_000 }).count, 8)
  assert.equal(controller.update(10, { ...demand, tolerantRate: 250_000, sensitiveEngines: 5 }).count, 5)
  assert.equal(controller.update(20, { ...demand, tolerantRate: 250_000, sensitiveEngines: 9 }).count, 3)
})

test('a pause-sensitive request uses a dedicated engine only if no other engine has a free slot', () => {
  const records = Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`))
  const fleet = createFleet(records, engineService)
  const sensitive = createWork({ pauseMs: 50, cost: { promptTokens: 100, maxTokens: 10, parts: [] } })
  const chosen = new Set<string>()
  for (let i = 0; i < 40; i++) {
    const choice = fleet.choose(sensitive, [], i / 10, 0)
    assert.ok(typeof choice !== 'string')
    if (i < 24) chosen.add(choice.view.id)
    choice.view.place(sensitive, choice.plan, i / 10)
  }
  assert.equal(chosen.size, 3)
  assert.equal([...fleet.views].filter(view => view.running > 0).length, 5)
})

for (const { name, isRestriction, engines } of [
  { name: 'a stream that goes on at its software version uses a dedicated engine only if no other has a free slot', isRestriction: true, engines: 3 },
  { name: 'other filters take precedence over the division of engines', isRestriction: false, engines: 5 }
]) {
  test(name, () => {
    const fleet = createFleet(Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`)), engineService)
    const sensitive = createWork({ pauseMs: 50, cost: { promptTokens: 100, maxTokens: 10, parts: [] } })
    for (let i = 0; i < 24; i++) {
      const choice = fleet.choose(sensitive, [], i / 10, 0, 0, { key: null, avoided: new Set(), isRestriction, mayUse: () => true })
      assert.ok(typeof choice !== 'string')
      choice.view.place(sensitive, choice.plan, i / 10)
    }
    assert.equal([...fleet.views].filter(view => view.running > 0).length, engines)
  })
}

test('pause-tolerant and pause-sensitive requests don\'t share engines, and boxes agree on the division', () => {
  const records = Array.from({ length: 8 }, (_, i) => createRecord(`e${i + 1}`, { zone: nameZone(`zone-${i % 2}`) }))
  const boxes = [createFleet(records, engineService), createFleet([...records].reverse(), engineService)]
  const enginesByBox = boxes.map(fleet => {
    const tolerantEngines = new Set<string>()
    const sensitiveEngines = new Set<string>()
    for (let i = 0; i < 60; i++) {
      const parts = [{ id: `shared-${i % 7}`, tokens: 300 }, { id: `own-${i}`, tokens: 700 }]
      const tolerant = fleet.choose(createWork({ priority: 2, pauseMs: 600, cost: { promptTokens: 1000, maxTokens: 10, parts } }), [], i, i / 60)
      const sensitive = fleet.choose(createWork({ pauseMs: 100, cost: { promptTokens: 200, maxTokens: 10, parts: [{ id: `q-${i}`, tokens: 200 }] } }), [], i, i / 60)
      if (typeof tolerant !== 'string') tolerantEngines.add(tolerant.view.id)
      if (typeof sensitive !== 'string') sensitiveEngines.add(sensitive.view.id)
    }
    return { tolerantEngines, sensitiveEngines }
  })
  for (const { tolerantEngines: tolerant, sensitiveEngines: sensitive } of enginesByBox) assert.deepEqual([...tolerant].filter(id => sensitive.has(id)), [])
  assert.deepEqual([...enginesByBox[0].tolerantEngines].filter(id => enginesByBox[1].sensitiveEngines.has(id)), [])
  assert.deepEqual([...enginesByBox[1].tolerantEngines].filter(id => enginesByBox[0].sensitiveEngines.has(id)), [])
})

test('which requests are pause-tolerant is learned from the longest measured reading pauses', () => {
  const tolerant = createWork({ pauseMs: 300, cost: { promptTokens: 100, maxTokens: 10, parts: [] } })
  const sensitive = createWork({ ...tolerant, pauseMs: 185 })
  const pause = new ReadingPause()
  assert.equal(pause.find(0), null)
  for (let i = 0; i < 240; i++) pause.add(i % 40 === 0 ? 180 : 60, 1, i)
  for (let i = 240; i < 600; i++) pause.add(60, 1, i)
  assert.deepEqual([pause.find(600), pause.find(70_000)], [180, null])
  assert.deepEqual([tolerant, sensitive].map(work => isPauseTolerant(work, computeMinTolerantPause(pause.find(600) ?? 0, null))), [true, false])
})

test('a box that has measured no reading pause uses the reported median', () => {
  const fleet = createFleet(Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`)), engineService)
  const work = createWork({ pauseMs: 200, cost: { promptTokens: 100, maxTokens: 10, parts: [] } })
  const report = (readingPauseMs: number): void => {
    const table = new LoadTable()
    for (const [i, seen] of [readingPauseMs, readingPauseMs, 9000].entries()) table.note(brandId(`box-${i}`), nameZone('zone-a'), createLoad(0, { loads: [], demands: [{ service: desk, patient: 1, brisk: 1, apart: 2, base: 1, readingPauseMs: seen, held: [] }] }), 0)
    fleet.noteOthers(table.sumOwn(0), 0)
  }
  const countCandidates = (at: number): number => {
    const choice = fleet.choose(work, [], at, 0)
    return typeof choice === 'string' ? 0 : choice.candidates
  }
  report(100)
  const before = countCandidates(100)
  report(260)
  assert.notEqual(countCandidates(200), before)
})

test('a newly dedicated engine gets no long prompt while pause-sensitive streams run there', () => {
  const fleet = createFleet(Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`)), movingService)
  const large = createWork({ pauseMs: 600, cost: { promptTokens: 20_000, maxTokens: 10, parts: [] } })
  const pick = (): string => {
    const choice = fleet.choose(large, [], 1, 0)
    return typeof choice === 'string' ? choice : choice.view.id
  }
  const first = pick()
  const sensitive = createWork({ pauseMs: 50, cost: { promptTokens: 100, maxTokens: 10, parts: [] } })
  fleet.findView(brandId(first))?.place(sensitive, { readTokens: 0, fetch: null }, 0)
  assert.notEqual(pick(), first)
})

const toleranceCases: readonly { name: string, besideMs: number, pauses: readonly number[], tolerant: readonly number[] }[] = [
  { name: 'all allow the reading pause', besideMs: 100, pauses: [200, 300], tolerant: [200, 300] },
  { name: 'some allow it', besideMs: 200, pauses: [120, 250, 500], tolerant: [250, 500] },
  { name: 'none allows it: those that allow the longest are tolerant', besideMs: 400, pauses: [120, 200, 300], tolerant: [300] },
  { name: 'none allows it, and all are alike: none is tolerant', besideMs: 400, pauses: [300], tolerant: [] }
]

for (const { name, besideMs, pauses, tolerant } of toleranceCases) {
  test(`pause-tolerant requests: ${name}`, () => {
    const range = new PauseRange()
    pauses.forEach((pauseMs, i) => range.note(i, pauseMs))
    const found = pauses.filter(pauseMs => isPauseTolerant(createWork({ pauseMs }), computeMinTolerantPause(besideMs, range.findLongest(10))))
    assert.deepEqual(found, tolerant)
    assert.equal(range.findLongest(100_000), null)
  })
}
