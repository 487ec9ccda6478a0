/**
 * A planned stop gives its lease back only where no call may still arrive. So a call that
 * was written and not answered must be known as such, whichever of its connection and its
 * request is the first to hear of the end.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DutyClient } from '../src/registry/duty-client.js'
import { StandinPlatform } from '../src/standin/index.js'
import type { PlatformFault } from '../src/standin/index.js'

const host = '127.0.0.1'
const call = { method: 'POST', path: '/v1/usage', headers: {}, body: '{}' }

const cases: readonly { fault: PlatformFault, isSure: boolean }[] = [
  { fault: 'none', isSure: true },
  { fault: 'busy', isSure: true },
  { fault: 'lose', isSure: false },
  { fault: 'silent', isSure: false },
  { fault: 'garbage', isSure: false }
]

for (const { fault, isSure } of cases) {
  test(`what became of a call is ${isSure ? '' : 'not '}known: ${fault}`, async () => {
    const platform = new StandinPlatform()
    platform.fault = fault
    const caller = new DutyClient({ host, port: await platform.listen(host) }, 200)
    const end = await caller.call(() => call)
    assert.equal(end.type, isSure ? 'answered' : 'failed')
    assert.equal(caller.lastUnknownOutcomeAt === -Infinity, isSure)
    assert.equal(caller.openCount, 0)
    platform.close()
  })
}

test('a call that was not written leaves nothing open', async () => {
  const platform = new StandinPlatform()
  const caller = new DutyClient({ host, port: await platform.listen(host) }, 200)
  assert.equal((await caller.call(() => null)).type, 'not-held')
  assert.equal(caller.lastUnknownOutcomeAt, -Infinity)
  platform.close()
})
