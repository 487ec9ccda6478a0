/** Calls that one box makes for all of them at a time, to whoever runs the platform below. */
import type { UsageCounts, UsageWindow } from '../coordination/index.js'
import type { ServiceName, ZoneName } from '../core/index.js'

/** One call of a duty. */
export type DutyCall =
  /** What began in a window, by workspace. */
  | { readonly type: 'report-usage', readonly window: UsageWindow, readonly counts: UsageCounts }
  /** How many endpoints of a service there should be in a zone; those that may be taken back are counted apart. */
  | { readonly type: 'order-endpoints', readonly service: ServiceName, readonly zone: ZoneName, readonly isSpot: boolean, readonly count: number }

/** Who calls, and under which number. */
export interface DutyWords {
  readonly holder: string
  readonly fence: number
}

/** A call as it goes out. */
export interface OutsideCall {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** The names in which a dialect speaks of duties. */
export interface DutyNames {
  /** Headers. */
  readonly holder: string
  readonly fence: string
  /** Paths. */
  readonly usage: string
  readonly orders: string
  composeUsage (window: UsageWindow, counts: UsageCounts): object
  composeOrder (order: Extract<DutyCall, { type: 'order-endpoints' }>): object
}

/** Writes a call out in a dialect's names. */
export function composeDuty (names: DutyNames, call: DutyCall, { holder, fence }: DutyWords): OutsideCall {
  const headers = { 'content-type': 'application/json', [names.holder]: holder, [names.fence]: String(fence) }
  switch (call.type) {
    case 'report-usage': return { method: 'POST', path: names.usage, headers, body: JSON.stringify(names.composeUsage(call.window, call.counts)) }
    case 'order-endpoints': return { method: 'POST', path: names.orders, headers, body: JSON.stringify(names.composeOrder(call)) }
  }
}
