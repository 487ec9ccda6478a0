import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { applyPatch, computePatch } from '../src/coordination/index.js'
import { packDocument, unpackDocument } from '../src/protocol/index.js'

const object = fc.record({ name: fc.string(), prefix: fc.string(), inner: fc.option(fc.record({ service: fc.string() })) })
const document = fc.array(object, { maxLength: 12 }).map(routes => JSON.stringify({ routes }))
const anyText = fc.oneof(document, fc.string(), fc.string({ unit: fc.constantFrom('{', '}', '"', 'ä', '\u2028', '😀') }))

test('applying the computed steps to the older text yields exactly the newer text', () => {
  fc.assert(fc.property(anyText, anyText, (older, newer) => {
    assert.equal(applyPatch(older, computePatch(older, newer)), newer)
  }))
})

test('a packed document is unpacked exactly, with or without the older document', () => {
  fc.assert(fc.property(anyText, anyText, (older, newer) => {
    const base = { version: 3, text: older }
    const wanted = { version: 4, text: newer }
    assert.deepEqual(unpackDocument(packDocument(wanted, base), base), wanted)
    assert.deepEqual(unpackDocument(packDocument(wanted, null), base), wanted)
    assert.deepEqual(unpackDocument(packDocument(wanted, null), null), wanted)
  }))
})

const composeRoutes = (from: number, to: number): object[] => Array.from({ length: to - from }, (_, i) => ({ name: `r-${from + i}`, services: [{ service: 'desk' }] }))
const composeDocument = (parts: readonly object[]): string => JSON.stringify({ version: parts.length, routes: parts })

/** `maxAdded`: characters that a patch of a document of 1,000 routes may add. */
const changes: readonly { readonly name: string, readonly newer: readonly object[], readonly maxAdded: number }[] = [
  { name: 'none', newer: composeRoutes(0, 1000), maxAdded: 0 },
  { name: 'one more', newer: composeRoutes(0, 1001), maxAdded: 160 },
  { name: 'one in the middle removed', newer: [...composeRoutes(0, 500), ...composeRoutes(501, 1000)], maxAdded: 160 },
  { name: 'one changed', newer: [...composeRoutes(0, 500), { name: 'other' }, ...composeRoutes(501, 1000)], maxAdded: 160 },
  { name: 'halves swapped', newer: [...composeRoutes(500, 1000), ...composeRoutes(0, 500)], maxAdded: 160 }
]

for (const { name, newer, maxAdded } of changes) {
  test(`the size of a patch depends on the change: ${name}`, () => {
    const steps = computePatch(composeDocument(composeRoutes(0, 1000)), composeDocument(newer))
    const added = steps.reduce((sum, step) => sum + (step.type === 'add' ? step.text.length : 0), 0)
    assert.ok(added <= maxAdded, `${added} characters`)
    assert.ok(steps.length < 12, `${steps.length} steps`)
  })
}

const base = { version: 3, text: composeDocument(composeRoutes(0, 9)) }
const newest = { version: 4, text: composeDocument(composeRoutes(0, 10)) }
const packed = packDocument(newest, base)
const unusableCases: readonly { readonly name: string, readonly packed: typeof packed, readonly held: typeof base | null }[] = [
  { name: 'packed against another version', packed, held: { ...base, version: 2 } },
  { name: 'packed against a version, but no document is held', packed, held: null },
  { name: 'same version with a different text', packed, held: { ...base, text: composeDocument(composeRoutes(1, 10)) } },
  { name: 'a range outside the held text', packed, held: { ...base, text: '{}' } },
  { name: 'invalid compressed data', packed: { ...packed, steps: Buffer.from('none') }, held: base },
  { name: 'digest mismatch', packed: { ...packed, digest: Buffer.alloc(32) }, held: base }
]

for (const { name, packed, held } of unusableCases) {
  test(`an unusable packed document is rejected: ${name}`, () => assert.equal(unpackDocument(packed, held), null))
}
