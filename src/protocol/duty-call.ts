/**
 * Calls to the operator of the underlying platform. Each duty is carried out by
 * one box at a time, under a lease with a fencing number.
 */
import type { UsageCounts, UsageWindow } from '../coordination/index.js'
import type { ServiceName, ZoneName } from '../core/index.js'

export type DutyCall =
  /** Reports the requests that began in a window, by workspace. */
  | { readonly type: 'report-usage', readonly window: UsageWindow, readonly counts: UsageCounts }
  /** Sets how many endpoints of a service should run in a zone; preemptible (spot) endpoints are ordered separately. */
  | { readonly type: 'order-endpoints', readonly service: ServiceName, readonly zone: ZoneName, readonly isSpot: boolean, readonly count: number }

/** The lease under which a call is made: the holder's name and its fencing number. */
export interface DutyLease {
  readonly holder: string
  readonly fence: number
}

/** A call as an HTTP request. */
export interface OutgoingRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** A dialect's header names, paths and body formats for duties. */
export interface DutyNames {
  /** Header names. */
  readonly holder: string
  readonly fence: string
  /** Paths. */
  readonly usage: string
  readonly orders: string
  composeUsage (window: UsageWindow, counts: UsageCounts): object
  composeOrder (order: Extract<DutyCall, { type: 'order-endpoints' }>): object
}

/** Formats a call in a dialect's names. */
export function composeDuty (names: DutyNames, call: DutyCall, { holder, fence }: DutyLease): OutgoingRequest {
  const headers = { 'content-type': 'application/json', [names.holder]: holder, [names.fence]: String(fence) }
  switch (call.type) {
    case 'report-usage': return { method: 'POST', path: names.usage, headers, body: JSON.stringify(names.composeUsage(call.window, call.counts)) }
    case 'order-endpoints': return { method: 'POST', path: names.orders, headers, body: JSON.stringify(names.composeOrder(call)) }
  }
}
