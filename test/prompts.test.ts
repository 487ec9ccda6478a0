import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Fleet, PromptIndex, PromptCacheModel, PromptRelay, brandId, noTotals } from '../src/core/index.js'
import { PromptBatchSender, isSavedPrompt, splitIntoBatches } from '../src/registry/index.js'
import type { LoadTotals, RoutedService } from '../src/core/index.js'
import { createFleet, createRecord, engineService, long, movingService, readShared } from './support/fleet-builder.js'

test('a part counts as cached only if every part before it is, and the oldest are evicted', () => {
  const memory = new PromptCacheModel(1000)
  const parts = [{ id: 'a', tokens: 300 }, { id: 'b', tokens: 300 }, { id: 'c', tokens: 200 }]
  memory.add(parts)
  assert.equal(memory.countCachedTokens(parts), 800)
  assert.equal(memory.countCachedTokens([{ id: 'x', tokens: 1 }, ...parts]), 0)
  memory.add([{ id: 'd', tokens: 600 }])
  assert.equal(memory.countCachedTokens(parts), 0)
  assert.equal(memory.countCachedTokens([{ id: 'd', tokens: 600 }]), 600)
})

const fetchCases: readonly { name: string, service?: RoutedService, prompts?: LoadTotals['prompts'], disturb?: (fleet: Fleet) => void, tried?: string[], fetch: string | null, read: number | null }[] = [
  { name: 'no engine has it cached: all of it is read', prompts: [], fetch: null, read: 8000 },
  { name: 'the engine that has it cached reads the rest', tried: ['e2', 'e3'], fetch: null, read: 2000 },
  { name: 'another engine fetches it from there', tried: ['e1'], fetch: 'e1', read: 2000 },
  { name: 'without transfers, only the affinity engine is assumed to have it cached', service: engineService, tried: ['e1', 'e2'], fetch: null, read: null },
  { name: 'nothing is fetched from a doubtful holder', disturb: fleet => fleet.findView(brandId('e1'))?.health.noteBroken(0), tried: ['e1'], fetch: null, read: 8000 },
  { name: 'nothing is fetched from a holder of another software version', disturb: fleet => fleet.applyRecords([createRecord('e1', { software: 'v2', sequence: 2 })]), tried: ['e1'], fetch: null, read: 8000 },
  { name: 'nothing is fetched over a slow link', service: { ...movingService, engine: { ...movingService.engine!, transfer: { tokenBytes: 100_000, bytesPerMs: 1_000_000 } } }, tried: ['e1'], fetch: null, read: 8000 }
]

for (const { name, service = movingService, prompts = readShared, disturb, tried = [], fetch, read } of fetchCases) {
  test(`a shared prompt: ${name}`, () => {
    const fleet = createFleet([createRecord('e1'), createRecord('e2'), createRecord('e3')], service)
    fleet.noteOthers({ ...noTotals, prompts }, 0)
    disturb?.(fleet)
    const choice = fleet.choose(long, tried.map(id => brandId(id)), 1, 0)
    assert.ok(typeof choice !== 'string')
    assert.deepEqual([choice.plan.fetch?.from.id ?? null, choice.plan.readTokens], [fetch, read ?? choice.plan.readTokens])
    assert.ok(choice.plan.readTokens >= 2000)
  })
}

test('cached prompts are reported for a short time, and other boxes use the reports', () => {
  const here = createFleet([createRecord('e1'), createRecord('e2')], movingService)
  const there = createFleet([createRecord('e1'), createRecord('e2')], movingService)
  const choice = here.choose(long, [], 0, 0)
  assert.ok(typeof choice !== 'string')
  const placed = choice.view.place(long, choice.plan, 0)
  assert.deepEqual(here.composeLoad(50).prompts, [[choice.view.id, [['shared', 6000]], false]])
  choice.view.noteFirst(placed, 100)
  const { prompts } = here.composeLoad(250)
  assert.deepEqual(prompts, [[choice.view.id, [['shared', 6000]], true]])
  assert.deepEqual(here.composeLoad(400).prompts, [])
  there.noteOthers({ ...noTotals, prompts }, 260)
  assert.equal(there.findView(choice.view.id)?.prompts.countCachedTokens(long.cost!.parts), 6000)
})

const arrivalOrders: readonly { name: string, prepare: (fleet: Fleet) => void }[] = [
  { name: 'before its service', prepare: fleet => { fleet.applyRecords([createRecord('e1')]); fleet.configure([movingService]) } },
  { name: 'after its service', prepare: fleet => { fleet.configure([movingService]); fleet.applyRecords([createRecord('e1')]) } },
  { name: 'before its service, which then changes', prepare: fleet => { fleet.applyRecords([createRecord('e1')]); fleet.configure([movingService]); fleet.configure([{ ...movingService, mostConnections: 7 }]) } }
]

for (const { name, prepare } of arrivalOrders) {
  test(`cached prompts are applied to an engine whose record arrived ${name}`, () => {
    const fleet = new Fleet(brandId('zone-a'))
    prepare(fleet)
    fleet.noteOthers({ ...noTotals, prompts: readShared }, 0)
    assert.equal(fleet.findView(brandId('e1'))?.prompts.countCachedTokens(long.cost!.parts), 6000)
  })
}

test('a prompt still being read counts as cached on its engine, but is not fetched from there', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2'), createRecord('e3')], movingService)
  fleet.noteOthers({ ...noTotals, prompts: [[brandId('e1'), [['shared', 6000]], false]] }, 0)
  const plans = [['e2', 'e3'], ['e1']].map(tried => fleet.choose(long, tried.map(id => brandId(id)), 1, 0))
  assert.deepEqual(plans.map(choice => typeof choice === 'string' ? choice : [choice.plan.readTokens, choice.plan.fetch]), [[2000, null], [8000, null]])
})

test('a prompt report is relayed twice, however often it is received, and again once it is read again', () => {
  const relay = new PromptRelay()
  const [read, kept] = [false, true].map((isKept): LoadTotals['prompts'][number] => [brandId('e1'), [['shared', 6000]], isKept])
  assert.deepEqual(relay.addReported([read], 0), [read])
  assert.deepEqual(relay.takePending(), [read])
  assert.deepEqual(relay.addReported([read, kept], 40), [kept])
  assert.deepEqual(relay.takePending(), [read, kept])
  assert.deepEqual(relay.takePending(), [kept])
  assert.deepEqual(relay.addReported([read, kept], 200), [])
  assert.deepEqual(relay.takePending(), [])
  assert.deepEqual(relay.addReported([kept], 900), [kept])
  assert.deepEqual(relay.takePending(), [kept])
})

test('the prompt index keeps the newest cached prompts, up to its size limit', () => {
  const index = new PromptIndex()
  const prompt = (i: number, isKept = true): LoadTotals['prompts'][number] => [brandId('e1'), [[`part-${i}`, 100]], isKept]
  index.note([prompt(1, false)])
  assert.deepEqual([index.prompts, index.version], [[], 0])
  index.note([prompt(1), prompt(1)])
  assert.deepEqual([index.prompts, index.version], [[prompt(1)], 1])
  index.note(Array.from({ length: 9000 }, (_, i) => prompt(1000 + i)))
  assert.equal(index.prompts.length, 8000)
  assert.deepEqual(index.prompts.at(-1), prompt(9999))
})

// Guards against an index that is too small: with about 3,200 shared prompts on 55 engines, as on the largest deployment, an index of 800 made
// newly started boxes have most of them read again beside engines that had them cached.
test('the prompt index has room for three thousand shared parts on two engines each', () => {
  const index = new PromptIndex()
  const all = Array.from({ length: 6000 }, (_, i): LoadTotals['prompts'][number] => [brandId(`e${i % 55}`), [[`part-${i >> 1}`, 1000]], true])
  index.note(all)
  assert.deepEqual(new Set(index.prompts), new Set(all))
})

const batchCases: readonly { name: string, held: Readonly<Record<string, number>>, sizes: readonly number[] }[] = [
  { name: 'nothing', held: {}, sizes: [] },
  { name: 'a few engines with little each', held: { a: 100, b: 100, c: 200 }, sizes: [400] },
  { name: 'one engine with much', held: { a: 900 }, sizes: [900] },
  { name: 'engines that fill a batch together', held: { a: 300, b: 300, c: 50 }, sizes: [300, 350] }
]

for (const { name, held, sizes } of batchCases) {
  test(`cached prompts are sent in batches that don't split an engine: ${name}`, () => {
    const prompts = Object.entries(held).flatMap(([id, count]) => Array.from({ length: count }, (_, i): LoadTotals['prompts'][number] => [brandId(id), [[`part-${i}`, 1]], true]))
    // In the order of arrival, not by engine.
    const batches = splitIntoBatches(prompts.sort(([, a], [, b]) => a[0][0].localeCompare(b[0][0])))
    assert.deepEqual(batches.map(batch => batch.length), sizes)
    const owners = batches.map(batch => new Set(batch.map(([id]) => id)))
    assert.equal(owners.reduce((sum, ids) => sum + ids.size, 0), Object.keys(held).length)
  })
}

test('prompts reported by registries are applied in any order of record, service and prompt', () => {
  const steps: readonly ((fleet: Fleet) => void)[] = [fleet => fleet.notePrompts(readShared), fleet => fleet.applyRecords([createRecord('e1')]), fleet => fleet.configure([movingService])]
  for (const order of [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]]) {
    const fleet = new Fleet(brandId('zone-a'))
    for (const i of order) steps[i](fleet)
    assert.equal(fleet.findView(brandId('e1'))?.cachedPrompts.countCachedTokens(long.cost!.parts), 6000, order.join(''))
  }
})

const savedPrompts: readonly (readonly [saved: unknown, isPrompt: boolean])[] = [
  [['e1', [['shared', 6000]], true], true], [['e1', [['shared', 6000]], false], false], [['e1', [['shared']], true], false],
  [['e1', 'shared', true], false], [[7, [], true], false], [null, false], ['e1', false], [{}, false]
]

test('invalid entries of a damaged prompt file are recognized', () => {
  for (const [saved, isPrompt] of savedPrompts) assert.equal(isSavedPrompt(saved), isPrompt, JSON.stringify(saved))
})

test('requests for prompts within a second get the same messages, later ones the current state', () => {
  const held: LoadTotals['prompts'][number][] = [[brandId('e1'), [['a', 1]], true]]
  const batches = new PromptBatchSender(() => held)
  const first = batches.compose(0)
  held.push([brandId('e1'), [['b', 1]], true])
  assert.equal(batches.compose(999)[0], first[0])
  assert.deepEqual(batches.compose(1000), [{ type: 'prompts', prompts: held }])
})
