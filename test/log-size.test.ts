import assert from 'node:assert/strict'
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { KeeperLog } from '../src/coordination/index.js'
import type { Members, ReplicaId } from '../src/coordination/index.js'
import { until } from './support/deployment.js'

const place = { name: 'a', firstPart: 'first' }
const members: Members = { voters: ['a#first' as ReplicaId], learners: [] }
const nothing = (): void => {}
const host = { timing: { heartbeatMs: 20, electionMs: 60 }, snapshotEvery: 1000, send: nothing, noteRole: nothing, noteViolation: nothing, noteApplied: nothing, noteDiskFault: nothing }

/** Documents of so many characters, so many of them, and the most bytes that the folder may hold. */
const cases: readonly { readonly name: string, readonly size: number, readonly count: number, readonly mostBytes: number }[] = [
  { name: 'large', size: 600_000, count: 60, mostBytes: 20 * 2 ** 20 },
  { name: 'the largest that a call may hold by default', size: 15 * 2 ** 20, count: 6, mostBytes: 64 * 2 ** 20 }
]

for (const { name, size, count, mostBytes } of cases) {
  test(`a log of documents that are ${name} stays small, however few they are, and is read again`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'wrenlane-log-'))
    let log = await KeeperLog.open({ folder, ...place }, host)
    try {
      await log.form(members)
      await until(() => log.isLeader, 'a leader')
      for (let version = 1; version <= count; version++) {
        const end = await log.propose({ part: 'routing', command: { type: 'put', document: { version, text: 'x'.repeat(size) } } })
        assert.equal(end.type, 'applied')
      }
      const bytes = readdirSync(folder).reduce((sum, file) => sum + statSync(join(folder, file)).size, 0)
      assert.ok(bytes < mostBytes, `${bytes} bytes`)
      await log.close()
      log = await KeeperLog.open({ folder, ...place }, host)
      await until(() => log.state.routing.newest?.version === count, 'the newest again')
    } finally {
      await log.close()
      rmSync(folder, { recursive: true, force: true })
    }
  })
}
