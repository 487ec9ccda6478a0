import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { test } from 'node:test'
import { waitFor } from './support/deployment.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { TestDocument } from './support/route-deployment.js'
import { SlowLink } from './support/slow-link.js'

const networkNumber = 42
const registryHost = `127.${networkNumber}.0.1`
/** The address on which the registry accepts links, behind the slow link. */
const upstreamHost = `127.${networkNumber}.3.1`
const linkPort = 7000

/** Bandwidth that streams leave on a link of 7 Mbit/s, bytes/ms. */
const bytesPerMs = 400

function hash (seed: string): string { return createHash('sha256').update(seed).digest('hex').slice(0, 12) }

/** A document with many routes, whose names compress as little as real ones. */
function composeLarge (version: number, count: number): TestDocument {
  const base = composeDocument(version)
  const extraRoutes = Array.from({ length: count }, (_, i) => ({
    name: `r-${hash(`name ${i}`)}`, host: 'camp.example', prefix: `/${hash(`prefix ${i}`)}/`, kind: 'repeatable', timeoutMs: 1500, targetMs: 300, mostAttempts: 2, services: [{ service: 'desk' }], public: false, resumable: false
  }))
  return { ...base, routes: [...base.routes, ...extraRoutes] }
}

async function withSlowLink (run: (deployment: RouteDeployment, link: SlowLink) => Promise<void>): Promise<void> {
  const link = new SlowLink(upstreamHost, linkPort, bytesPerMs)
  await link.listen(registryHost, linkPort)
  const deployment = await RouteDeployment.start({ number: networkNumber, registries: 1, gateways: 1, registry: { bind: upstreamHost } })
  try {
    await run(deployment, link)
  } finally {
    await deployment.stop()
    link.close()
  }
}

const putAll = async (deployment: RouteDeployment, documents: readonly TestDocument[]): Promise<void> => {
  for (const document of documents) {
    await waitFor(async () => (await deployment.operate('PUT', '/v1/routing', JSON.stringify(document))).status === 200, `version ${document.version} taken`)
  }
}

test('several large documents in quick succession send less than one full copy over a slow link, and do not delay a deregistration', () => withSlowLink(async (deployment, link) => {
  await deployment.putDocument(composeDocument(12))
  const endpoint = await deployment.addEndpoint('desk')
  const bytesBefore = link.forwardedBytes
  await putAll(deployment, [composeLarge(14, 1400), composeLarge(15, 1399), composeLarge(16, 1400), composeLarge(17, 1398)])
  await deployment.operate('DELETE', `/v1/endpoints/${endpoint.id}`)
  await waitFor(() => deployment.gateways[0].fleet.findView(endpoint.id as never) === undefined, 'the endpoint removed')
  const documentBytes = JSON.stringify(composeLarge(17, 1398)).length
  const bytesUntilGone = link.forwardedBytes - bytesBefore
  await waitFor(() => deployment.gateways[0].table?.version === 17 && link.isIdle, 'the newest document active, and the link idle')
  const bytesUntilActive = link.forwardedBytes - bytesBefore
  assert.ok(bytesUntilGone < documentBytes && bytesUntilActive < documentBytes, `${bytesUntilGone} and ${bytesUntilActive} bytes for documents of ${documentBytes}`)
}))
