import type { EndpointView } from './endpoint-view.js'
import type { DedicatedCount } from './dedicated-count.js'
import type { UsableEndpoints } from './usable-endpoints.js'

/** How long a snapshot is reused, ms: computing it costs more than a choice. */
export const snapshotTtlMs = 8

/** The usable endpoints of a service and which of them are dedicated, at one time. */
export interface ServiceSnapshot extends UsableEndpoints {
  readonly at: number
  /** Engines in the order in which they are dedicated; empty for a plain service. */
  readonly dedicationOrder: readonly EndpointView[]
  readonly counts: DedicatedCount
  /** Level of the most urgent kind whose requests wait so long that most are late; Infinity if there is none, null until computed. */
  overloadedLevel: number | null
  /** Fraction of each kind's requests that the engines can read, by level; empty if kinds are not limited, null until computed. */
  kindShares: ReadonlyMap<number, number> | null
}

/** For a plain service, or one without a usable engine. */
export const noneDedicated: DedicatedCount = { count: 0, base: 0 }
