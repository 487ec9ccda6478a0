import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { Admission } from '../src/core/index.js'
import { CallerReturn } from '../src/gateway/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

let deployment: RouteDeployment
before(async () => {
  deployment = await RouteDeployment.start({ number: 94, registries: 1, gateways: 2, gateway: { contention: { mode: 'on' } } })
  await deployment.putDocument(composeDocument(1, { services: [{ name: 'desk' }], routes: [{ name: 'once', host: 'camp.example', prefix: '/once/', kind: 'once', timeoutMs: 9000, targetMs: 300, mostAttempts: 1, services: [{ service: 'desk' }] }] }))
  const endpoint = await deployment.addEndpoint('desk')
  endpoint.fault = { type: 'full' }
})
after(() => deployment.stop())

test('a request that finds the endpoint full is told a planned time, which the other box learns of', async () => {
  const answer = await deployment.ask('/once/x', { requestId: 'first', deadlineMs: 9000 })
  assert.deepEqual([answer.status, answer.headers['retry-after']], [503, '1'])
  await waitFor(async () => {
    await deployment.ask('/once/x', { gateway: 1, deadlineMs: 9000 })
    return deployment.lines.some(line => /gateway-1.*returns="?after=[0-9]+:expected=1:free=[0-9.]+:age=[0-9]+/.test(line))
  }, 'a plan of the second box on totals')
  await deployment.ask('/once/x', { requestId: 'first', deadlineMs: 9000 })
  assert.ok(deployment.lines.some(line => /request=first.*returns="?since=-[0-9]+:after=/.test(line)), 'the return is recognised as early')
})

const admission = { waitMs: 100, allowedMs: 200, share: 0.5 } as unknown as Admission
// Guards against returns that are refused again by the limit that was in force when they were planned beside it.
const returns: readonly { readonly name: string, readonly isOn?: boolean, readonly sinceDueMs: number | null, readonly admission?: Partial<Admission>, readonly mayPass: boolean, readonly ms: number }[] = [
  { name: 'a first arrival', sinceDueMs: null, mayPass: false, ms: 700 },
  { name: 'a return as told', sinceDueMs: 5, mayPass: true, ms: 700 },
  { name: 'an early return', sinceDueMs: -300, mayPass: false, ms: 700 },
  { name: 'a return as told behind a long backlog', sinceDueMs: 5, admission: { waitMs: 300 }, mayPass: false, ms: 700 },
  { name: 'a return as told of a kind that gets nothing', sinceDueMs: 5, admission: { share: 0 }, mayPass: false, ms: 700 },
  { name: 'a return while the measures are off', isOn: false, sinceDueMs: 5, mayPass: false, ms: 400 }
]

for (const { name, isOn = true, sinceDueMs, admission: more, mayPass, ms } of returns) {
  test(`${name} ${mayPass ? 'may' : 'may not'} exceed the share of its kind, and is told ${ms} ms if refused`, () => {
    const planner = { noteReturned: () => sinceDueMs, plan: () => 700, latest: null }
    const host = { fleet: { contention: { isOn }, returns: planner }, dialect: { retryAfterStepMs: 1 }, now: () => 0, draw: () => 0, noteLoad: () => {} }
    const request = { work: { cost: null, level: 0 }, service: 'desk', headers: { requestId: 'r' }, workspace: null, deadlineAt: 1000 }
    const caller = new CallerReturn(host as never, request as never)
    caller.noteArrival()
    const checked = { ...admission, ...more }
    assert.equal(caller.mayExceedShare(checked), mayPass)
    assert.equal(caller.planAdmission(checked, 400), ms)
    assert.equal(caller.planFull(0, 400), ms)
  })
}
