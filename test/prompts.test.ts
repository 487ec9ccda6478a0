import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Fleet, PromptBook, PromptMemory, PromptRelay, brandId, noTotals } from '../src/core/index.js'
import { PromptBatches, isSavedPrompt, listBatches } from '../src/registry/index.js'
import type { LoadTotals, RoutedService } from '../src/core/index.js'
import { createFleet, createRecord, engineService, long, movingService, readShared } from './support/fleet-builder.js'

test('a part counts as held only where every part before it is, and the oldest give way', () => {
  const memory = new PromptMemory(1000)
  const parts = [{ id: 'a', tokens: 300 }, { id: 'b', tokens: 300 }, { id: 'c', tokens: 200 }]
  memory.add(parts)
  assert.equal(memory.countHeld(parts), 800)
  assert.equal(memory.countHeld([{ id: 'x', tokens: 1 }, ...parts]), 0)
  memory.add([{ id: 'd', tokens: 600 }])
  assert.equal(memory.countHeld(parts), 0)
  assert.equal(memory.countHeld([{ id: 'd', tokens: 600 }]), 600)
})

const fetches: readonly { name: string, service?: RoutedService, prompts?: LoadTotals['prompts'], disturb?: (fleet: Fleet) => void, tried?: string[], fetch: string | null, read: number | null }[] = [
  { name: 'nobody is known to keep it: all is read', prompts: [], fetch: null, read: 8000 },
  { name: 'the one that keeps it reads the rest', tried: ['e2', 'e3'], fetch: null, read: 2000 },
  { name: 'another one takes it from there', tried: ['e1'], fetch: 'e1', read: 2000 },
  { name: 'engines that can\'t take it expect it at the home of the prompt at most', service: engineService, tried: ['e1', 'e2'], fetch: null, read: null },
  { name: 'a holder that breaks isn\'t asked', disturb: fleet => fleet.findView(brandId('e1'))?.trust.noteBroken(0), tried: ['e1'], fetch: null, read: 8000 },
  { name: 'a slow link isn\'t worth it', service: { ...movingService, engine: { ...movingService.engine!, transfer: { tokenBytes: 100_000, bytesPerMs: 1_000_000 } } }, tried: ['e1'], fetch: null, read: 8000 }
]

for (const { name, service = movingService, prompts = readShared, disturb, tried = [], fetch, read } of fetches) {
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

test('what this box saw read is told for a moment, and others take it from there', () => {
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
  assert.equal(there.findView(choice.view.id)?.prompts.countHeld(long.cost!.parts), 6000)
})

const orders: readonly { name: string, prepare: (fleet: Fleet) => void }[] = [
  { name: 'before its service', prepare: fleet => { fleet.applyRecords([createRecord('e1')]); fleet.configure([movingService]) } },
  { name: 'after its service', prepare: fleet => { fleet.configure([movingService]); fleet.applyRecords([createRecord('e1')]) } },
  { name: 'before its service, which is changed once more', prepare: fleet => { fleet.applyRecords([createRecord('e1')]); fleet.configure([movingService]); fleet.configure([{ ...movingService, mostConnections: 7 }]) } }
]

for (const { name, prepare } of orders) {
  test(`an engine whose record came ${name} is known to keep what it read`, () => {
    const fleet = new Fleet(brandId('zone-a'))
    prepare(fleet)
    fleet.noteOthers({ ...noTotals, prompts: readShared }, 0)
    assert.equal(fleet.findView(brandId('e1'))?.prompts.countHeld(long.cost!.parts), 6000)
  })
}

test('a prompt that is still being read counts for those sent to the same engine, but is not taken from there', () => {
  const fleet = createFleet([createRecord('e1'), createRecord('e2'), createRecord('e3')], movingService)
  fleet.noteOthers({ ...noTotals, prompts: [[brandId('e1'), [['shared', 6000]], false]] }, 0)
  const plans = [['e2', 'e3'], ['e1']].map(tried => fleet.choose(long, tried.map(id => brandId(id)), 1, 0))
  assert.deepEqual(plans.map(choice => typeof choice === 'string' ? choice : [choice.plan.readTokens, choice.plan.fetch]), [[2000, null], [8000, null]])
})

test('a prompt is passed on twice, however often it is told, and again once it is read anew', () => {
  const relay = new PromptRelay()
  const [read, kept] = [false, true].map((isKept): LoadTotals['prompts'][number] => [brandId('e1'), [['shared', 6000]], isKept])
  assert.deepEqual(relay.take([read], 0), [read])
  assert.deepEqual(relay.draw(), [read])
  assert.deepEqual(relay.take([read, kept], 40), [kept])
  assert.deepEqual(relay.draw(), [read, kept])
  assert.deepEqual(relay.draw(), [kept])
  assert.deepEqual(relay.take([read, kept], 200), [])
  assert.deepEqual(relay.draw(), [])
  assert.deepEqual(relay.take([kept], 900), [kept])
  assert.deepEqual(relay.draw(), [kept])
})

test('a book of prompts keeps the newest that are held, within its bound', () => {
  const book = new PromptBook()
  const prompt = (i: number, isKept = true): LoadTotals['prompts'][number] => [brandId('e1'), [[`part-${i}`, 100]], isKept]
  book.note([prompt(1, false)])
  assert.deepEqual([book.prompts, book.version], [[], 0])
  book.note([prompt(1), prompt(1)])
  assert.deepEqual([book.prompts, book.version], [[prompt(1)], 1])
  book.note(Array.from({ length: 9000 }, (_, i) => prompt(1000 + i)))
  assert.equal(book.prompts.length, 8000)
  assert.deepEqual(book.prompts.at(-1), prompt(9999))
})

// Some 3,200 prompts shared parts on the largest of the users' deployments, on 55 engines. A book of 800 had boxes that started
// anew have most of them read again, beside engines that held them.
test('a book of prompts holds three thousand shared parts at two engines each', () => {
  const book = new PromptBook()
  const all = Array.from({ length: 6000 }, (_, i): LoadTotals['prompts'][number] => [brandId(`e${i % 55}`), [[`part-${i >> 1}`, 1000]], true])
  book.note(all)
  assert.deepEqual(new Set(book.prompts), new Set(all))
})

const batches: readonly { name: string, held: Readonly<Record<string, number>>, sizes: readonly number[] }[] = [
  { name: 'nothing', held: {}, sizes: [] },
  { name: 'a few engines with little each', held: { a: 100, b: 100, c: 200 }, sizes: [400] },
  { name: 'one engine with much', held: { a: 900 }, sizes: [900] },
  { name: 'engines that fill a batch', held: { a: 300, b: 300, c: 50 }, sizes: [300, 350] }
]

for (const { name, held, sizes } of batches) {
  test(`what engines hold is told in batches that part no engine: ${name}`, () => {
    const prompts = Object.entries(held).flatMap(([id, count]) => Array.from({ length: count }, (_, i): LoadTotals['prompts'][number] => [brandId(id), [[`part-${i}`, 1]], true]))
    // In the order in which they were heard of, not by engine.
    const told = listBatches(prompts.sort(([, a], [, b]) => a[0][0].localeCompare(b[0][0])))
    assert.deepEqual(told.map(batch => batch.length), sizes)
    const owners = told.map(batch => new Set(batch.map(([id]) => id)))
    assert.equal(owners.reduce((sum, ids) => sum + ids.size, 0), Object.keys(held).length)
  })
}

test('what registries tell of an engine counts, in whatever order record, service and prompt come', () => {
  const told: readonly ((fleet: Fleet) => void)[] = [fleet => fleet.notePrompts(readShared), fleet => fleet.applyRecords([createRecord('e1')]), fleet => fleet.configure([movingService])]
  for (const order of [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]]) {
    const fleet = new Fleet(brandId('zone-a'))
    for (const i of order) told[i](fleet)
    assert.equal(fleet.findView(brandId('e1'))?.kept.countHeld(long.cost!.parts), 6000, order.join(''))
  }
})

const savedPrompts: readonly (readonly [saved: unknown, isPrompt: boolean])[] = [
  [['e1', [['shared', 6000]], true], true], [['e1', [['shared', 6000]], false], false], [['e1', [['shared']], true], false],
  [['e1', 'shared', true], false], [[7, [], true], false], [null, false], ['e1', false], [{}, false]
]

test('what a torn file of prompts holds is told from prompts', () => {
  for (const [saved, isPrompt] of savedPrompts) assert.equal(isSavedPrompt(saved), isPrompt, JSON.stringify(saved))
})

test('all that ask within a second are told the same messages, and later ones what came since', () => {
  const held: LoadTotals['prompts'][number][] = [[brandId('e1'), [['a', 1]], true]]
  const batches = new PromptBatches(() => held)
  const first = batches.compose(0)
  held.push([brandId('e1'), [['b', 1]], true])
  assert.equal(batches.compose(999)[0], first[0])
  assert.deepEqual(batches.compose(1000), [{ type: 'prompts', prompts: held }])
})
