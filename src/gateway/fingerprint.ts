import { createHash } from 'node:crypto'
import { brandId } from '../core/index.js'
import type { Fingerprint } from '../core/index.js'
import type { Order } from './order.js'

/** Bytes of a digest that are kept: that any two of a million requests are taken for one has a chance below one in 10^16. */
const fingerprintBytes = 12

/** Digests of requests that are under way: some look at theirs several times, and a large body takes tens of µs. */
const fingerprints = new WeakMap<Order, Fingerprint>()

/** What makes two arrivals the same request, whatever their ids: the method, the address, the caller and the body. */
export function identifyRequest (order: Order): Fingerprint {
  const fingerprint = fingerprints.get(order) ?? computeFingerprint(order)
  fingerprints.set(order, fingerprint)
  return fingerprint
}

function computeFingerprint ({ method, host, url, workspace, body }: Order): Fingerprint {
  const address = JSON.stringify([method, host, url, workspace?.name ?? null])
  const digest = createHash('sha256').update(address).update(body).digest()
  return brandId(digest.subarray(0, fingerprintBytes).toString('base64url'))
}
