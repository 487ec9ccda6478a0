import assert from 'node:assert/strict'
import { test } from 'node:test'
import { unpackDocument } from '../src/protocol/index.js'
import { RecentDocuments } from '../src/registry/recent-documents.js'

const compose = (version: number, size = 10): { version: number, text: string } => ({ version, text: JSON.stringify({ version, filler: 'x'.repeat(size) }) })
const large = 5 * 2 ** 20

/** The documents that were active, the version that the gateway holds, and the base version of the response (null: no response). */
const cases: readonly { readonly name: string, readonly sizes: readonly number[], readonly held: number, readonly base: number | null }[] = [
  { name: 'a gateway before the first document', sizes: [], held: 0, base: null },
  { name: 'a gateway without a document', sizes: [9, 9], held: 0, base: 0 },
  { name: 'a gateway with the previous version', sizes: [9, 9, 9], held: 2, base: 2 },
  { name: 'a gateway with the newest version', sizes: [9, 9], held: 2, base: null },
  { name: 'a gateway with a version unknown here', sizes: [9, 9], held: 1.5, base: 0 },
  { name: 'a gateway with a version that was evicted', sizes: [large, large, large, large, 9], held: 1, base: 0 },
  { name: 'a gateway with a version that was retained', sizes: [large, large, large, large, 9], held: 4, base: 4 }
]

for (const { name, sizes, held, base } of cases) {
  test(`packing for ${name}`, () => {
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

test('a document that isn\'t newer changes nothing', () => {
  const recent = new RecentDocuments()
  assert.ok(recent.add(compose(2)))
  for (const version of [1, 2]) assert.equal(recent.add(compose(version, 99)), false)
  assert.deepEqual(recent.newest, compose(2))
})
