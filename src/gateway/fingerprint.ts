import { createHash } from 'node:crypto'
import { brandId, composePartKey } from '../core/index.js'
import type { Fingerprint, KeyedWorkspace, Route, StreamKey } from '../core/index.js'
import type { AdmittedRequest } from './admitted-request.js'

/** Length of a fingerprint, bytes: the chance that any two of a million requests collide is below 1 in 10^16. */
const fingerprintBytes = 12

/** Parts of one prompt that are watched; further ones are ignored. */
const maxParts = 16

/** Fingerprints of requests in progress: some are needed several times, and hashing a large body takes tens of µs. */
const fingerprints = new WeakMap<AdmittedRequest, Fingerprint>()

/** Identifies repeated arrivals of a request, whatever their ids, by its method, address, workspace and body. */
export function identifyRequest (request: AdmittedRequest): Fingerprint {
  const fingerprint = fingerprints.get(request) ?? computeFingerprint(request)
  fingerprints.set(request, fingerprint)
  return fingerprint
}

/** Keys of the parts of requests in progress. */
const partKeys = new WeakMap<AdmittedRequest, readonly Fingerprint[]>()

/** Identifies the parts of a request's prompt that others may share: all but the last, which is its own. */
export function identifyParts (request: AdmittedRequest): readonly Fingerprint[] {
  const { cost } = request.work
  if (cost === null || cost.parts.length < 2) return []
  const known = partKeys.get(request)
  if (known !== undefined) return known
  const digests = new Set(cost.parts.slice(0, -1).map(({ id }) => createHash('sha256').update(id).digest().subarray(0, fingerprintBytes).toString('base64url')))
  const keys = [...digests].slice(0, maxParts).map(composePartKey)
  partKeys.set(request, keys)
  return keys
}

function computeFingerprint ({ method, host, url, workspace, body }: AdmittedRequest): Fingerprint {
  const address = JSON.stringify([method, host, url, workspace?.name ?? null])
  const digest = createHash('sha256').update(address).update(body).digest()
  return brandId(digest.subarray(0, fingerprintBytes).toString('base64url'))
}

/** Length of a stream's key, bytes: they are many, and each is sent to two registries. */
const streamKeyBytes = 9

/** Identifies a stream by the request that received its first event. */
export function identifyStream (workspace: KeyedWorkspace | null, route: Route, requestId: string): StreamKey {
  const digest = createHash('sha256').update(JSON.stringify([workspace?.name ?? null, route.name, requestId])).digest()
  return brandId(digest.subarray(0, streamKeyBytes).toString('base64url'))
}
