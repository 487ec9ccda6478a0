import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { StandinEndpoint } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument, native } from './support/route-deployment.js'

let deployment: RouteDeployment
let first: StandinEndpoint
let second: StandinEndpoint

before(async () => {
  const spoken = { ...native, composeRegistration: (...args: Parameters<typeof native.composeRegistration>) => ({ ...native.composeRegistration(...args), slots: 1 }) }
  deployment = await RouteDeployment.start({ number: 58, registries: 1, gateways: 1, spoken, gateway: { contention: { mode: 'on' } } })
  const { routes } = composeDocument(1)
  await deployment.putDocument(composeDocument(1, { routes: [...routes, { ...routes[0], name: 'single', prefix: '/single/', mostAttempts: 1 }] }))
  first = await deployment.addEndpoint('desk')
  second = await deployment.addEndpoint('desk')
})
after(() => deployment.stop())

function findLine (requestId: string): string { return deployment.lines.find(line => line.includes('event=exchange ') && line.includes(`request=${requestId} `)) ?? '' }

// Guards against calls that are sent to full endpoints, which refuse them: with the measures off, three of four calls at two slots are sent beyond them.
test('plain calls wait in the box for a free slot, and the log says so', async () => {
  for (const endpoint of [first, second]) endpoint.answerMs = 60
  const answers = await Promise.all(['wait-1', 'wait-2', 'wait-3', 'wait-4'].map(requestId => deployment.ask('/again/x', { requestId })))
  assert.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200])
  assert.equal(first.arrivals.length + second.arrivals.length, 4)
  await waitFor(() => findLine('wait-4') !== '', 'the line of the last call')
  assert.match(findLine('wait-4'), /plain="send:expected=\d+:ahead=\d+:free=\d\/2:totals=(\d+|-)/)
})

// Guards against more sends of a call that may not be repeated than its route allows, and against an untrue "not run".
for (const { route, sends } of [{ route: 'single', sends: 1 }, { route: 'once', sends: 2 }]) {
  test(`a call that may not be repeated is sent at most ${sends} times if endpoints refuse it as full, and is told that it did not run`, async () => {
    for (const endpoint of [first, second]) endpoint.fault = { type: 'full' }
    const countSends = (): number => [first, second].flatMap(({ arrivals }) => arrivals).filter(({ requestId }) => requestId === `${route}-1`).length
    const answer = await deployment.ask(`/${route}/x`, { requestId: `${route}-1` })
    for (const endpoint of [first, second]) endpoint.fault = { type: 'none' }
    assert.deepEqual([answer.status, JSON.parse(answer.body).outcome], [503, 'not-run'])
    assert.ok(countSends() >= 1 && countSends() <= sends, `${countSends()} sends`)
    assert.ok([first, second].every(({ runs }) => runs.every(({ requestId }) => requestId !== `${route}-1`)), 'the call ran')
    assert.ok(Number(answer.headers['retry-after']) >= 0)
  })
}

// Guards against calls that wait beyond their target of 300 ms: their caller could have gone elsewhere.
test('a call whose answer would come after its target is refused as not run, and no endpoint receives it', async () => {
  for (const endpoint of [first, second]) endpoint.answerMs = 800
  const busy = ['busy-1', 'busy-2'].map(requestId => deployment.ask('/once/x', { requestId }))
  await waitFor(() => [first, second].every(({ runs }) => runs.some(({ requestId }) => requestId.startsWith('busy'))), 'both endpoints busy')
  const answer = await deployment.ask('/once/x', { requestId: 'late-1' })
  assert.deepEqual([answer.status, JSON.parse(answer.body).outcome], [503, 'not-run'])
  assert.equal([first, second].flatMap(({ arrivals }) => arrivals).filter(({ requestId }) => requestId === 'late-1').length, 0)
  await waitFor(() => findLine('late-1') !== '', 'the line of the refused call')
  assert.match(findLine('late-1'), /plain="late:.*" attempts=""/)
  assert.deepEqual((await Promise.all(busy)).map(({ status }) => status), [200, 200])
})
