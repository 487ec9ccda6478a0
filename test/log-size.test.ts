import assert from 'node:assert/strict'
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { KeeperLog } from '../src/coordination/index.js'
import type { Members, ReplicaId } from '../src/coordination/index.js'
import { waitFor } from './support/deployment.js'

const identity = { name: 'a', idSuffix: 'first' }
const members: Members = { voters: ['a#first' as ReplicaId], learners: [] }
const doNothing = (): void => {}
const host = { timing: { heartbeatMs: 20, electionMs: 60 }, snapshotEvery: 1000, send: doNothing, noteRole: doNothing, noteViolation: doNothing, noteApplied: doNothing, noteDiskFault: doNothing }

/** `size`: characters per document; `count`: number of documents; `maxBytes`: limit on the size of the folder. */
const cases: readonly { readonly name: string, readonly size: number, readonly count: number, readonly maxBytes: number }[] = [
  { name: 'large', size: 600_000, count: 60, maxBytes: 20 * 2 ** 20 },
  { name: 'as large as a call may carry by default', size: 15 * 2 ** 20, count: 6, maxBytes: 64 * 2 ** 20 }
]

for (const { name, size, count, maxBytes } of cases) {
  test(`a log of few documents that are ${name} is compacted by size and can be reopened`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'wrenlane-log-'))
    let log = await KeeperLog.open({ folder, ...identity }, host)
    try {
      await log.form(members)
      await waitFor(() => log.isLeader, 'a leader')
      for (let version = 1; version <= count; version++) {
        const outcome = await log.propose({ part: 'routing', command: { type: 'put', document: { version, text: 'x'.repeat(size) } } })
        assert.equal(outcome.type, 'applied')
      }
      const bytes = readdirSync(folder).reduce((sum, file) => sum + statSync(join(folder, file)).size, 0)
      assert.ok(bytes < maxBytes, `${bytes} bytes`)
      await log.close()
      log = await KeeperLog.open({ folder, ...identity }, host)
      await waitFor(() => log.state.routing.newest?.version === count, 'the newest document after reopening')
    } finally {
      await log.close()
      rmSync(folder, { recursive: true, force: true })
    }
  })
}
