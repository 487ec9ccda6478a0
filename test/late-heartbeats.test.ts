import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '../src/core/index.js'
import type { EndpointId, EndpointRecord } from '../src/core/index.js'
import { EndpointDesk } from '../src/registry/index.js'
import { EventLog } from '../src/runtime/index.js'
import { createRecord } from './support/fleet-builder.js'

type HeartbeatCase = readonly [at: number, id: string, sequence: number, more?: Partial<EndpointRecord>]

/** The stages of two endpoints at one address, after their own words and those of other registries. */
function replay (direct: readonly HeartbeatCase[], merged: readonly HeartbeatCase[] = []): readonly (string | undefined)[] {
  let now = 0
  const tracker = new EndpointDesk({ log: new EventLog('test', () => {}), lostMs: 30_000, now: () => now, broadcast: () => {}, noteRestart: () => {}, broadcastHeartbeats: () => {} })
  const compose = ([, id, sequence, more]: HeartbeatCase): EndpointRecord => ({ ...createRecord(id), host: '10.0.0.9', port: 80, sequence, stage: 'ready', ...more })
  for (const heartbeat of [...direct, ...merged].sort((a, b) => a[0] - b[0])) {
    now = heartbeat[0]
    if (merged.includes(heartbeat)) tracker.merge([compose(heartbeat)])
    else tracker.register(compose(heartbeat))
  }
  return ['old', 'new'].map(id => tracker.records.find(record => record.id === brandId<EndpointId>(id))?.stage)
}

// A heartbeat that a cut held back comes after its sender has crashed and another runs at its address. It revived the one that
// is gone, and the one that runs had no work until it spoke again.
const cases: { name: string, words: HeartbeatCase[], merged?: HeartbeatCase[], stages: (string | undefined)[] }[] = [
  { name: 'a new endpoint at the address takes the place of the one before', words: [[0, 'old', 1], [1000, 'new', 1]], stages: ['lost', 'ready'] },
  { name: 'a late heartbeat of the one before changes nothing', words: [[0, 'old', 1], [1000, 'new', 1], [1500, 'old', 7]], stages: ['lost', 'ready'] },
  { name: 'several late ones change nothing', words: [[0, 'old', 1], [1000, 'new', 1], [1500, 'old', 7], [1501, 'old', 8], [2200, 'new', 2], [2300, 'old', 9]], stages: ['lost', 'ready'] },
  { name: 'nor does one where the new one was told by another registry', words: [[0, 'old', 1], [1500, 'old', 7]], merged: [[1000, 'new', 1]], stages: ['lost', 'ready'] },
  { name: 'the last word of the one before is taken', words: [[0, 'old', 1], [1000, 'new', 1], [1500, 'old', 7, { stage: 'gone' }]], stages: ['gone', 'ready'] },
  { name: 'one that goes on speaking after the other fell silent runs there', words: [[0, 'old', 1], [1000, 'new', 4], [2200, 'old', 3], [3400, 'old', 4], [4600, 'old', 5], [5800, 'old', 6]], stages: ['ready', 'lost'] },
  { name: 'one that speaks after the other said that it ends runs there', words: [[0, 'old', 1], [1000, 'new', 1], [1500, 'new', 2, { stage: 'gone' }], [1600, 'old', 3]], stages: ['ready', 'gone'] },
  { name: 'at another address both run', words: [[0, 'old', 1], [1000, 'new', 1], [1500, 'old', 7, { port: 81 }]], stages: ['ready', 'ready'] }
]

for (const { name, words, merged, stages } of cases) {
  test(`two endpoints at one address: ${name}`, () => assert.deepEqual(replay(words, merged), stages))
}
