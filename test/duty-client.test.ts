/**
 * A planned stop releases the lease only where no call may still arrive. A call that was
 * written but not answered must therefore be recorded as unresolved, whether its connection
 * or its request reports the failure first.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DutyClient } from '../src/registry/duty-client.js'
import { StandinPlatform } from '../src/standin/index.js'
import type { PlatformFault } from '../src/standin/index.js'

const host = '127.0.0.1'
const call = { method: 'POST', path: '/v1/usage', headers: {}, body: '{}' }

const cases: readonly { fault: PlatformFault, isOutcomeKnown: boolean }[] = [
  { fault: 'none', isOutcomeKnown: true },
  { fault: 'busy', isOutcomeKnown: true },
  { fault: 'lose', isOutcomeKnown: false },
  { fault: 'silent', isOutcomeKnown: false },
  { fault: 'garbage', isOutcomeKnown: false }
]

for (const { fault, isOutcomeKnown } of cases) {
  test(`the outcome of a call is ${isOutcomeKnown ? '' : 'not '}known: ${fault}`, async () => {
    const platform = new StandinPlatform()
    platform.fault = fault
    const client = new DutyClient({ host, port: await platform.listen(host) }, 200)
    const result = await client.call(() => call)
    assert.equal(result.type, isOutcomeKnown ? 'answered' : 'failed')
    assert.equal(client.lastUnknownOutcomeAt === -Infinity, isOutcomeKnown)
    assert.equal(client.openCount, 0)
    platform.close()
  })
}

test('a call that was not written is not unresolved', async () => {
  const platform = new StandinPlatform()
  const client = new DutyClient({ host, port: await platform.listen(host) }, 200)
  assert.equal((await client.call(() => null)).type, 'not-held')
  assert.equal(client.lastUnknownOutcomeAt, -Infinity)
  platform.close()
})
