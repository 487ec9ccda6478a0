/** Endpoints whose requests break for other boxes. Each box sent requests of its own to engines that reset nearly all connections. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ContentionSwitch, Fleet, LoadSum, isBroken, subtractOwn } from '../src/core/index.js'
import type { BoxLoad, EndpointView, Outcomes } from '../src/core/index.js'
import { createRecord, createWork, engineService, nameZone } from './support/fleet-builder.js'

const none: Outcomes = { good: 0, broken: 0 }
const judged: readonly { readonly name: string, readonly own: Outcomes, readonly others: Outcomes, readonly expected: boolean }[] = [
  { name: 'nearly all of other boxes', own: none, others: { good: 1, broken: 12 }, expected: true },
  { name: 'own and others together', own: { good: 0, broken: 1 }, others: { good: 0, broken: 2 }, expected: true },
  { name: 'two alone', own: none, others: { good: 0, broken: 2 }, expected: false },
  { name: 'four in ten, as where answers are lost at random', own: none, others: { good: 12, broken: 8 }, expected: false }
]

for (const { name, own, others, expected } of judged) {
  test(`most requests broke at an endpoint: ${name}`, () => assert.equal(isBroken(own, others), expected))
}

const records = Array.from({ length: 4 }, (_, i) => createRecord(`e${i + 1}`, { slots: 48 }))
const work = createWork({ cost: { promptTokens: 1000, maxTokens: 100, parts: [] } })

function createFleet (mode: 'on' | 'off'): Fleet {
  const fleet = new Fleet(nameZone('zone-a'), () => true, () => undefined, new ContentionSwitch({ mode, cpuShare: null, isMarked: false }))
  fleet.configure([engineService])
  fleet.applyRecords(records)
  return fleet
}

// The engine that a box without any reports chooses.
function findChosen (fleet: Fleet): EndpointView {
  const choice = fleet.choose(work, [], 0, 0)
  assert.ok(typeof choice !== 'string')
  return choice.view
}

// Three boxes each had one request broken at that engine, and one answered there longer ago than outcomes count.
function composeLoads (mode: 'on' | 'off'): BoxLoad[] {
  return [0, 1, 2].map(() => {
    const fleet = createFleet(mode)
    const view = findChosen(fleet)
    fleet.noteArrival(work, 0)
    view.outcomes.noteGood(0)
    view.noteBroken(10_000)
    return fleet.composeLoad(10_100)
  })
}

const boxes: readonly { readonly name: string, readonly mode: 'on' | 'off', readonly at: number, readonly isHeard: boolean, readonly isAvoided: boolean }[] = [
  { name: 'it is used by boxes that had no failure there', mode: 'on', at: 10_200, isHeard: true, isAvoided: true },
  { name: 'a box without hubs avoids it', mode: 'on', at: 10_200, isHeard: false, isAvoided: false },
  { name: 'it is reported or avoided without the measures', mode: 'off', at: 10_200, isHeard: true, isAvoided: false }
]

for (const { name, mode, at, isHeard, isAvoided } of boxes) {
  test(`an engine that breaks the requests of other boxes: ${name}`, () => {
    const loads = composeLoads(mode)
    const totals = new LoadSum()
    for (const load of loads) totals.add({ ...load, demands: load.demands.map(demand => ({ ...demand, holders: 0 })), zones: [nameZone('zone-a')] })
    const fleet = createFleet(mode)
    const view = findChosen(fleet)
    if (isHeard) fleet.noteOthers(totals.totals, at)
    assert.equal(view.isBroken(at), isAvoided)
    const chosen = Array.from({ length: 40 }, (_, i) => fleet.choose(work, [], at, i / 40)).map(choice => typeof choice === 'string' ? choice : choice.view.id)
    assert.equal(chosen.includes(view.id), !isAvoided)
  })
}

test('a box counts its own failures twice when its report comes back in the totals', () => {
  const [own] = composeLoads('on')
  const totals = new LoadSum()
  totals.add({ ...own, demands: own.demands.map(demand => ({ ...demand, holders: 0 })), zones: [] })
  assert.deepEqual(subtractOwn(totals.totals, own).demands[0].outcomes, [])
})
