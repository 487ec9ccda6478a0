/** Engine speeds from runs of events, the kinds that share engines with long reads, and choices that allow for delayed totals. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ContentionSwitch, EngineSpeed, EventRun, Fleet, PauseClasses, brandId, findLevel, noTotals, pickBelowLevel } from '../src/core/index.js'
import { createRandom } from '../src/runtime/index.js'
import { createRecord, createWork, desk, engineService, nameZone } from './support/fleet-builder.js'

const gapMs = 19.7
const random = createRandom(7)

// Guards against engine speeds measured from single gaps: busy boxes receive events late and together, and the busiest engines passed for the fastest.
const runCases: readonly { readonly name: string, readonly delay: (event: number) => number, readonly readMs?: number, readonly expected: number | null, readonly within?: number }[] = [
  { name: 'on time', delay: () => 0, expected: gapMs, within: 0.1 },
  { name: 'with random delays', delay: () => 25 * random(), expected: gapMs, within: 3 },
  { name: 'read by a box that looks every 60 ms', delay: event => 60 - (event * gapMs) % 60, expected: gapMs, within: 4 },
  { name: 'behind a stall of 3 s, four at a time', delay: event => event < 10 || event > 150 ? 0 : Math.max(0, 3200 + 0.01 * Math.floor(event / 4) - event * gapMs), expected: gapMs, within: 0.5 },
  { name: 'with a prompt read between any two', delay: event => event * 100, readMs: 50, expected: null }
]

for (const { name, delay, readMs, expected, within = 0 } of runCases) {
  test(`engine speed from events that arrive ${name}`, () => {
    const speed = new EngineSpeed()
    const run = new EventRun()
    const times = Array.from({ length: 400 }, (_, i) => i * gapMs + delay(i)).sort((a, b) => a - b)
    for (let i = 0; i < times.length;) {
      const at = times[i]
      const events = times.filter(time => time === at).length
      const { meanMs } = run.add({ at, events, isReading: readMs !== undefined })
      if (meanMs !== null) speed.noteRun(meanMs)
      i += events
    }
    if (expected === null) return assert.equal(speed.ownGapMs, null)
    assert.ok(speed.ownGapMs !== null && Math.abs(speed.ownGapMs - expected) <= within, `${speed.ownGapMs} ms`)
  })
}

test('runs of events that were received together after a stall give no speed', () => {
  const speed = new EngineSpeed()
  for (let i = 0; i < 10; i++) speed.noteRun(0.02)
  assert.equal(speed.ownGapMs, null)
})

// Guards against gaps that are judged by what the engine reads when the next event arrives: the pause of a read that has just ended counted as a usual gap.
test('a gap at whose start or end a prompt was read belongs to no run, and the last event of a stream neither', () => {
  const run = new EventRun()
  const means = Array.from({ length: 21 }, (_, i) => run.add({ at: i * 20 + (i > 9 ? 300 : 0) - (i === 20 ? 15 : 0), events: 1, isReading: i === 9 }).meanMs)
  assert.deepEqual(means.filter(mean => mean !== null), [20, 20])
})

// Guards against a run that spans the time in which the box took no samples, as one gap.
test('a box whose totals are out of date discards the runs of its streams', () => {
  const fleet = new Fleet(nameZone('zone-a'), undefined, undefined, new ContentionSwitch({ mode: 'on', cpuShare: null, isMarked: false }))
  fleet.configure([engineService])
  fleet.applyRecords([createRecord('e1')])
  const view = fleet.findView(brandId('e1'))
  assert.ok(view !== undefined)
  const run = new EventRun()
  const totals = { ...noTotals, zones: [nameZone('zone-a')] }
  for (let i = 0; i < 200; i++) {
    const at = i * 20
    if (i % 80 < 25) fleet.noteOthers(totals, at)
    fleet.noteEvents(view, run, 1, at)
  }
  assert.equal(view.ownGapMs, 20)
})

interface Arrivals { readonly level: number, readonly pauseMs: number, readonly tokens: readonly number[] }
const short: Arrivals = { level: 0, pauseMs: 250, tokens: [1460] }
const medium: Arrivals = { level: 1, pauseMs: 400, tokens: [9190] }
const long: Arrivals = { level: 2, pauseMs: 1000, tokens: [17_020] }
// Reading two prompts of 5,682 tokens at 0.011 ms takes half of 250 ms.
const classCases: readonly { readonly name: string, readonly kinds: readonly Arrivals[], readonly limitMs: number | null }[] = [
  { name: 'kinds of customer F', kinds: [short, medium, long], limitMs: 400 },
  { name: 'kinds of customer S', kinds: [{ ...short, pauseMs: 200 }, { ...medium, pauseMs: 300 }, { ...long, pauseMs: 800 }], limitMs: 300 },
  { name: 'one kind', kinds: [long], limitMs: null },
  { name: 'kinds with the same limit', kinds: [short, { ...medium, pauseMs: 250 }, { ...long, pauseMs: 290 }], limitMs: null },
  { name: 'a middle kind with short prompts', kinds: [short, { ...medium, tokens: [2000] }, long], limitMs: 1000 },
  { name: 'a kind whose first prompt is exceptionally long', kinds: [short, { ...medium, tokens: [60_000, ...Array<number>(19).fill(2000)] }, long], limitMs: 1000 },
  { name: 'two kinds of one level, of which one has the strictest limit', kinds: [{ ...short, level: 1 }, { ...medium, level: 1 }], limitMs: 400 },
  { name: 'no kind', kinds: [], limitMs: null }
]

for (const { name, kinds, limitMs } of classCases) {
  test(`kinds beside long reads: ${name}`, () => {
    const classes = new PauseClasses()
    for (let i = 0; i < 20; i++) for (const { level, pauseMs, tokens } of kinds) classes.note(createWork({ level, priority: level, pauseMs, cost: { promptTokens: tokens[i % tokens.length], maxTokens: 10, parts: [] } }), i)
    assert.equal(classes.findTolerantLimit(0.011, 20), limitMs)
    assert.equal(classes.findTolerantLimit(0.011, 61_000), null)
  })
}

test('a kind whose prompts are about as long as the bound does not alternate between the classes', () => {
  const classes = new PauseClasses()
  const limits: (number | null)[] = []
  for (let i = 0; i < 4000; i++) {
    for (const [level, pauseMs, tokens] of [[0, 250, 1460], [1, 400, 5682 * (0.2 + 1.6 * random())]]) classes.note(createWork({ level, pauseMs, cost: { promptTokens: tokens, maxTokens: 10, parts: [] } }), i)
    if (i >= 100) limits.push(classes.findTolerantLimit(0.011, i))
  }
  assert.ok(limits.filter((limit, i) => i > 0 && limit !== limits[i - 1]).length <= 1)
})

const levels: readonly { readonly name: string, readonly costs: readonly number[], readonly unreportedMs: number, readonly level: number, readonly shares: readonly number[] }[] = [
  { name: 'one engine', costs: [50], unreportedMs: 1000, level: 1050, shares: [1] },
  { name: 'no unreported work: the cheapest', costs: [10, 40, 90], unreportedMs: 0, level: 13, shares: [1, 0, 0] },
  { name: 'no unreported work, equal engines', costs: [10, 10, 90], unreportedMs: 0, level: 13, shares: [0.5, 0.5, 0] },
  { name: 'one far cheaper engine', costs: [10, 900, 900], unreportedMs: 300, level: 310, shares: [1, 0, 0] },
  { name: 'equal engines', costs: [20, 20, 20, 20], unreportedMs: 400, level: 120, shares: [0.25, 0.25, 0.25, 0.25] },
  { name: 'work that fills two of three', costs: [400, 0, 100], unreportedMs: 300, level: 200, shares: [0, 2 / 3, 1 / 3] }
]

for (const { name, costs, unreportedMs, level, shares } of levels) {
  test(`choice with delayed totals: ${name}`, () => {
    assert.equal(findLevel(costs, unreportedMs), level)
    const counts = costs.map(() => 0)
    const draws = 20_000
    for (let i = 0; i < draws; i++) counts[pickBelowLevel({ costs, unreportedMs }, i / draws)] += 1
    shares.forEach((share, i) => assert.ok(Math.abs(counts[i] / draws - share) < 0.01, `engine ${i}: ${counts[i]}`))
  })
}

// Guards against a choice among the engines that a filter left in which one without room is drawn, so that the request waits beside an idle engine.
test('a long prompt is placed on the only engine of a filter that has room', () => {
  const fleet = new Fleet(nameZone('zone-a'), undefined, undefined, new ContentionSwitch({ mode: 'on', cpuShare: null, isMarked: false }))
  fleet.configure([engineService])
  fleet.applyRecords(['e1', 'e2', 'e3'].map(id => createRecord(id, { slots: 8 })))
  const load = (running: number, id: string): (typeof noTotals.loads)[number] => ({ endpoint: brandId(id), running, brisk: 0, memory: 0, waiting: [], largest: 0, backedOff: 0 })
  fleet.noteOthers({ ...noTotals, loads: [load(8, 'e1'), load(7, 'e2')], demands: [{ service: desk, patient: 1e6, brisk: 0, apart: 1, base: 1, readingPauseMs: null, held: [], holders: 0 }], zones: [nameZone('zone-a')] }, 0, -1000)
  const work = createWork({ pauseMs: null, cost: { promptTokens: 100, maxTokens: 10, parts: [] } })
  for (let draw = 0; draw < 1; draw += 0.05) assert.notEqual(fleet.choose(work, [], 10, draw, 0, { key: null, avoided: new Set(), mayUse: ({ id }) => id !== brandId('e3') }), 'later')
})
