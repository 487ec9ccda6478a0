import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Deployment, chat, host, send, until } from './support/deployment.js'
import type { Answer } from './support/deployment.js'
import { Forwarder } from './support/forwarder.js'

const port = 21_500

function book (url: string, key: string): Promise<Answer> {
  return send(url, '/v1/services/bookings/confirm', '{"pitch":7}', { 'idempotency-key': key })
}

test('a box cut off from the keepers serves on, refuses claims at once, and catches up after', async () => {
  const forwarders = [0, 1, 2].map(i => new Forwarder(host, port + 10 + i))
  for (const [i, forwarder] of forwarders.entries()) await forwarder.listen(host, port + 50 + i)
  const keepers = [0, 1, 2].map(i => ({ id: `keeper-${i + 1}`, host, port: port + 50 + i }))
  const place = await Deployment.start({ port, entries: 1, entry: { keepers } })
  try {
    const [entry] = place.entries
    const before = entry.configuration.revision
    assert.equal((await book(place.url, 'k-1')).status, 200)
    for (const forwarder of forwarders) forwarder.cut()

    const refused = await book(place.url, 'k-2')
    assert.equal(refused.headers['x-wrenlane-outcome'], 'not-run')
    assert.equal(JSON.parse(refused.body).error.code, 'no-quorum')
    assert.ok(refused.headers['retry-after'])
    assert.equal((await chat(place.url)).status, 200)
    const revision = await place.configure('[classes.new]\npriority = 2\nfirstTokenMs = 700\n')
    assert.equal(entry.configuration.revision, before)

    for (const forwarder of forwarders) forwarder.heal()
    await until(() => entry.configuration.revision === revision, 'the box caught up')
    await until(async () => (await book(place.url, 'k-2')).status === 200, 'claims again')
    const runs = place.service.served.filter(call => call.key === 'k-2').length
    assert.equal(runs, 1)
    // What was answered before the cut is answered the same, and not run again.
    assert.equal((await book(place.url, 'k-1')).headers['x-wrenlane-replayed'], 'true')
  } finally {
    await place.stop()
    for (const forwarder of forwarders) forwarder.close()
  }
})

test('a box that is lost gives its shards to another, and requests go on', async () => {
  const place = await Deployment.start({ port: port + 400, entries: 3, zones: 1, engines: 3, entry: { enginesPerShard: 1 } })
  try {
    await until(() => place.entries.every(entry => entry.composeStatus().engines.length >= 1), 'shards on every box')
    // The first box must reach the other that is left: 30 questions before one shard of 8 places are more than can be in time.
    await until(() => place.entries[0].isLinked(place.entries[1].id), 'the first box reaches the second')
    const lost = place.entries[2]
    const owned = lost.composeStatus().engines.length
    assert.ok(owned >= 1)
    lost.kill()
    const url = `http://${host}:${place.entries[0].port}`
    const answers = await Promise.all(Array.from({ length: 30 }, () => chat(url)))
    assert.ok(answers.every(answer => answer.status === 200), answers.map(answer => answer.body).join())
    const count = (): number => place.entries.slice(0, 2).reduce((sum, entry) => sum + entry.composeStatus().engines.length, 0)
    await until(() => count() === 3, 'all shards owned by the two that are left')
    assert.equal((await chat(url)).status, 200)
    assert.ok(place.entries.slice(0, 2).every(entry => entry.violations === 0))
  } finally {
    await place.stop()
  }
})
