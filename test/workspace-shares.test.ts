import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LoadTable, ShareDivision, WorkspaceDemand, WorkspaceSum, brandId, composeReport, findFairRate, maxReportedRates, maxTotalRates, subtractOwn } from '../src/core/index.js'
import type { ServiceDemand, ShareInput, WorkspaceName } from '../src/core/index.js'
import { createFleet, createLoad, createRecord, createWork, desk, engineService, long, nameZone } from './support/fleet-builder.js'
import { PoolModel } from './support/pool-model.js'
import { replayShares } from './support/share-model.js'
import type { ShareShape, WorkspaceCount } from './support/share-model.js'

const one = (rate: number) => ({ rate, count: 1 })
const fairCases: readonly [name: string, capacity: number, groups: Parameters<typeof findFairRate>[1], fair: number][] = [
  ['capacity for all', 30, [one(10), one(20)], Infinity],
  ['one over its share gets what the others leave', 30, [one(5), one(5), one(40)], 20],
  ['those over their share get the same', 30, [one(6), one(13), one(40)], 12],
  ['workspaces that are not listed count one by one', 30, [{ rate: 12, count: 4 }, one(40)], 18],
  ['no capacity', 0, [one(10)], 0],
  ['nobody', 10, [], Infinity]
]
for (const [name, capacity, groups, fair] of fairCases) test(`max-min fairness: ${name}`, () => assert.equal(findFairRate(capacity, groups), fair))

interface DivisionCase {
  readonly name: string
  readonly input: Partial<ShareInput>
  /** Fraction of each workspace's requests, by name and level; null if shares do not apply. */
  readonly fractions: readonly (readonly [workspace: string, level: number, fraction: number | null])[]
}
const divisionCases: readonly DivisionCase[] = [
  { name: 'off while demand is below 0.9 of the capacity', input: { own: { workspaces: [['loud', 0, 80], ['usual', 0, 9]] } }, fractions: [['loud', 0, null], ['usual', 0, null]] },
  { name: 'demand over all boxes counts', input: { own: { workspaces: [['usual', 0, 20]] }, others: { workspaces: [['loud', 0, 160]] } }, fractions: [['loud', 0, 0.5], ['usual', 0, 1]] },
  { name: 'totals that did not arrive: own part alone', input: { own: { workspaces: [['loud', 0, 160], ['usual', 0, 20]] }, others: null }, fractions: [['loud', 0, 0.5], ['usual', 0, 1]] },
  { name: 'full endpoints below that demand limit only who is far above an equal share', input: { own: { workspaces: [['loud', 0, 40], ['b', 0, 12], ['c', 0, 10], ['d', 0, 8]] }, isFull: true }, fractions: [['loud', 0, 0.9125], ['b', 0, 1], ['c', 0, 1]] },
  { name: 'a more urgent kind comes first, whoever sends it', input: { own: { workspaces: [['loud', 0, 75], ['loud', 2, 60], ['usual', 2, 5]] } }, fractions: [['loud', 0, 1], ['usual', 2, 1]] },
  { name: 'a workspace that is not listed is within its share', input: { own: {}, others: { workspaces: [['loud', 0, 160]], workspaceRest: [[0, 20, 4]] } }, fractions: [['other', 0, 1], ['loud', 0, 0.5]] }
]
for (const { name, input, fractions } of divisionCases) {
  test(`division among workspaces: ${name}`, () => {
    const division = new ShareDivision({ own: {}, others: null, capacity: 100, planned: 100, isFull: false, ageMs: 50, ...input })
    for (const [workspace, level, fraction] of fractions) assert.equal(division.find(workspace, level)?.fraction ?? null, fraction, workspace)
  })
}

test('a large request counts for its tokens: one workspace with few large requests is over its share, one with many small ones is not', () => {
  const demand = new WorkspaceDemand()
  for (let at = 0; at < 2000; at += 100) {
    if (at % 500 === 0) demand.note(brandId<WorkspaceName>('large'), 1, 100_000, at)
    for (let i = 0; i < 5; i++) demand.note(brandId<WorkspaceName>('small'), 1, 500, at)
  }
  const division = new ShareDivision({ own: { workspaces: demand.measure(1999) }, others: null, capacity: 150_000, planned: 150_000, isFull: false, ageMs: null })
  assert.ok((division.find('large', 1)?.fraction ?? 1) < 0.7)
  assert.equal(division.find('small', 1)?.fraction, 1)
})

test('reports and totals stay bounded with 4,800 workspaces, and lose no demand', () => {
  const table = new LoadTable()
  const reports = Array.from({ length: 60 }, (_, box) => {
    const demand = new WorkspaceDemand()
    for (let i = 0; i < 80; i++) demand.note(brandId<WorkspaceName>(`w${box * 80 + i}`), 0, 100 + i, 0)
    demand.note(brandId<WorkspaceName>('loud'), 0, 1000, 0)
    return createDemand({ ...composeReport(demand, 1, true, 0) })
  })
  reports.forEach((report, box) => table.note(brandId(`box-${box}`), nameZone('zone-a'), createLoad(1, { demands: [report] }), 0))
  const totals = table.sumOwn(0)
  const [{ workspaces = [], workspaceRest = [] }] = totals.demands
  assert.equal(reports[0].workspaces?.length, maxReportedRates)
  assert.equal(workspaces.length, maxTotalRates)
  assert.deepEqual(workspaces[0], ['loud', 0, 30_000])
  const sent = 60 * (1000 + Array.from({ length: 80 }, (_, i) => 100 + i).reduce((sum, rate) => sum + rate, 0)) / 2
  assert.equal(sum(workspaces.map(([,, rate]) => rate)) + sum(workspaceRest.map(([, rate]) => rate)) > sent * 0.98, true)
  // A box's own report is subtracted, also what the hub did not list by name.
  const others = subtractOwn(totals, createLoad(1, { demands: [reports[0]] })).demands[0]
  const rest = new WorkspaceSum().add(others).list()
  assert.equal(rest.workspaces[0][2], 29_500)
  const listed = workspaces.filter(([name]) => name === 'loud' || Number(name.slice(1)) < 80).length
  assert.equal(rest.workspaceRest[0][2], workspaceRest[0][2] - (81 - listed))
})

function createDemand (more: Partial<ServiceDemand>): ServiceDemand {
  return { service: desk, patient: 1, brisk: 0, apart: 0, base: 0, readingPauseMs: null, held: [], ...more }
}

// Two of eleven workspaces at seven times their usual rate; together 1.1 times what 30 slots can serve.
const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j', 'k']
const usualRate = 9.6
const loudAt = (at: number): boolean => at >= 3000 && at < 9000
function createShape (more: Partial<ShareShape> = {}, loudBoxes?: readonly number[]): ShareShape {
  const workspaces = names.map((name, i) => ({ name, rate: (at: number) => i < 2 && loudAt(at) ? 7 * usualRate : usualRate, boxes: i < 2 ? loudBoxes : undefined }))
  return { workspaces, boxes: 5, endpoints: 5, slots: 6, answerMs: 150, lagMs: 50, lengthMs: 12_000, maxWaitMs: 350, ...more }
}

interface ReplayCase {
  readonly name: string
  readonly shape: ShareShape
  readonly from?: number
  readonly until?: number
  /** Least part of the calls at the usual rate that is answered, of the worst such workspace, and of the capacity that is used. */
  readonly answered: number
  readonly worst: number
  readonly used: number
}
const replayCases: readonly ReplayCase[] = [
  { name: 'loud workspaces through all boxes', shape: createShape(), answered: 0.97, worst: 0.95, used: 0.9 },
  { name: 'totals that are half a second old', shape: createShape({ lagMs: 500 }), answered: 0.97, worst: 0.95, used: 0.9 },
  { name: 'loud workspaces on one box only', shape: createShape({}, [0]), answered: 0.97, worst: 0.94, used: 0.9 },
  { name: 'loud workspaces through a box without a hub, which keeps to its own part', shape: createShape({ hubless: [0] }, [0]), answered: 0.97, worst: 0.95, used: 0.65 },
  { name: 'totals that never arrive', shape: createShape({ lagMs: Infinity }), answered: 0.93, worst: 0.9, used: 0.9 },
  { name: 'totals that never arrive, loud workspaces on two boxes', shape: createShape({ lagMs: Infinity }, [0, 1]), answered: 0.97, worst: 0.95, used: 0.75 },
  { name: 'endpoints that refuse instead of calls that wait', shape: createShape({ maxWaitMs: undefined }), answered: 0.88, worst: 0.82, used: 0.68 }
]
for (const { name, shape, from = 4500, until = 9000, answered, worst, used } of replayCases) {
  test(`workspaces at their usual rate are served beside loud ones: ${name}`, () => {
    const seeds = [1, 2, 3]
    const runs = seeds.map(seed => [...replayShares(shape, seed, from, until).values()])
    const counts = names.map((_, i) => runs.map(run => run[i]).reduce(addCounts))
    const usual = counts.slice(2)
    const share = (list: readonly WorkspaceCount[]): number => sum(list.map(count => count.answered)) / sum(list.map(count => count.calls))
    assert.equal(sum(usual.map(count => count.refused)), 0, 'none is refused on arrival')
    const measured = { answered: share(usual), worst: Math.min(...usual.map(count => share([count]))), used: sum(counts.map(count => count.answered)) / (30 * seeds.length * (until - from) / 150) }
    assert.ok(measured.answered >= answered && measured.worst >= worst && measured.used >= used, JSON.stringify(measured))
  })
}

test('workspaces that were loud are served again after they stop', () => {
  const counts = [...replayShares(createShape(), 3, 9500, 12_000).values()]
  for (const { calls, answered } of counts) assert.ok(answered >= calls * 0.9, `${answered} of ${calls}`)
})

test('with the measures off, nothing is refused on arrival and nothing new is reported', () => {
  const workspace = brandId<WorkspaceName>('a')
  const [plain, engines] = [createFleet([createRecord('e1')]), createFleet([createRecord('e1')], engineService)]
  plain.noteArrival(createWork({ workspace }), 0)
  engines.noteArrival({ ...long, workspace }, 0)
  assert.deepEqual(plain.composeLoad(1), { loads: [], demands: [], gaps: [], prompts: [] })
  assert.deepEqual(engines.composeLoad(1).demands.flatMap(demand => Object.keys(demand)), ['service', 'patient', 'brisk', 'apart', 'base', 'readingPauseMs', 'held', 'rates', 'read'])
  assert.equal(plain.admit(createWork({ workspace }), 1), null)
  for (const [workspace, { refused }] of replayShares(createShape({ mode: 'off', lengthMs: 6000 }), 1)) assert.equal(refused, 0, workspace)
})

// The same load on six engines, with short prompts beside it that one of the loud workspaces sends.
test('workspaces at their usual rate keep their engines beside loud ones; more urgent requests of loud ones still come first', () => {
  const replay = (contention: 'on' | 'off') => {
    const all = [1, 2, 3].flatMap(seed => {
      const kinds = names.map(name => ({ name, workspace: name, level: 1, targetMs: 700, pauseMs: 400, promptTokens: 8000, callerTimeoutMs: 2500, rate: 2.97 }))
      const urgent = { name: 'urgent', workspace: 'a', level: 0, targetMs: 500, pauseMs: 200, promptTokens: 1400, callerTimeoutMs: 2000, rate: 40 }
      const loadFactor = (at: number, name: string): number => loudAt(at) && (name === 'a' || name === 'b') ? 7 : 1
      return new PoolModel({ kinds: [...kinds, urgent], boxes: 5, engines: 6, tokensPerMs: 80, loadDelayMs: 50, lengthMs: 9000, contention, loadFactor }, seed).run()
    }).filter(({ at }) => at >= 4500 && at < 8000)
    const share = (list: typeof all): number => list.filter(({ at, firstAt, kind }) => firstAt !== null && firstAt - at <= kind.targetMs).length / list.length
    return { usual: share(all.filter(({ kind }) => names.indexOf(kind.name) >= 2)), urgent: share(all.filter(({ kind }) => kind.name === 'urgent')) }
  }
  const [on, off] = [replay('on'), replay('off')]
  assert.ok(on.usual >= off.usual + 0.1, `${on.usual}, ${off.usual} without shares`)
  assert.ok(on.urgent >= 0.95 && on.urgent >= off.urgent - 0.02, `${on.urgent}, ${off.urgent} without shares`)
})

function addCounts (a: WorkspaceCount, b: WorkspaceCount): WorkspaceCount {
  return { calls: a.calls + b.calls, answered: a.answered + b.answered, refused: a.refused + b.refused, full: a.full + b.full }
}

function sum (values: readonly number[]): number { return values.reduce((total, value) => total + value, 0) }
