import type { EndpointView } from './endpoint-view.js'
import type { DedicatedCount } from './dedicated-count.js'

/** For so long it is not worked out anew which endpoints may be used and how they are parted, ms: it costs more than a choice. */
export const snapshotTtlMs = 8

/** Which endpoints of a service may be used, and how they are parted. */
export interface ServiceSnapshot {
  readonly at: number
  readonly usable: readonly EndpointView[]
  /** Engines in the order in which they are set apart; none of a plain service. */
  readonly dedicationOrder: readonly EndpointView[]
  readonly counts: DedicatedCount
  /** The most urgent kind whose requests wait so long that most are late, by its level; Infinity for none, null until it was looked for. */
  overloadedLevel: number | null
  /** Fraction of each kind's requests that the engines can read, by level; empty if kinds are not limited, null until computed. */
  kindShares: ReadonlyMap<number, number> | null
}

/** Of a plain service, or one without an engine that may be used. */
export const noneDedicated: DedicatedCount = { count: 0, base: 0 }
