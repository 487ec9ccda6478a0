/** What reading prompts beside streams costs, and on which engines streams and prompts are placed. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ContentionSwitch, Fleet, brandId, estimatePauseCostMs } from '../src/core/index.js'
import type { PauseInput, RequestProfile } from '../src/core/index.js'
import { createRecord, createWork, desk, engineService, nameZone } from './support/fleet-builder.js'

const limits = { strictestMs: 200, readingPauseMs: 340 }
const read: PauseInput = { limits, slowness: 1, aheadMs: 0, readingMs: 120, sensitiveStreams: 6, pauseMs: null }
const costs: readonly { readonly name: string, readonly input: Partial<PauseInput>, readonly expected: (ms: number) => boolean }[] = [
  { name: 'a prompt that is read within the limit costs as much as one beyond it', input: { readingMs: 90 }, expected: ms => ms === 0 },
  { name: 'a long prompt beside streams costs nothing', input: { readingMs: 250 }, expected: ms => ms >= 1000 },
  { name: 'prompts behind one another are judged each alone', input: { aheadMs: 120, readingMs: 100 }, expected: ms => ms > 500 },
  { name: 'a prompt behind a backlog that breaks the streams anyway costs as much as the first', input: { aheadMs: 400, readingMs: 400 }, expected: ms => ms === 0 },
  { name: 'an engine that reads fast is avoided like a slow one', input: { slowness: 0.25, readingMs: 400 }, expected: ms => ms === 0 },
  { name: 'a stream at an engine that would break its limit costs nothing', input: { readingMs: 12, sensitiveStreams: 0, pauseMs: 200, slowness: 2 }, expected: ms => ms > 150 },
  { name: 'a stream that tolerates long pauses is kept from slow engines', input: { readingMs: 12, sensitiveStreams: 0, pauseMs: 1000, slowness: 2 }, expected: ms => ms === 0 }
]

for (const { name, input, expected } of costs) {
  test(`cost of pauses: ${name}`, () => {
    const ms = estimatePauseCostMs({ ...read, ...input })
    assert.ok(expected(ms), String(ms))
  })
}

const engines = Array.from({ length: 12 }, (_, i) => createRecord(`e${i + 1}`, { slots: 48 }))
const service = { ...engineService, engine: { slots: 48, memoryTokens: 444_000, tokensPerEvent: 6, transfer: null } }
const createStream = (): RequestProfile => createWork({ priority: 0, pauseMs: 200, targetMs: 400, cost: { promptTokens: 1000, maxTokens: 200, parts: [] } })
const createRead = (tokens: number): RequestProfile => createWork({ priority: 2, pauseMs: 800, targetMs: 1500, cost: { promptTokens: tokens, maxTokens: 100, parts: [] } })

// A fleet in which the first engines take `slowRatio` times as long between events as the others.
function createUnevenFleet (mode: 'on', slowCount: number, slowRatio: number): Fleet {
  const contention = new ContentionSwitch({ mode, cpuShare: null, isMarked: false })
  const fleet = new Fleet(nameZone('zone-a'), () => true, () => undefined, contention)
  fleet.configure([service])
  fleet.applyRecords(engines)
  fleet.noteOthers({ loads: [], demands: [], gaps: engines.map(({ id }, i) => [id, i < slowCount ? 16 * slowRatio : 16]), prompts: [], zones: [nameZone('zone-a')] }, 0)
  return fleet
}

const models = [
  { name: 'slow engines that are rare are taken for degraded ones', mode: 'on', slowCount: 3, slowRatio: 2.2, dedicated: 3 },
  { name: 'slow engines that are frequent are taken for the usual ones', mode: 'on', slowCount: 8, slowRatio: 2.2, dedicated: 4 },
  { name: 'small differences make two models', mode: 'on', slowCount: 8, slowRatio: 1.3, dedicated: 0 },
  { name: 'one degraded engine makes a model', mode: 'on', slowCount: 1, slowRatio: 6, dedicated: 0 }
] as const

for (const { name, mode, slowCount, slowRatio, dedicated } of models) {
  test(`engines of two models: ${name}`, () => {
    const fleet = createUnevenFleet(mode, slowCount, slowRatio)
    const work = createRead(9000)
    for (let i = 0; i < 30; i++) fleet.noteArrival(i % 2 === 0 ? work : createStream(), i)
    assert.equal(fleet.listUsable(desk, 40).length, engines.length)
    // Engines of one model are rated by the median alone, within its lower bound.
    if (dedicated === 0) return assert.ok([...fleet.views].every(({ slowness }) => slowness >= 0.85))
    const slowIds = new Set(engines.slice(0, slowCount).map(({ id }) => id))
    const order = fleet.describe(50)[0].text.match(/\be\d+(?=\*?\/)/g) ?? []
    for (const id of order.slice(0, dedicated)) assert.ok(slowIds.has(brandId(id)), `${id} is dedicated to long prompts before slow engines`)
    const stream = fleet.choose(createStream(), [], 60, 0)
    assert.ok(typeof stream !== 'string' && !slowIds.has(stream.view.id), 'a stream was placed at a slow engine')
  })
}
