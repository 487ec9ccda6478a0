/** Which of the dedicated engines each kind of request uses. A kind with a strict limit shared them with prompts whose reading breaks it. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { findPart } from '../src/core/index.js'
import type { DedicatedKind, EnginePart } from '../src/core/index.js'

const long: DedicatedKind = { level: 2, pauseMs: 1000, rate: 600_000 }
const medium: DedicatedKind = { level: 1, pauseMs: 400, rate: 400_000 }

const cases: readonly { readonly name: string, readonly kinds: readonly DedicatedKind[], readonly level: number, readonly count: number, readonly expected: EnginePart }[] = [
  { name: 'the longest limit first, in proportion to the rates', kinds: [medium, long], level: 2, count: 30, expected: { from: 0, to: 18 } },
  { name: 'the stricter limit behind it', kinds: [medium, long], level: 1, count: 30, expected: { from: 18, to: 30 } },
  { name: 'a kind that hardly arrives has one engine', kinds: [{ ...medium, rate: 1 }, long], level: 1, count: 30, expected: { from: 29, to: 30 } },
  { name: 'a kind that does not arrive now has one engine', kinds: [medium, { ...long, rate: 0 }], level: 2, count: 30, expected: { from: 0, to: 1 } },
  { name: 'limits that hardly differ share a part', kinds: [{ ...medium, pauseMs: 900 }, long], level: 1, count: 30, expected: { from: 0, to: 30 } },
  { name: 'one kind alone', kinds: [long], level: 2, count: 30, expected: { from: 0, to: 30 } },
  { name: 'an unknown kind', kinds: [medium, long], level: 7, count: 30, expected: { from: 0, to: 30 } },
  { name: 'fewer engines than kinds', kinds: [medium, long], level: 1, count: 1, expected: { from: 0, to: 1 } },
  { name: 'nothing arrives', kinds: [{ ...medium, rate: 0 }, { ...long, rate: 0 }], level: 1, count: 30, expected: { from: 0, to: 30 } }
]

for (const { name, kinds, level, count, expected } of cases) {
  test(`part of the dedicated engines: ${name}`, () => assert.deepEqual(findPart(kinds, level, count), expected))
}
