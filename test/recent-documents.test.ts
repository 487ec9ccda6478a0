import assert from 'node:assert/strict'
import { test } from 'node:test'
import { unpackDocument } from '../src/protocol/index.js'
import { RecentDocuments } from '../src/registry/recent-documents.js'

const compose = (version: number, size = 10): { version: number, text: string } => ({ version, text: JSON.stringify({ version, filler: 'x'.repeat(size) }) })
const large = 5 * 2 ** 20

/** Documents that were in force, what the asker has, and against which version it is told (null: nothing). */
const cases: readonly { readonly name: string, readonly sizes: readonly number[], readonly held: number, readonly base: number | null }[] = [
  { name: 'no document yet', sizes: [], held: 0, base: null },
  { name: 'an asker that has nothing', sizes: [9, 9], held: 0, base: 0 },
  { name: 'an asker that has the one before', sizes: [9, 9, 9], held: 2, base: 2 },
  { name: 'an asker that has the newest', sizes: [9, 9], held: 2, base: null },
  { name: 'an asker that has one never seen here', sizes: [9, 9], held: 1.5, base: 0 },
  { name: 'an asker that has one that was dropped for room', sizes: [large, large, large, large, 9], held: 1, base: 0 },
  { name: 'an asker that has one kept beside those', sizes: [large, large, large, large, 9], held: 4, base: 4 }
]

for (const { name, sizes, held, base } of cases) {
  test(`what is told: ${name}`, () => {
    const recent = new RecentDocuments()
    const documents = sizes.map((size, i) => compose(i + 1, size))
    for (const document of documents) assert.ok(recent.add(document))
    const packed = recent.pack(held)
    assert.equal(packed?.base ?? null, base)
    if (packed === null) return
    const older = documents.find(({ version }) => version === held) ?? null
    assert.deepEqual(unpackDocument(packed, older), documents[documents.length - 1])
    assert.equal(recent.pack(held), packed)
  })
}

test('one that isn\'t newer changes nothing', () => {
  const recent = new RecentDocuments()
  assert.ok(recent.add(compose(2)))
  for (const version of [1, 2]) assert.equal(recent.add(compose(version, 99)), false)
  assert.deepEqual(recent.newest, compose(2))
})
