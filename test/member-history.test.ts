import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberHistory } from '../src/proof/index.js'

/** `MEMBER_HISTORIES=1000` plays more. */
const count = Number(process.env.MEMBER_HISTORIES ?? 60)
const cases = [
  { name: 'three zones', zones: 3, from: 1 },
  { name: 'five zones', zones: 5, from: 70_001 }
]

for (const { name, zones, from } of cases) {
  test(`machines whose successors had caught up were taken away, and the log lost its quorum for good: ${name}`, () => {
    let removed = 0
    for (let seed = from; seed < from + count; seed++) {
      const history = new MemberHistory({ seed, zones, catchUpMs: 4000, recoverMs: 12_000 })
      history.run(8)
      assert.deepEqual(history.violations, [], `seed ${seed}`)
      removed += history.removed
    }
    // The check is meaningless if no machine is replaced.
    assert.ok(removed > count * 2, `only ${removed} removed`)
  })
}
