import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decodeBody, encodeBody, encodeValue } from '../src/protocol/index.js'

const time = { ms: 1_796_280_000_000, count: 3 }

for (const count of [0, 1, 23, 24, 255, 256, 65_535, 65_536]) {
  test(`a frame of ${count} messages is decoded to what was encoded`, () => {
    const messages = Array.from({ length: count }, (_, i) => ({ type: 'version', version: i }))
    assert.deepEqual(decodeBody(encodeBody(time, messages)), { time, messages })
  })
}

test('a frame body equals the encoding of its time and messages as one value', () => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.string(), fc.integer(), fc.dictionary(fc.string(), fc.integer())), { maxLength: 40 }), messages => {
    assert.deepEqual(encodeBody(time, messages), encodeValue([time.ms, time.count, messages]))
  }), { seed: 8, numRuns: 200 })
})

// A starting registry sends the same messages to hundreds of gateways. Encoding them for each one takes a third of a second.
test('a message to many links is encoded once', () => {
  let reads = 0
  const message = { get type () { reads += 1; return 'endpoints' } }
  for (let i = 0; i < 200; i++) encodeBody(time, [message])
  assert.equal(reads, 1)
})

const invalidBodies: { name: string, bytes: Uint8Array }[] = [
  { name: 'nothing', bytes: Buffer.alloc(0) },
  { name: 'a truncated list', bytes: encodeBody(time, ['a', 'b']).subarray(0, -1) },
  { name: 'another value', bytes: encodeValue({ ms: 1 }) },
  { name: 'messages that are not a list', bytes: encodeValue([1, 2, 'x']) }
]

for (const { name, bytes } of invalidBodies) {
  test(`a body of ${name} is refused`, () => assert.equal(decodeBody(bytes), undefined))
}
