import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RaftHistory } from '../src/proof/index.js'

const cases = [
  { name: '2,000 histories of three keepers', from: 1, count: 2000, size: 3, steps: 1500 },
  { name: '700 histories of five keepers', from: 5001, count: 700, size: 5, steps: 2000 }
]

for (const { name, from, count, size, steps } of cases) {
  test(`the log's safety properties hold in ${name}`, () => {
    let acknowledged = 0
    let disksLost = 0
    for (let seed = from; seed < from + count; seed++) {
      const report = new RaftHistory(seed, size).run(steps)
      assert.deepEqual(report.violations, [], `seed ${seed}`)
      acknowledged += report.acknowledged
      disksLost += report.disksLost
    }
    // The check is meaningless if no command is acknowledged or no disk is lost.
    assert.ok(acknowledged > count * 5, `only ${acknowledged} acknowledged`)
    assert.ok(disksLost > count / 20, `only ${disksLost} disks lost`)
  })
}
