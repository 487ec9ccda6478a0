import assert from 'node:assert/strict'
import { afterEach, after, before, test } from 'node:test'
import { composeAnswer } from '../src/standin/index.js'
import type { EngineFault } from '../src/standin/index.js'
import { Deployment, sendChat, readStream, waitFor } from './support/deployment.js'

let deployment: Deployment

before(async () => { deployment = await Deployment.start({ port: 21_100, engines: 2, intent: '[classes.brief]\npriority = 0\nfirstTokenMs = 300\n' }) })
after(() => deployment.stop())
afterEach(async () => {
  for (const engine of deployment.engines) engine.setFault({ type: 'none' })
  // Engines in state "out" are probed again after their back-off.
  await waitFor(() => deployment.entries[0].composeStatus().engines.every(engine => engine.state !== 'out'), 'no engine is out')
})

const messages = [{ role: 'user', content: 'where is the pitch?' }]
const fullText = composeAnswer({ model: 'm', messages, max_tokens: 10 }).words.join('')

const faults: { name: string, fault: EngineFault }[] = [
  { name: 'refuses', fault: { type: 'refuse' } },
  { name: 'resets before the first byte', fault: { type: 'reset' } },
  { name: 'crashes in the middle of the response', fault: { type: 'crash', afterTokens: 4 } },
  { name: 'crashes after its first token', fault: { type: 'crash', afterTokens: 1 } },
  { name: 'ends its response early without an error', fault: { type: 'short', afterTokens: 4 } },
  { name: 'sends malformed events', fault: { type: 'garble', afterTokens: 3 } },
  // Guards against an entry box that ends because a listener of its connection to the engine throws.
  { name: 'sends an event whose data is null', fault: { type: 'garble', afterTokens: 3, data: 'null' } }
]

for (const { name, fault } of faults) {
  for (const stream of [true, false]) {
    test(`a ${stream ? 'streamed' : 'non-streamed'} response is complete, with each token once, when an engine ${name}`, async () => {
      deployment.engines[0].setFault(fault)
      for (let i = 0; i < 4; i++) {
        const response = await sendChat(deployment.url, { stream })
        assert.equal(response.status, 200, response.body)
        if (stream) assert.deepEqual(readStream(response.body), { text: fullText, done: true, error: null })
        else assert.equal(JSON.parse(response.body).choices[0].message.content, fullText)
      }
    })
  }
}

test('a hanging engine times out, and another one serves the request', async () => {
  deployment.engines[0].setFault({ type: 'hang' })
  const responses = await Promise.all([0, 1, 2, 3].map(() => sendChat(deployment.url, { stream: true }, { 'x-wrenlane-class': 'brief' })))
  for (const response of responses) assert.deepEqual(readStream(response.body), { text: fullText, done: true, error: null })
})

test('a stream that no engine can complete ends with an error, not as if it were complete', async () => {
  for (const engine of deployment.engines) engine.setFault({ type: 'crash', afterTokens: 2 })
  const response = await sendChat(deployment.url, { stream: true })
  const { done, error } = readStream(response.body)
  assert.equal(done, false)
  assert.ok(error === 'engine-failed' || error === 'no-engine', String(error))
  assert.match(response.body, /"outcome":"unknown"/)
})

test('a request that was sent to an engine is never reported as not-run', async () => {
  for (const engine of deployment.engines) engine.setFault({ type: 'reset' })
  const response = await sendChat(deployment.url)
  assert.ok(response.status >= 500)
  assert.equal(response.headers['x-wrenlane-outcome'], 'unknown')
})
