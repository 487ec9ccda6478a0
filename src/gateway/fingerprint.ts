import { createHash } from 'node:crypto'
import { brandId } from '../core/index.js'
import type { Fingerprint } from '../core/index.js'
import type { Order } from './order.js'

/** Bytes of a digest that are kept: among a million requests two are taken for one with a chance of one in 10^16. */
const keptBytes = 12

/** What makes two arrivals the same request, whatever their ids: the method, the address, the caller and the body. */
export function computeFingerprint ({ method, host, url, workspace, body }: Pick<Order, 'method' | 'host' | 'url' | 'workspace' | 'body'>): Fingerprint {
  const address = JSON.stringify([method, host, url, workspace?.name ?? null])
  const digest = createHash('sha256').update(address).update(body).digest()
  return brandId(digest.subarray(0, keptBytes).toString('base64url'))
}
