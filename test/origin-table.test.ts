import assert from 'node:assert/strict'
import { test } from 'node:test'
import { OriginTable, brandId } from '../src/core/index.js'
import type { StreamKey, StreamOrigin } from '../src/core/index.js'

const v1: StreamOrigin = { service: brandId('desk'), software: 'v1' }
const v2: StreamOrigin = { service: brandId('desk'), software: 'v2' }
const other: StreamOrigin = { service: brandId('other'), software: 'v1' }

/** Origins noted for one stream, with their times, and what is found at 100 ms; origins are kept for 60 ms. */
const cases: readonly { name: string, notes: readonly (readonly [StreamOrigin, number])[], found: StreamOrigin | 'ambiguous' | null }[] = [
  { name: 'nothing', notes: [], found: null },
  { name: 'one origin', notes: [[v1, 90]], found: v1 },
  { name: 'an origin that was noted too long ago', notes: [[v1, 39]], found: null },
  { name: 'an origin that was noted again', notes: [[v1, 30], [v1, 80]], found: v1 },
  { name: 'two versions', notes: [[v1, 80], [v2, 90]], found: 'ambiguous' },
  { name: 'two versions, then the first again', notes: [[v1, 80], [v2, 90], [v1, 95]], found: 'ambiguous' },
  { name: 'one version of two services', notes: [[v1, 80], [other, 90]], found: 'ambiguous' },
  { name: 'another version after the first has expired', notes: [[v1, 10], [v2, 90]], found: v2 }
]

for (const { name, notes, found } of cases) {
  test(`the origin of a stream after ${name}`, () => {
    const table = new OriginTable(60)
    for (const [origin, at] of notes) table.note(brandId<StreamKey>('stream'), origin, at)
    assert.deepEqual(table.find(brandId<StreamKey>('stream'), 100), found)
  })
}

test('the table keeps the streams that were noted last', () => {
  const table = new OriginTable(60, 3)
  for (let i = 0; i < 5; i++) table.note(brandId<StreamKey>(`stream ${i}`), v1, i)
  table.note(brandId<StreamKey>('stream 2'), v1, 5)
  table.note(brandId<StreamKey>('stream 5'), v1, 6)
  assert.deepEqual([0, 1, 2, 3, 4, 5].filter(i => table.find(brandId<StreamKey>(`stream ${i}`), 6) !== null), [2, 4, 5])
  assert.deepEqual(table.listLatest(2, 6).map(([key]) => key), ['stream 2', 'stream 5'])
  assert.deepEqual(table.listLatest(2, 66).map(([key]) => key), ['stream 5'])
})
