import assert from 'node:assert/strict'
import { test } from 'node:test'
import { composeAnswer } from '../src/standin/index.js'
import { Deployment, chat, host, readStream, send, until } from './support/deployment.js'

test('a planned stop with 200 streams in flight cuts none', async () => {
  const place = await Deployment.start({ port: 21_300, entries: 2, engines: 4, places: 59, entry: { balancerLagMs: 1500 }, engine: { batch: 60, baseMs: 10 } })
  try {
    const contents = Array.from({ length: 200 }, (_, i) => `question ${i}`)
    const answers = contents.map(content => chat(place.url, { stream: true, max_tokens: 250, messages: [{ role: 'user', content }] }))
    await until(() => place.entries[0].inFlight === 200, '200 in flight')
    const stopped = place.entries[0].stop()
    const ready = await send(place.url, '/readyz', null)
    assert.equal(ready.status, 503)
    // Connections that the balancer still sends are served for its lag.
    assert.equal((await chat(place.url)).status, 200)
    const done = await Promise.all(answers)
    for (const [i, answer] of done.entries()) {
      const text = composeAnswer({ model: 'm', messages: [{ role: 'user', content: contents[i] }], max_tokens: 250 }).words.join('')
      assert.deepEqual(readStream(answer.body), { text, done: true, error: null })
    }
    assert.equal(await stopped, 0)
    // The other box goes on, with the shards of the one that left.
    const other = `http://${host}:${place.entries[1].port}`
    assert.equal((await chat(other)).status, 200)
  } finally {
    await place.stop()
  }
})

test('an engine that is drained gets no new work, and ends what it has', async () => {
  const place = await Deployment.start({ port: 21_350, engines: 2, engine: { baseMs: 5 } })
  try {
    const early = Array.from({ length: 6 }, () => chat(place.url, { stream: true, max_tokens: 30 }))
    await until(() => place.engines.every(engine => engine.ran.size === 3), 'both engines at work')
    const engine = place.engines[0]
    await place.configure(`[engines.engine-0]\npool = "small"\nzone = "zone-0"\nhost = "${host}"\nport = ${engine.port}\nleaving = true\n`)
    await until(() => place.entries[0].composeStatus().engines.some(one => one.state === 'leaving'), 'the drain in force')
    const before = engine.ran.size
    const late = await Promise.all(Array.from({ length: 8 }, () => chat(place.url, { stream: true })))
    assert.equal(engine.ran.size, before)
    for (const answer of [...late, ...await Promise.all(early)]) assert.equal(readStream(answer.body).done, true)
    // Taken back, it gets work again.
    await place.configure(`[engines.engine-0]\npool = "small"\nzone = "zone-0"\nhost = "${host}"\nport = ${engine.port}\n`)
    await until(() => place.entries[0].composeStatus().engines.every(one => one.state === 'live'), 'the drain undone')
    await Promise.all(Array.from({ length: 8 }, () => chat(place.url)))
    assert.ok(engine.ran.size > before)
  } finally {
    await place.stop()
  }
})

test('an engine that says itself that it is leaving gets no new work', async () => {
  const place = await Deployment.start({ port: 21_375, engines: 2, engine: { reportLagMs: 0 } })
  try {
    place.engines[0].leave()
    await until(() => place.entries[0].composeStatus().engines.some(one => one.state === 'leaving'), 'the word taken')
    const before = place.engines[0].ran.size
    await Promise.all(Array.from({ length: 8 }, () => chat(place.url)))
    assert.equal(place.engines[0].ran.size, before)
  } finally {
    await place.stop()
  }
})
