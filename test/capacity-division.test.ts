import assert from 'node:assert/strict'
import { test } from 'node:test'
import { divideCapacity } from '../src/core/index.js'

const cases: readonly { readonly name: string, readonly rates: readonly number[], readonly congestedLevel: number, readonly shares: readonly number[] }[] = [
  { name: 'engines are not congested', rates: [900, 400, 400], congestedLevel: Infinity, shares: [] },
  { name: 'the congested kind has low demand', rates: [300, 400, 900], congestedLevel: 0, shares: [] },
  { name: 'all kinds fit into the capacity', rates: [600, 200, 100], congestedLevel: 0, shares: [1, 1, 1] },
  { name: 'the least urgent kind gets the remainder', rates: [600, 200, 400], congestedLevel: 0, shares: [1, 1, 0.5] },
  { name: 'a single kind', rates: [2000], congestedLevel: 0, shares: [0.5] },
  { name: 'the most urgent kind alone exceeds the capacity: the others keep their reserved shares', rates: [1500, 200, 400], congestedLevel: 0, shares: [0.52, 0.6, 0.25] },
  { name: 'the sum of reserved shares is bounded', rates: [1500, 1000, 400], congestedLevel: 0, shares: [0.65 / 1.5, 0.3, 0.125] },
  { name: 'a kind that fits by itself gives up at most a fifth', rates: [980, 1000, 400], congestedLevel: 0, shares: [1 - 176 / 980, 168 / 1000, 28 / 400] }
]

for (const { name, rates, congestedLevel, shares } of cases) {
  test(`divideCapacity: ${name}`, () => {
    const divided = divideCapacity(1000, rates.map((rate, level) => [level, rate]), congestedLevel)
    assert.equal(divided.size, shares.length)
    shares.forEach((share, level) => assert.ok(Math.abs((divided.get(level) ?? NaN) - share) < 1e-3, `${level}: ${divided.get(level)}`))
  })
}
