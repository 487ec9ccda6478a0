import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { applySteps, compareTexts } from '../src/coordination/index.js'
import { packDocument, unpackDocument } from '../src/protocol/index.js'

const object = fc.record({ name: fc.string(), prefix: fc.string(), inner: fc.option(fc.record({ service: fc.string() })) })
const document = fc.array(object, { maxLength: 12 }).map(routes => JSON.stringify({ routes }))
const anyText = fc.oneof(document, fc.string(), fc.string({ unit: fc.constantFrom('{', '}', '"', 'ä', '\u2028', '😀') }))

test('the steps from any text to any other make it, character for character', () => {
  fc.assert(fc.property(anyText, anyText, (older, newer) => {
    assert.equal(applySteps(older, compareTexts(older, newer)), newer)
  }))
})

test('what crosses a link makes the document again, for one who has the older one, or none', () => {
  fc.assert(fc.property(anyText, anyText, (older, newer) => {
    const base = { version: 3, text: older }
    const wanted = { version: 4, text: newer }
    assert.deepEqual(unpackDocument(packDocument(wanted, base), base), wanted)
    assert.deepEqual(unpackDocument(packDocument(wanted, null), base), wanted)
    assert.deepEqual(unpackDocument(packDocument(wanted, null), null), wanted)
  }))
})

const routes = (from: number, to: number): object[] => Array.from({ length: to - from }, (_, i) => ({ name: `r-${from + i}`, services: [{ service: 'desk' }] }))
const compose = (parts: readonly object[]): string => JSON.stringify({ version: parts.length, routes: parts })

/** Characters that a change to a document of 1,000 routes may add. */
const changes: readonly { readonly name: string, readonly newer: readonly object[], readonly most: number }[] = [
  { name: 'none', newer: routes(0, 1000), most: 0 },
  { name: 'one more', newer: routes(0, 1001), most: 160 },
  { name: 'one in the middle gone', newer: [...routes(0, 500), ...routes(501, 1000)], most: 160 },
  { name: 'one changed', newer: [...routes(0, 500), { name: 'other' }, ...routes(501, 1000)], most: 160 },
  { name: 'halves exchanged', newer: [...routes(500, 1000), ...routes(0, 500)], most: 160 }
]

for (const { name, newer, most } of changes) {
  test(`a change tells what it changed: ${name}`, () => {
    const steps = compareTexts(compose(routes(0, 1000)), compose(newer))
    const added = steps.reduce((sum, step) => sum + (step.type === 'add' ? step.text.length : 0), 0)
    assert.ok(added <= most, `${added} characters`)
    assert.ok(steps.length < 12, `${steps.length} steps`)
  })
}

const held = { version: 3, text: compose(routes(0, 9)) }
const newest = { version: 4, text: compose(routes(0, 10)) }
const packed = packDocument(newest, held)
const useless: readonly { readonly name: string, readonly given: typeof packed, readonly has: typeof held | null }[] = [
  { name: 'told against another version', given: packed, has: { ...held, version: 2 } },
  { name: 'told against one of which nothing is held', given: packed, has: null },
  { name: 'the version is the same but its text another', given: packed, has: { ...held, text: compose(routes(1, 10)) } },
  { name: 'a part beyond the text held', given: packed, has: { ...held, text: '{}' } },
  { name: 'not deflated', given: { ...packed, steps: Buffer.from('none') }, has: held },
  { name: 'another digest', given: { ...packed, digest: Buffer.alloc(32) }, has: held }
]

for (const { name, given, has } of useless) {
  test(`nothing is made of a document that can't be made out: ${name}`, () => assert.equal(unpackDocument(given, has), null))
}
