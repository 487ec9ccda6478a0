import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { test } from 'node:test'
import { until } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { TestDocument } from './support/route-deployment.js'
import { SlowLink } from './support/slow-link.js'

const number = 42
const registryHost = `127.${number}.0.1`
/** Where the registry really accepts links; the slow link stands before it. */
const hiddenHost = `127.${number}.3.1`
const linkPort = 7000

/** What the streams leave of a link of 7 Mbit/s, bytes/ms. */
const bytesPerMs = 400

function draw (seed: string): string { return createHash('sha256').update(seed).digest('hex').slice(0, 12) }

/** A document with many routes, whose names are as little alike as real ones. */
function composeLarge (version: number, count: number): TestDocument {
  const small = composeDocument(version)
  const more = Array.from({ length: count }, (_, i) => ({
    name: `r-${draw(`name ${i}`)}`, host: 'camp.example', prefix: `/${draw(`prefix ${i}`)}/`, kind: 'repeatable', timeoutMs: 1500, targetMs: 300, mostAttempts: 2, services: [{ service: 'desk' }], public: false, resumable: false
  }))
  return { ...small, routes: [...small.routes, ...more] }
}

async function withSlowLink (run: (place: RouteDeployment, link: SlowLink) => Promise<void>): Promise<void> {
  const link = new SlowLink(hiddenHost, linkPort, bytesPerMs)
  await link.listen(registryHost, linkPort)
  const place = await RouteDeployment.start({ number, registries: 1, gateways: 1, registry: { bind: hiddenHost } })
  try {
    await run(place, link)
  } finally {
    await place.stop()
    link.close()
  }
}

const putAll = async (place: RouteDeployment, documents: readonly TestDocument[]): Promise<void> => {
  for (const document of documents) {
    await until(async () => (await place.operate('PUT', '/v1/routing', JSON.stringify(document))).status === 200, `version ${document.version} taken`)
  }
}

test('large documents in quick succession cost a slow link less than one copy, and hold up no word of an endpoint', () => withSlowLink(async (place, link) => {
  await place.putDocument(composeDocument(12))
  const endpoint = await place.addEndpoint('desk')
  const before = link.carried
  await putAll(place, [composeLarge(14, 1400), composeLarge(15, 1399), composeLarge(16, 1400), composeLarge(17, 1398)])
  await place.operate('DELETE', `/v1/endpoints/${endpoint.id}`)
  await until(() => place.gateways[0].fleet.findView(endpoint.id as never) === undefined, 'the endpoint gone')
  const copy = JSON.stringify(composeLarge(17, 1398)).length
  const untilGone = link.carried - before
  await until(() => place.gateways[0].table?.version === 17 && link.isIdle, 'the newest in force, and the link at rest')
  const untilForce = link.carried - before
  assert.ok(untilGone < copy && untilForce < copy, `${untilGone} and ${untilForce} bytes for documents of ${copy}`)
}))
