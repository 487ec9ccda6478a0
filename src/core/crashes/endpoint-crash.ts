/**
 * A report of an endpoint that terminated without notice, and of the requests that
 * were running there. Any box may send it, repeatedly and in any order: merging
 * reports is commutative and idempotent.
 */
import type { EndpointId, Fingerprint, ServiceName } from '../ids.js'

/**
 * A request that was running at an endpoint when it crashed, and for how long, ms;
 * null once it has been answered elsewhere, as it was then not the cause.
 */
export type CrashedRun = readonly [fingerprint: Fingerprint, ms: number | null]

/** The crash of one run of an endpoint process. */
export interface EndpointCrash {
  readonly endpoint: EndpointId
  /** Start time of the process, Unix ms; 0 if the endpoint does not report it. */
  readonly born: number
  readonly service: ServiceName
  /** Version of its software; empty if the endpoint does not report it. */
  readonly software: string
  /** Time since the crash was detected, ms. Relative, as the clocks of boxes differ. */
  readonly ageMs: number
  readonly runs: readonly CrashedRun[]
}
