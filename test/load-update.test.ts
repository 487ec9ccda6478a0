import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { LoadUpdateDecoder, LoadUpdateEncoder, brandId, noTotals } from '../src/core/index.js'
import type { EndpointId, EndpointLoad, LoadTotals } from '../src/core/index.js'
import { encodeHubReport } from '../src/protocol/index.js'

const composeLoad = (id: string, running: number): EndpointLoad => ({ endpoint: brandId<EndpointId>(id), running, brisk: 0, memory: 900 * running, waiting: [], largest: 0, backedOff: 0 })
const composeSum = (running: Readonly<Record<string, number>>): LoadTotals => ({ ...noTotals, loads: Object.entries(running).filter(([, count]) => count > 0).map(([id, count]) => composeLoad(id, count)) })
const describe = (sum: LoadTotals | null): string => JSON.stringify(sum?.loads.map(load => [load.endpoint, load.running]).sort() ?? null)

const steps = fc.array(fc.record({ endpoint: fc.constantFrom('a', 'b', 'c', 'd'), running: fc.nat(3), isWhole: fc.boolean(), isLost: fc.boolean() }), { maxLength: 80 })

// Updates between hubs are datagrams and may be lost; after two lost in a row, the next complete update restores the totals.
test('totals reconstructed from partial updates are correct unless two updates in a row are lost', () => {
  fc.assert(fc.property(steps, all => {
    const [encoder, reader] = [new LoadUpdateEncoder(), new LoadUpdateDecoder()]
    const running: Record<string, number> = {}
    let wasLost = false
    reader.take(encoder.compose(composeSum(running), true))
    for (const { endpoint, running: count, isWhole, isLost } of all) {
      running[endpoint] = count
      const update = encoder.compose(composeSum(running), isWhole)
      // The changes in a lost complete update are also in the updates around it.
      wasLost = isLost && !wasLost
      if (!wasLost) assert.equal(describe(reader.take(update)), describe(composeSum(running)))
    }
  }), { seed: 8, numRuns: 300 })
})

test('a hub\'s totals are unknown until the first complete update', () => {
  const [encoder, early, late] = [new LoadUpdateEncoder(), new LoadUpdateDecoder(), new LoadUpdateDecoder()]
  early.take(encoder.compose(composeSum({ a: 1 }), true))
  const change = encoder.compose(composeSum({ a: 1, b: 2 }), false)
  assert.deepEqual([describe(early.take(change)), describe(late.take(change))], ['[["a",1],["b",2]]', 'null'])
  assert.equal(describe(late.take(encoder.compose(composeSum({ a: 1, b: 2 }), true))), '[["a",1],["b",2]]')
})

// Traffic between zones is billed, and most of it was updates between hubs.
test('a partial update with one of sixty engines takes at most a tenth of the bytes of a complete one', () => {
  const encoder = new LoadUpdateEncoder()
  const running = Object.fromEntries(Array.from({ length: 60 }, (_, i) => [`i-00000000${i}`, 2]))
  const sum = { ...composeSum(running), gaps: Object.keys(running).map(id => [brandId<EndpointId>(id), 9.3] as const) }
  const measure = (isWhole: boolean): number => encodeHubReport({ hub: brandId('registry-1'), start: 1, number: 9, news: encoder.compose(sum, isWhole), notices: [] }).length
  const whole = measure(true)
  measure(false)
  sum.loads = [composeLoad('i-000000000', 3), ...sum.loads.slice(1)]
  assert.ok(measure(false) * 10 < whole)
})

// Hundreds of gateways decode twenty updates a second; engine speeds and field names made up half of each.
test('engine speeds persist over updates without them, and are empty before the first', () => {
  const [encoder, reader] = [new LoadUpdateEncoder(), new LoadUpdateDecoder()]
  const sum = { ...composeSum({ a: 1 }), gaps: [[brandId<EndpointId>('a'), 9.3] as const] }
  const whole = encoder.compose(sum, true)
  const gaps = [{ ...whole, gaps: null }, whole, { ...whole, gaps: null }].map(update => reader.take(update)?.gaps)
  assert.deepEqual(gaps, [[], sum.gaps, sum.gaps])
})
