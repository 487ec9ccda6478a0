/**
 * What is told of an endpoint that ended without saying so, and of the requests
 * that ran there. Any box may tell it, twice and in any order: what two boxes
 * tell of one end adds up to the same in every box.
 */
import type { EndpointId, Fingerprint, ServiceName } from '../ids.js'

/**
 * A request that ran at an endpoint as it ended, and for how long it had been
 * there, ms; null once it was answered elsewhere: then it was not the cause.
 */
export type EndedRun = readonly [fingerprint: Fingerprint, ms: number | null]

/** The end of one life of an endpoint. */
export interface EndpointEnd {
  readonly endpoint: EndpointId
  /** When that life began, Unix ms; 0 where the endpoint doesn't say. */
  readonly born: number
  readonly service: ServiceName
  /** Version of what it ran; empty where it doesn't say. */
  readonly software: string
  /** How long ago it was seen, ms: no two boxes have the same clock. */
  readonly ageMs: number
  readonly runs: readonly EndedRun[]
}
