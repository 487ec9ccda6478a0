import assert from 'node:assert/strict'
import { afterEach, after, before, test } from 'node:test'
import { composeAnswer } from '../src/standin/index.js'
import type { Fault } from '../src/standin/index.js'
import { Deployment, chat, readStream, until } from './support/deployment.js'

let place: Deployment

before(async () => { place = await Deployment.start({ port: 21_100, engines: 2, intent: '[classes.brief]\npriority = 0\nfirstTokenMs = 300\n' }) })
after(() => place.stop())
afterEach(async () => {
  for (const engine of place.engines) engine.setFault({ type: 'none' })
  // Engines that were put out are probed again after their back-off.
  await until(() => place.entries[0].composeStatus().engines.every(engine => engine.state !== 'out'), 'engines back')
})

const messages = [{ role: 'user', content: 'where is the pitch?' }]
const whole = composeAnswer({ model: 'm', messages, max_tokens: 10 }).words.join('')

const oneBad: { name: string, fault: Fault }[] = [
  { name: 'refuses', fault: { type: 'refuse' } },
  { name: 'resets before the first byte', fault: { type: 'reset' } },
  { name: 'dies in the middle of the answer', fault: { type: 'crash', afterTokens: 4 } },
  { name: 'dies after its first token', fault: { type: 'crash', afterTokens: 1 } },
  { name: 'ends its answer short without a word', fault: { type: 'short', afterTokens: 4 } },
  { name: 'sends broken events', fault: { type: 'garble', afterTokens: 3 } }
]

for (const { name, fault } of oneBad) {
  for (const stream of [true, false]) {
    test(`a ${stream ? 'streamed' : 'whole'} answer is whole, each token once, when an engine ${name}`, async () => {
      place.engines[0].setFault(fault)
      for (let i = 0; i < 4; i++) {
        const answer = await chat(place.url, { stream })
        assert.equal(answer.status, 200, answer.body)
        if (stream) assert.deepEqual(readStream(answer.body), { text: whole, done: true, error: null })
        else assert.equal(JSON.parse(answer.body).choices[0].message.content, whole)
      }
    })
  }
}

test('an engine that hangs is given up on, and another answers', async () => {
  place.engines[0].setFault({ type: 'hang' })
  const answers = await Promise.all([0, 1, 2, 3].map(() => chat(place.url, { stream: true }, { 'x-wrenlane-class': 'brief' })))
  for (const answer of answers) assert.deepEqual(readStream(answer.body), { text: whole, done: true, error: null })
})

test('a stream that no engine can end says so, and is never silently short', async () => {
  for (const engine of place.engines) engine.setFault({ type: 'crash', afterTokens: 2 })
  const answer = await chat(place.url, { stream: true })
  const { done, error } = readStream(answer.body)
  assert.equal(done, false)
  assert.ok(error === 'engine-failed' || error === 'no-engine', String(error))
  assert.match(answer.body, /"outcome":"unknown"/)
})

test('what was sent to an engine is never called not run', async () => {
  for (const engine of place.engines) engine.setFault({ type: 'reset' })
  const answer = await chat(place.url)
  assert.ok(answer.status >= 500)
  assert.equal(answer.headers['x-wrenlane-outcome'], 'unknown')
})
