import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ContentionSwitch, Fleet, LoadSum, ReturnPlanner, brandId, subtractOwn } from '../src/core/index.js'
import type { RefusedRequest, ReturnRates } from '../src/core/index.js'
import { createRandom } from '../src/runtime/index.js'
import { createRecord, createWork, desk, engineService } from './support/fleet-builder.js'
import { halvedAt, replayBurst } from './support/return-replay.js'
import type { ReplayOptions, Told } from './support/return-replay.js'

// A burst of refusals at many boxes at once; guards against callers that return together and are refused again.
const usual: ReplayOptions = { boxes: 20, lagMs: 50, patience: 1, capacityFactor: 1, usualRate: 140, levels: [0, 1, 2], skew: 0 }
const halved: Partial<ReplayOptions> = { capacityFactor: 0.5, usualRate: 90 }
const replays: readonly { readonly name: string, readonly more: Partial<ReplayOptions>, readonly counted?: (told: Told) => boolean }[] = [
  { name: 'return as told', more: {} },
  { name: 'return as told, with one kind', more: { levels: [1] } },
  { name: 'return as told, with totals that lag by 250 ms', more: { lagMs: 250 } },
  { name: 'return as told, with totals that lag by 500 ms', more: { lagMs: 500 } },
  { name: 'return as told to 77 boxes', more: { boxes: 77, lagMs: 250 } },
  { name: 'come mostly to two boxes', more: { skew: 0.7, lagMs: 250 } },
  { name: 'come back early', more: { patience: 0.5 } },
  { name: 'return as told to boxes without a hub', more: { lagMs: null } },
  { name: 'are more urgent than others, while the capacity halves', more: halved, counted: ({ level }) => level < 2 },
  { name: 'are refused after the capacity has halved', more: halved, counted: ({ at }) => at >= halvedAt }
]

for (const { name, more, counted = () => true } of replays) {
  test(`callers who ${name}: 0.9 of those told to return are served, and none of a more urgent kind is told a later time`, () => {
    const options = { ...usual, ...more }
    const rounds = [1, 2, 3, 4, 5, 6, 7, 8].map(seed => replayBurst(options, createRandom(seed)))
    const back = rounds.flat().filter(({ isServed }) => isServed !== null).filter(counted)
    const served = back.filter(({ isServed }) => isServed === true).length
    assert.ok(back.length >= 10 && served >= back.length * 0.9, `${served} of ${back.length}`)
    const { lagMs } = options
    if (lagMs === null) return
    // Boxes know of each other's plans once the totals have arrived.
    const findBehind = (told: Told[]): Told[] => told.filter(urgent => told.some(one => one.level > urgent.level && one.at >= urgent.at + lagMs + 50 && one.dueAt < urgent.dueAt - 250))
    assert.deepEqual(rounds.flatMap(findBehind), [])
  })
}

const request: RefusedRequest = { service: desk, level: 1, isUnderShare: true, amount: 1, remainingMs: 60_000 }
const rates: ReturnRates = { capacity: 100, arrivals: 90, scale: 1 }
const createPlanner = (more: Partial<ReturnRates> = {}): ReturnPlanner => new ReturnPlanner(() => ({ ...rates, ...more }))
const findReturns = (planner: ReturnPlanner, at: number): number => (planner.compose(desk, at).returns ?? []).reduce((sum, [, amount]) => sum + amount, 0)
/** What a caller is told after `count` others at the same time, ms. */
function planAfter (planner: ReturnPlanner, count: number, last: Partial<RefusedRequest>, others: Partial<RefusedRequest> = {}): number {
  for (let i = 0; i < count; i++) planner.plan({ ...request, ...others }, 0, 0)
  return planner.plan({ ...request, ...last }, 0, 0)
}

const plans: readonly { readonly name: string, readonly rates?: Partial<ReturnRates>, readonly count: number, readonly last?: Partial<RefusedRequest>, readonly others?: Partial<RefusedRequest>, readonly from: number, readonly to: number }[] = [
  { name: 'the first', count: 0, from: 100, to: 250 },
  { name: 'behind the work of two seconds', count: 20, from: 1750, to: 2250 },
  { name: 'at 0.05 of a capacity that others use up, from the end of the meters\' window', rates: { arrivals: 200 }, count: 10, from: 2500, to: 3500 },
  { name: 'ahead of a less urgent kind', count: 20, last: { level: 0 }, from: 100, to: 250 },
  { name: 'ahead of workspaces over their share', count: 20, others: { isUnderShare: false }, from: 100, to: 250 },
  { name: 'behind workspaces under their share', count: 20, last: { isUnderShare: false }, from: 1750, to: 10_000 },
  { name: 'once an endpoint accepts requests', count: 0, last: { notBeforeMs: 1300 }, from: 1300, to: 1500 },
  { name: 'once the backlog has shrunk at the free rate', count: 0, last: { excessMs: 200 }, from: 2750, to: 3250 },
  { name: 'in whole seconds', count: 0, last: { stepMs: 1000 }, from: 1000, to: 1000 },
  { name: 'within a deadline that is too near', count: 20, last: { remainingMs: 700 }, from: 700, to: 700 },
  { name: 'within the deadline where nothing is served', rates: { capacity: 0 }, count: 0, last: { remainingMs: 5000 }, from: 5000, to: 5000 }
]

for (const { name, rates: more, count, last = {}, others, from, to } of plans) {
  test(`a caller is told to return ${name}`, () => {
    const ms = planAfter(createPlanner(more), count, last, others)
    assert.ok(ms >= from && ms <= to, String(ms))
  })
}

// Guards against remainders of floating point, with which a caller is told 2 s instead of 1.
test('times in whole seconds are exact at any time of the clock', () => {
  for (let at = 0.1; at < 1000; at += 3.3) assert.equal(createPlanner().plan({ ...request, stepMs: 1000 }, at, 0.3) % 1000, 0, String(at))
})

test('callers that do not return, or could not in time, hold no capacity', () => {
  const planner = createPlanner()
  planAfter(planner, 20, { remainingMs: 700 })
  assert.equal(findReturns(planner, 0), 20)
  assert.equal(findReturns(planner, 5000), 0)
  assert.ok(planner.plan(request, 5000, 0) <= 250)
})

test('a caller that returns early gives up its place, once', () => {
  const planner = createPlanner()
  planAfter(planner, 20, { id: 'r1' })
  const later = findReturns(planner, 750)
  assert.ok((planner.noteReturned('r1', 500) ?? 0) < -1000)
  assert.equal(planner.noteReturned('r1', 500), null)
  assert.equal(findReturns(planner, 750), later - 1)
})

test('boxes whose clocks differ plan behind what others report, and ignore reports that are invalid', () => {
  const [first, second] = [createPlanner(), createPlanner({ scale: 2 })]
  for (let i = 0; i < 20; i++) first.plan(request, 1_000_000, 0)
  const demand = { service: desk, patient: 0, brisk: 0, apart: 0, base: 0, readingPauseMs: null, held: [], holders: 0 }
  const report = { loads: [], demands: [{ ...demand, ...first.compose(desk, 1_000_000) }], gaps: [], prompts: [], zones: [] }
  const sum = new LoadSum()
  sum.add(report)
  sum.add({ ...report, demands: [{ ...demand, returns: [[-1, 9], [1.5, 9], [9000, 9], [3, NaN], [2, -1]] }] })
  second.noteOthers(sum.totals.demands, 3100)
  assert.ok(second.plan(request, 3200, 0) > 1500)
  assert.deepEqual(subtractOwn(sum.totals, report).demands[0].returns?.filter(([, amount]) => amount === 1), [])
})

for (const mode of ['off', 'on'] as const) {
  test(`a box reports returns and the rates of plain services only while the measures are on: ${mode}`, () => {
    const fleet = new Fleet(brandId('zone-a'), () => true, () => undefined, new ContentionSwitch({ mode, cpuShare: null, isMarked: false }))
    fleet.configure([{ ...engineService, engine: null }])
    fleet.applyRecords([createRecord('e1')])
    fleet.noteArrival(createWork(), 0)
    fleet.returns.plan(request, 0, 0)
    assert.deepEqual(fleet.composeLoad(1).demands.map(({ rates, returns }) => [rates, returns?.length]), mode === 'on' ? [[[[0, 1]], 1]] : [])
  })
}
