import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LoadBook, PauseRange, ReadingPause, ReadingShare, brandId, computeShare, findPatience, isPatient } from '../src/core/index.js'
import type { ReadingDemand } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, desk, engineService, movingService, nameZone } from './support/fleet-builder.js'

const demand: ReadingDemand = { rates: Array<number>(10).fill(40_000), tolerantRate: 0, sensitiveRate: 0, waiting: 0, tolerantEngines: 0, sensitiveEngines: 0 }
const shares: readonly { name: string, demand: Partial<ReadingDemand>, count: number }[] = [
  { name: 'nothing asked', demand: {}, count: 1 },
  { name: 'reading for three engines, with some time left to each for its streams', demand: { tolerantRate: 100_000 }, count: 4 },
  { name: 'a burst of reading leaves a fifth to the others', demand: { tolerantRate: 900_000 }, count: 8 },
  { name: 'in bursts of both quick questions go first', demand: { tolerantRate: 240_000, sensitiveRate: 100_000 }, count: 5 },
  { name: 'a burst of quick questions leaves some to long prompts', demand: { tolerantRate: 240_000, sensitiveRate: 900_000 }, count: 3 },
  { name: 'slow engines count for less', demand: { rates: Array<number>(10).fill(20_000), tolerantRate: 100_000 }, count: 8 },
  { name: 'memory needs engines too', demand: { tolerantEngines: 4.2 }, count: 5 },
  { name: 'one engine serves all', demand: { rates: [40_000], tolerantRate: 100_000 }, count: 1 }
]

for (const { name, demand: more, count } of shares) {
  test(`engines set apart: ${name}`, () => assert.equal(computeShare({ ...demand, ...more }), count))
}

test('the share grows at once and shrinks slowly, never below its base', () => {
  const share = new ReadingShare()
  assert.deepEqual(share.update(0, demand), { count: 4, base: 4 })
  assert.equal(share.update(10, { ...demand, tolerantRate: 250_000 }).count, 8)
  assert.equal(share.update(1000, demand).count, 8)
  assert.equal(share.update(2600, demand).count, 7)
  for (let at = 4200; at < 30_000; at += 1600) share.update(at, { ...demand, tolerantRate: 100_000 })
  assert.deepEqual(share.counts, { count: 4, base: 4 })
})

test('what quick questions need is given up at once, down to the base', () => {
  const share = new ReadingShare()
  assert.equal(share.update(0, { ...demand, tolerantRate: 250_000 }).count, 8)
  assert.equal(share.update(10, { ...demand, tolerantRate: 250_000, sensitiveEngines: 5 }).count, 5)
  assert.equal(share.update(20, { ...demand, tolerantRate: 250_000, sensitiveEngines: 9 }).count, 3)
})

test('a quick question goes beside long prompts only where no other engine has a slot free', () => {
  const records = Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`))
  const fleet = createFleet(records, engineService)
  const quick = createWork({ pauseMs: 50, cost: { promptTokens: 100, mostTokens: 10, parts: [] } })
  const used = new Set<string>()
  for (let i = 0; i < 40; i++) {
    const choice = fleet.choose(quick, [], i / 10, 0)
    assert.ok(typeof choice !== 'string')
    if (i < 24) used.add(choice.view.id)
    choice.view.place(quick, choice.plan, i / 10)
  }
  assert.equal(used.size, 3)
  assert.equal([...fleet.views].filter(view => view.running > 0).length, 5)
})

test('long prompts and quick questions don\'t share engines, and boxes agree on which are which', () => {
  const records = Array.from({ length: 8 }, (_, i) => createRecord(`e${i + 1}`, { zone: nameZone(`zone-${i % 2}`) }))
  const boxes = [createFleet(records, engineService), createFleet([...records].reverse(), engineService)]
  const sides = boxes.map(fleet => {
    const patient = new Set<string>()
    const brisk = new Set<string>()
    for (let i = 0; i < 60; i++) {
      const parts = [{ id: `shared-${i % 7}`, tokens: 300 }, { id: `own-${i}`, tokens: 700 }]
      const long = fleet.choose(createWork({ priority: 2, pauseMs: 600, cost: { promptTokens: 1000, mostTokens: 10, parts } }), [], i, i / 60)
      const quick = fleet.choose(createWork({ pauseMs: 100, cost: { promptTokens: 200, mostTokens: 10, parts: [{ id: `q-${i}`, tokens: 200 }] } }), [], i, i / 60)
      if (typeof long !== 'string') patient.add(long.view.id)
      if (typeof quick !== 'string') brisk.add(quick.view.id)
    }
    return { patient, brisk }
  })
  for (const { patient, brisk } of sides) assert.deepEqual([...patient].filter(id => brisk.has(id)), [])
  assert.deepEqual([...sides[0].patient].filter(id => sides[1].brisk.has(id)), [])
  assert.deepEqual([...sides[1].patient].filter(id => sides[0].brisk.has(id)), [])
})

test('who bears pauses beside reading is learned from the longest pauses seen there', () => {
  const slow = createWork({ pauseMs: 300, cost: { promptTokens: 100, mostTokens: 10, parts: [] } })
  const brisk = createWork({ ...slow, pauseMs: 185 })
  const pause = new ReadingPause()
  assert.equal(pause.find(0), null)
  for (let i = 0; i < 240; i++) pause.add(i % 40 === 0 ? 180 : 60, 1, i)
  for (let i = 240; i < 600; i++) pause.add(60, 1, i)
  assert.deepEqual([pause.find(600), pause.find(70_000)], [180, null])
  assert.deepEqual([slow, brisk].map(work => isPatient(work, findPatience(pause.find(600) ?? 0, null))), [true, false])
})

test('a box that has seen no pause goes by the middle of what the others saw', () => {
  const fleet = createFleet(Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`)), engineService)
  const work = createWork({ pauseMs: 200, cost: { promptTokens: 100, mostTokens: 10, parts: [] } })
  const tell = (readingPauseMs: number): void => {
    const book = new LoadBook()
    for (const [i, seen] of [readingPauseMs, readingPauseMs, 9000].entries()) book.note(brandId(`box-${i}`), nameZone('zone-a'), createLoad(0, { loads: [], demands: [{ service: desk, patient: 1, brisk: 1, apart: 2, base: 1, readingPauseMs: seen, held: [] }] }), 0)
    fleet.noteOthers(book.sumOwn(0), 0)
  }
  const countCandidates = (at: number): number => {
    const choice = fleet.choose(work, [], at, 0)
    return typeof choice === 'string' ? 0 : choice.candidates
  }
  tell(100)
  const beside = countCandidates(100)
  tell(260)
  assert.notEqual(countCandidates(200), beside)
})

test('an engine that was just set apart gets no prompt while streams run there that bear none beside them', () => {
  const fleet = createFleet(Array.from({ length: 5 }, (_, i) => createRecord(`e${i + 1}`)), movingService)
  const large = createWork({ pauseMs: 600, cost: { promptTokens: 20_000, mostTokens: 10, parts: [] } })
  const pick = (): string => {
    const choice = fleet.choose(large, [], 1, 0)
    return typeof choice === 'string' ? choice : choice.view.id
  }
  const first = pick()
  const brisk = createWork({ pauseMs: 50, cost: { promptTokens: 100, mostTokens: 10, parts: [] } })
  fleet.findView(brandId(first))?.place(brisk, { readTokens: 0, fetch: null }, 0)
  assert.notEqual(pick(), first)
})

const patience: readonly { name: string, besideMs: number, pauses: readonly number[], patient: readonly number[] }[] = [
  { name: 'all bear it', besideMs: 100, pauses: [200, 300], patient: [200, 300] },
  { name: 'some bear it', besideMs: 200, pauses: [120, 250, 500], patient: [250, 500] },
  { name: 'none bears it: those that bear most go beside it', besideMs: 400, pauses: [120, 200, 300], patient: [300] },
  { name: 'none bears it, and all are alike: engines are not parted', besideMs: 400, pauses: [300], patient: [] }
]

for (const { name, besideMs, pauses, patient } of patience) {
  test(`who goes beside reading: ${name}`, () => {
    const range = new PauseRange()
    pauses.forEach((pauseMs, i) => range.note(i, pauseMs))
    const found = pauses.filter(pauseMs => isPatient(createWork({ pauseMs }), findPatience(besideMs, range.findLongest(10))))
    assert.deepEqual(found, patient)
    assert.equal(range.findLongest(100_000), null)
  })
}
