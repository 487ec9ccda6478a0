import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Deployment, sendChat, host, send, waitFor } from './support/deployment.js'
import type { HttpResponse } from './support/deployment.js'
import { Forwarder } from './support/forwarder.js'

const basePort = 21_500

function book (url: string, key: string): Promise<HttpResponse> {
  return send(url, '/v1/services/bookings/confirm', '{"pitch":7}', { 'idempotency-key': key })
}

test('a box partitioned from the keepers keeps serving, refuses claims at once, and catches up afterwards', async () => {
  const forwarders = [0, 1, 2].map(i => new Forwarder(host, basePort + 10 + i))
  for (const [i, forwarder] of forwarders.entries()) await forwarder.listen(host, basePort + 50 + i)
  const keepers = [0, 1, 2].map(i => ({ id: `keeper-${i + 1}`, host, port: basePort + 50 + i }))
  const deployment = await Deployment.start({ port: basePort, entries: 1, entry: { keepers } })
  try {
    const [entry] = deployment.entries
    const before = entry.configuration.revision
    assert.equal((await book(deployment.url, 'k-1')).status, 200)
    for (const forwarder of forwarders) forwarder.partition()

    const refused = await book(deployment.url, 'k-2')
    assert.equal(refused.headers['x-wrenlane-outcome'], 'not-run')
    assert.equal(JSON.parse(refused.body).error.code, 'no-quorum')
    assert.ok(refused.headers['retry-after'])
    assert.equal((await sendChat(deployment.url)).status, 200)
    const revision = await deployment.configure('[classes.new]\npriority = 2\nfirstTokenMs = 700\n')
    assert.equal(entry.configuration.revision, before)

    for (const forwarder of forwarders) forwarder.heal()
    await waitFor(() => entry.configuration.revision === revision, 'the box has caught up')
    await waitFor(async () => (await book(deployment.url, 'k-2')).status === 200, 'claims are granted again')
    const runs = deployment.service.served.filter(call => call.key === 'k-2').length
    assert.equal(runs, 1)
    // A call that ran before the partition is replayed, not run again.
    assert.equal((await book(deployment.url, 'k-1')).headers['x-wrenlane-replayed'], 'true')
  } finally {
    await deployment.stop()
    for (const forwarder of forwarders) forwarder.close()
  }
})

test('the shards of a failed box move to the others, and requests are still served', async () => {
  const deployment = await Deployment.start({ port: basePort + 400, entries: 3, zones: 1, engines: 3, entry: { enginesPerShard: 1 } })
  try {
    await waitFor(() => deployment.entries.every(entry => entry.composeStatus().engines.length >= 1), 'every box owns a shard')
    // The first box must be linked to the other survivor: a single shard with 8 places can't serve 30 requests in time.
    await waitFor(() => deployment.entries[0].isLinked(deployment.entries[1].id), 'the first box is linked to the second')
    const killed = deployment.entries[2]
    const owned = killed.composeStatus().engines.length
    assert.ok(owned >= 1)
    killed.kill()
    const url = `http://${host}:${deployment.entries[0].port}`
    const responses = await Promise.all(Array.from({ length: 30 }, () => sendChat(url)))
    assert.ok(responses.every(response => response.status === 200), responses.map(response => response.body).join())
    const countEngines = (): number => deployment.entries.slice(0, 2).reduce((sum, entry) => sum + entry.composeStatus().engines.length, 0)
    await waitFor(() => countEngines() === 3, 'all shards are owned by the two remaining boxes')
    assert.equal((await sendChat(url)).status, 200)
    assert.ok(deployment.entries.slice(0, 2).every(entry => entry.violations === 0))
  } finally {
    await deployment.stop()
  }
})
