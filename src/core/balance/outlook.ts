import type { EndpointView } from './endpoint-view.js'
import type { ApartCount } from './reading-share.js'

/** For so long it is not worked out anew which endpoints may be used and how they are parted, ms: it costs more than a choice. */
export const outlookMs = 8

/** Which endpoints of a service may be used, and how they are parted. */
export interface Outlook {
  readonly at: number
  readonly usable: readonly EndpointView[]
  /** Engines in the order in which they are set apart; none of a plain service. */
  readonly apart: readonly EndpointView[]
  readonly counts: ApartCount
  /** The most urgent kind whose requests wait so long that most are late, by its level; Infinity for none, null until it was looked for. */
  pressed: number | null
  /** Fraction of each kind's requests that the engines can read, by level; empty if kinds are not limited, null until computed. */
  kindShares: ReadonlyMap<number, number> | null
}

/** Of a plain service, or one without an engine that may be used. */
export const noneApart: ApartCount = { count: 0, base: 0 }
