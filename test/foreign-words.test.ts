/**
 * Words of endpoints may come from another writer: fields that are missing or of
 * another type, a state that is not known, bytes that can't be read. Such a word
 * is refused with its mistakes, or names an endpoint in full; it never ends what
 * reads it. Numbers with fractions, below 0 or beyond what is held exactly were
 * taken, as were ports that no connection can be made to.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { platformDialect } from '../platform/dialect.js'
import type { EndpointRecord } from '../src/core/index.js'
import { DocumentError, nativeDialect } from '../src/protocol/index.js'
import type { Dialect } from '../src/protocol/index.js'

const dialects: readonly { name: string, dialect: Dialect, whole: Readonly<Record<string, unknown>> }[] = [
  { name: 'the product\'s own', dialect: nativeDialect, whole: { service: 's', host: '10.0.0.9', port: 80, zone: 'z', slots: 6, born: 1796249564454, software: 'v1', sequence: 5, stage: 'ready' } },
  { name: 'the platform\'s', dialect: platformDialect, whole: { service: 's', addr: '10.0.0.9:80', zone: 'z', version: 'v1', slots: 6, state: 'ready', born: 1796249564454, seq: 5 } }
]
const runs = 10_000
const foreign = fc.oneof(fc.jsonValue({ maxDepth: 2 }), fc.constantFrom(null, '', -1, 0.5, 1e308, 2 ** 53, 70_000, '5', true, [], {}))

/** Found once, and kept. */
const refused: readonly { name: string, change: Readonly<Record<string, unknown>> }[] = [
  { name: 'a start that is no whole number', change: { born: 1.5 } },
  { name: 'a start as a text', change: { born: '1796249564454' } },
  { name: 'places below none', change: { slots: -1 } },
  { name: 'a port that is none', change: { port: 70_000, addr: '10.0.0.9:70000' } },
  { name: 'a number beyond what is exact', change: { sequence: 2 ** 53, seq: 2 ** 53 } },
  { name: 'an unknown state', change: { stage: 'asleep', state: 'asleep' } },
  { name: 'a service that is a list', change: { service: ['s'] } }
]

function isWhole ({ id, service, host, port, zone, slots, born, software, sequence, stage }: EndpointRecord): boolean {
  const hasTexts = [id, service, host, zone].every(text => typeof text === 'string' && text !== '') && typeof software === 'string'
  const hasNumbers = [slots, born, sequence].every(number => Number.isSafeInteger(number) && number >= 0) && Number.isInteger(port) && port > 0 && port < 65_536
  return hasTexts && hasNumbers && (stage === 'ready' || stage === 'draining')
}

function check (dialect: Dialect, text: string): void {
  let record
  try {
    record = dialect.decodeRegistration('e', text)
  } catch (error) {
    assert.ok(error instanceof DocumentError && error.mistakes.length > 0, `${String(error)} of ${text}`)
    return
  }
  assert.ok(isWhole(record), `${text} gives ${JSON.stringify(record)}`)
}

for (const { name, dialect, whole } of dialects) {
  const keys = Object.keys(whole)
  test(`words of endpoints in ${name} dialect: fields missing, of another type, or cut short are refused, or name an endpoint in full`, () => {
    check(dialect, JSON.stringify(whole))
    const changes = fc.array(fc.tuple(fc.constantFrom(...keys), fc.option(foreign, { nil: undefined })), { minLength: 1, maxLength: 3 })
    fc.assert(fc.property(changes, fc.option(fc.nat(150), { nil: null }), (list, cut) => {
      const text = JSON.stringify({ ...whole, ...Object.fromEntries(list) })
      check(dialect, cut === null ? text : text.slice(0, cut))
    }), { numRuns: runs })
  })

  for (const { name: what, change } of refused) {
    test(`${what} in ${name} dialect is refused`, () => {
      assert.throws(() => dialect.decodeRegistration('e', JSON.stringify({ ...whole, ...change })), DocumentError)
    })
  }
}
