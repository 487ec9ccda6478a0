import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId, noTotals } from '../src/core/index.js'
import type { Fleet } from '../src/core/index.js'
import { createFleet, createRecord, createWork, engineService, long, nameZone } from './support/fleet-builder.js'

// A gateway that had stood still for two seconds read what had come meanwhile at once, so that the events of its streams
// seemed to come 0 ms after one another. All three gateways of a zone then ended with "Cannot destructure property 'view'
// of 'alike[Math.floor(...)]'": with a middle time of 0 between events no engine's speed was a number, and none could be picked.
const gapsTold: readonly { readonly name: string, readonly gaps: readonly number[] }[] = [
  { name: 'all at once', gaps: [0, 0, 0] },
  { name: 'most at once', gaps: [0, 0, 12] },
  { name: 'one at once', gaps: [0, 12, 12] }
]

for (const { name, gaps } of gapsTold) {
  test(`engines are told apart and chosen also where events seemed to come ${name}`, () => {
    const fleet = createFleet(gaps.map((_, i) => createRecord(`e${i + 1}`)), engineService)
    fleet.noteOthers({ ...noTotals, gaps: gaps.map((gapMs, i) => [brandId(`e${i + 1}`), gapMs]) }, 0)
    const choice = fleet.choose(long, [], 10, 0)
    assert.ok(typeof choice !== 'string')
    for (const view of fleet.views) assert.ok(view.readMsPerToken > 0 && Number.isFinite(view.readMsPerToken), `${view.id} reads a token in ${view.readMsPerToken} ms`)
  })
}

test('a box that stood still does not take the events that it then reads at once for a fast engine', () => {
  const fleet = createFleet([createRecord('e1')], engineService)
  const view = fleet.findView(brandId('e1'))
  assert.ok(view !== undefined)
  for (let i = 0; i < 40; i++) view.noteGap(0.02, i)
  assert.equal(view.ownGapMs, null)
  for (let i = 0; i < 40; i++) view.noteGap(12, 100 + i)
  assert.ok(Math.abs((view.ownGapMs ?? 0) - 12) < 1, `${view.ownGapMs} ms`)
})

// Two gateways that were cut off from all others, and some that had just started, measured the events of an engine that others had read
// prompts at: 120 ms, where 20 is its time alone ("31/157/0.3862/120.6" among its beliefs). All boxes went by it, a sixth of the
// engines passed for ten times slower, and 61 tags were refused in the next seconds.
const knowledge: readonly { readonly name: string, readonly prepare: (fleet: Fleet) => void, readonly from: number, readonly learns: boolean }[] = [
  { name: 'that was just told the totals', prepare: fleet => fleet.noteOthers({ ...noTotals, zones: [nameZone('zone-a')] }, 5000), from: 5000, learns: true },
  { name: 'that heard the totals and is cut off since', prepare: fleet => { fleet.noteOthers({ ...noTotals, zones: [nameZone('zone-a')] }, 5000); fleet.noteOthers(noTotals, 6500) }, from: 7000, learns: false },
  { name: 'that has just started', prepare: () => {}, from: 100, learns: false },
  { name: 'that stands alone', prepare: () => {}, from: 9000, learns: true }
]

for (const { name, prepare, from, learns } of knowledge) {
  test(`a box ${name} ${learns ? 'learns' : 'does not learn'} an engine's speed from the events that it sees`, () => {
    const fleet = createFleet([createRecord('e1')], engineService)
    const view = fleet.findView(brandId('e1'))
    assert.ok(view !== undefined)
    const work = createWork({ pauseMs: 600, cost: { promptTokens: 10, mostTokens: 10, parts: [] } })
    fleet.noteArrival(work, 0)
    prepare(fleet)
    for (let i = 0; i < 20; i++) fleet.noteGap(view, 20, from + i)
    assert.equal(view.ownGapMs !== null, learns)
  })
}
