/** Start time and time per token that all boxes agree on. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ContentionSwitch, FirstEventModel, LoadTable, brandId, noTotals, subtractOwn } from '../src/core/index.js'
import type { BoxLoad, EndpointView, FirstEventTimes, Fleet, LoadTotals, PlacedRequest } from '../src/core/index.js'
import { createRandom } from '../src/runtime/index.js'
import { createFleet, createLoad, createRecord, createWork, desk, engineService, nameZone } from './support/fleet-builder.js'

type Hubs = readonly (readonly (FirstEventTimes | null)[])[]
const zone = nameZone('zone-a')
const busyService = { ...engineService, engine: { slots: 48, memoryTokens: 1_000_000, tokensPerEvent: 6, transfer: null } }
const createSwitch = (mode: 'on' | 'off') => new ContentionSwitch({ mode, cpuShare: null, isMarked: false })
const createReport = (firstEvent: FirstEventTimes | null): BoxLoad => createLoad(1, { demands: [{ service: desk, patient: 1, brisk: 0, apart: 1, base: 1, readingPauseMs: null, held: [], ...(firstEvent === null ? {} : { firstEvent }) }] })
const measure = (fleet: Fleet, field: string, at = 0): number => Number(new RegExp(`${field}=(\\d+)`).exec(fleet.describe(at)[0].text)?.[1])

// The totals of the first hub, which receives the totals of the others.
function sumHubs (hubs: Hubs): LoadTotals {
  const tables = hubs.map(() => new LoadTable())
  hubs.forEach((boxes, i) => boxes.forEach((times, j) => tables[i].note(brandId(`box-${i}-${j}`), zone, createReport(times), 0)))
  tables.slice(1).forEach((table, i) => tables[0].noteSum(brandId(`hub-${i}`), { ...table.sumOwn(0), isWhole: true, gone: [] }, 0))
  return tables[0].sumAll(tables[0].sumOwn(0), 0)
}

// Guards against a box with a wrong estimate that determines the times of all, and against fields lost at a hub.
for (const { name, hubs, expected } of [
  { name: 'each component on its own', hubs: [[[10, 0.012], [90, 0.0125], [95, 0.026]]], expected: [90, 0.0125] },
  { name: 'boxes that do not send the field', hubs: [[null, [90, 0.0125], null, [92, 0.013], [94, 0.012], null]], expected: [92, 0.0125] },
  { name: 'several hubs, one of them without an estimate', hubs: [[[90, 0.012]], [null], [[98, 0.0125], [96, 0.014], [20, 0.026]], [[92, 0.013]]], expected: [92, 0.013] },
  { name: 'no box has learned them', hubs: [[null, null], [null]] }
] as readonly { readonly name: string, readonly hubs: Hubs, readonly expected?: FirstEventTimes }[]) {
  test(`medians of start time and time per token: ${name}`, () => {
    assert.deepEqual(subtractOwn(sumHubs(hubs), createReport(hubs[0][0])).demands[0].firstEvent, expected)
  })
}

// Guards against a reported value that drifts with its own median, a median of a hub that is no longer heard, any effect while the measures are off,
// and a start time that flips between 10 and 98 with a single sample, and a time per token that doubles with it.
for (const { mode, agreed, report } of [{ mode: 'on', agreed: null, report: [90, 0.0125] }, { mode: 'on', agreed: [40, 0.03], report: [90, 0.0125] }, { mode: 'off', agreed: [40, 0.03], report: null }] as const) {
  test(`own and agreed times: measures ${mode}, agreed ${agreed?.join() ?? 'none'}`, () => {
    const model = new FirstEventModel(createSwitch(mode))
    model.noteAgreed(agreed)
    assert.equal(model.composeReport(0), null)
    const used = Array.from({ length: 40 }, (_, i): FirstEventTimes => {
      const readTokens = i % 3 === 0 ? 1460 : 17_020
      // Sample 15 is of an engine that is wrongly taken for ten times slower than the median.
      model.add({ readTokens, aheadTokens: readTokens < 2000 ? 0 : i % 2 * 20_000, fetchMs: 0, slowness: i === 15 ? 10 : 1, tookMs: 90 + readTokens * 0.0125 + i % 4 }, i * 300)
      return [model.startMs, model.msPerToken]
    }).slice(12)
    assert.deepEqual(model.composeReport(12_000), report)
    if (mode === 'off') assert.ok(used.every(([startMs, ms]) => startMs === 10 && ms !== 0.03))
    else if (agreed !== null) assert.deepEqual(used.at(-1), agreed)
    else assert.ok(used.every(([startMs, ms]) => startMs >= 80 && startMs <= 100 && ms > 0.0108 && ms < 0.0155), JSON.stringify(used))
    const fleet = createFleet([createRecord('e1')], engineService, createSwitch(mode))
    for (const [totals, startMs] of [[sumHubs([[agreed]]), mode === 'on' ? agreed?.[0] ?? 10 : 10], [noTotals, 10]] as const) {
      fleet.noteOthers(totals, 0)
      assert.equal(measure(fleet, 'start'), startMs)
    }
  })
}

// Differences between the counts of dedicated engines that 60 boxes compute, every 250 ms. 63 equal engines read in order of arrival.
function replay (isAgreed: boolean): number[] {
  const [random, table, busyUntil, spreads] = [createRandom(5), new LoadTable(), new Map<string, number>(), new Array<number>()]
  const fleets = Array.from({ length: 60 }, () => createFleet(Array.from({ length: 63 }, (_, i) => createRecord(`e${i + 1}`)), busyService, createSwitch('on')))
  const lateMs = fleets.map(() => random() * 40)
  let flights: { readonly view: EndpointView, readonly placed: PlacedRequest, readonly firstAt: number }[] = []
  for (let at = 0; at < 20_000; at += 10) {
    for (const { view, placed } of flights.filter(one => one.firstAt <= at)) {
      view.noteFirst(placed, at)
      view.remove(placed, at)
    }
    flights = flights.filter(one => one.firstAt > at)
    fleets.forEach((fleet, box) => {
      if (random() >= 0.03) return
      const [tokens, level, pauseMs] = random() < 1 / 3 ? [1460, 0, 250] : [17_020, 2, 1000]
      const work = createWork({ level, priority: level, pauseMs, targetMs: 2000, cost: { promptTokens: tokens, maxTokens: 100, parts: [{ id: `${box}-${at}`, tokens }] } })
      fleet.noteArrival(work, at)
      const choice = fleet.choose(work, [], at, random())
      if (typeof choice === 'string') return
      const { view, plan } = choice
      busyUntil.set(view.id, Math.max(at, busyUntil.get(view.id) ?? 0) + tokens * 0.0125)
      flights.push({ view, placed: view.place(work, plan, at), firstAt: (busyUntil.get(view.id) ?? 0) + 90 + random() * lateMs[box] })
    })
    if (at % 250 !== 0) continue
    const reports = fleets.map(fleet => fleet.composeLoad(at))
    reports.forEach((load, i) => table.note(brandId(`box-${i}`), zone, isAgreed ? load : { ...load, demands: load.demands.map(({ firstEvent, ...rest }) => rest) }, at))
    fleets.forEach((fleet, i) => fleet.noteOthers(subtractOwn(table.sumOwn(at), reports[i]), at))
    const counts = fleets.map(fleet => measure(fleet, 'own', at))
    if (at >= 5000) spreads.push(Math.max(...counts) - Math.min(...counts))
  }
  return spreads
}

// Guards against a count that the box with the largest error determines: without the agreed times, the difference is 10.
test('60 boxes compute counts of dedicated engines that differ by at most 2, but not without agreed times', () => {
  const [agreed, own] = [true, false].map(isAgreed => Math.max(...replay(isAgreed)))
  assert.ok(agreed <= 2 && own > 2, `${agreed} ${own}`)
})
