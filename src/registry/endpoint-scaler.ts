/**
 * The duty of ordering endpoints: sends the target size of each group when it
 * changes, or when the actual size stays below it. Orders are idempotent, as they
 * state absolute counts: one sent twice, or by the next holder, changes nothing.
 */
import { SizePlanner } from '../core/index.js'
import type { EndpointRecord, GroupTarget, LoadTotals, RoutedService, ServiceName, SizingInput, ZoneName, ZoneEndpoints } from '../core/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyCallResult } from './duty-client.js'
import { describeResult } from './usage-reporter.js'

/** What the scaler needs of its box. */
export interface EndpointScalerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  now (): number
  /** The services of the active document; empty before the first. */
  listServices (): readonly RoutedService[]
  listRecords (): readonly EndpointRecord[]
  /** The load of all endpoints, as known to this box's hub. */
  sumLoads (): LoadTotals
}

/** The last order sent for a group. */
interface SentOrder {
  count: number
  sentAt: number
  /** True once the platform has accepted it. */
  isAccepted: boolean
  isPending: boolean
}

/** How often target sizes are computed, ms. */
const planIntervalMs = 500
/** Delay before an order that was refused or not answered is sent again, ms: capacity that was reclaimed may be available again within seconds. */
const retryIntervalMs = 1000
/** Minimum time between an order and a smaller one, ms: an endpoint that is returned takes seconds to replace. */
const scaleDownIntervalMs = 3000
/** An order that is still not filled this long after the boot time of endpoints is sent again, ms. */
const bootGraceMs = 1500

export class EndpointScaler {
  #host: EndpointScalerHost
  #planners = new Map<ServiceName, SizePlanner>()
  #lastOrders = new Map<string, SentOrder>()
  #plannedAt = -Infinity

  constructor (host: EndpointScalerHost) {
    this.#host = host
  }

  /** Sends the orders that are due. Only the lease holder calls this, a few times a second. */
  step (call: (call: DutyCall) => Promise<DutyCallResult>): void {
    const at = this.#host.now()
    if (at - this.#plannedAt < planIntervalMs) return
    this.#plannedAt = at
    const loads = this.#host.sumLoads()
    for (const service of this.#host.listServices()) {
      const observed = this.#observe(service, loads, at)
      if (observed === null) continue
      for (const target of this.#findPlanner(service.name).plan(observed)) this.#sendIfDue(target, observed, call)
    }
  }

  /** Clears the state: another holder may have sent different orders since. */
  reset (): void {
    this.#lastOrders.clear()
    this.#planners.clear()
  }

  #findPlanner (service: ServiceName): SizePlanner {
    const planner = this.#planners.get(service) ?? new SizePlanner(service)
    this.#planners.set(service, planner)
    return planner
  }

  #observe ({ name, sizing, engine }: RoutedService, loads: LoadTotals, at: number): SizingInput | null {
    if (sizing === null) return null
    const records = this.#host.listRecords().filter(({ service }) => service === name)
    if (records.length === 0) return null
    const ids = new Set(records.map(({ id }) => id))
    const running = loads.loads.reduce((sum, load) => ids.has(load.endpoint) ? sum + load.running : sum, 0)
    const demand = loads.demands.find(({ service }) => service === name)
    const queuedTokens = demand?.held.reduce((sum, [, tokens]) => sum + tokens, 0) ?? 0
    const rate = (demand?.patient ?? 0) + (demand?.brisk ?? 0)
    return { at, sizing, slots: engine?.slots ?? Math.max(...records.map(({ slots }) => slots)), zones: countByZone(records), running, backlogMs: rate === 0 ? 0 : queuedTokens / rate * 1000 }
  }

  #sendIfDue (target: GroupTarget, observed: SizingInput, call: (call: DutyCall) => Promise<DutyCallResult>): void {
    const key = `${target.service} ${target.zone} ${target.isSpot}`
    const last = this.#lastOrders.get(key)
    if (last !== undefined && !isDue(last, target, observed)) return
    const next: SentOrder = { count: target.count, sentAt: observed.at, isAccepted: false, isPending: true }
    this.#lastOrders.set(key, next)
    void this.#send(target, next, call)
  }

  async #send (target: GroupTarget, order: SentOrder, call: (call: DutyCall) => Promise<DutyCallResult>): Promise<void> {
    const { service, zone, isSpot, count, why } = target
    const result = await call({ type: 'order-endpoints', service, zone, isSpot, count })
    order.isPending = false
    order.isAccepted = result.type === 'answered' && result.status >= 200 && result.status < 300
    const fields = { service, zone, kind: isSpot ? 'spot' : 'ordinary', count, why, end: describeResult(result) }
    if (order.isAccepted) this.#host.log.info('endpoints-ordered', fields)
    else this.#host.log.warn('endpoints-not-ordered', fields)
    this.#host.metrics.count('endpoint-orders', { end: describeResult(result) })
  }
}

function isDue (last: SentOrder, target: GroupTarget, { at, sizing, zones }: SizingInput): boolean {
  if (last.isPending) return false
  const sinceMs = at - last.sentAt
  if (!last.isAccepted) return sinceMs >= retryIntervalMs
  if (target.count > last.count) return true
  if (target.count < last.count) return sinceMs >= scaleDownIntervalMs
  const counts = zones.find(({ zone }) => zone === target.zone)
  const current = (target.isSpot ? counts?.spot : counts?.onDemand) ?? 0
  return current < target.count && sinceMs >= sizing.bootMs + bootGraceMs
}

function countByZone (records: readonly EndpointRecord[]): ZoneEndpoints[] {
  const zones = new Map<ZoneName, { onDemand: number, spot: number }>()
  for (const { zone, stage, isSpot } of records) {
    const counts = zones.get(zone) ?? { onDemand: 0, spot: 0 }
    zones.set(zone, counts)
    if (stage !== 'ready') continue
    if (isSpot === true) counts.spot += 1
    else counts.onDemand += 1
  }
  return [...zones].map(([zone, counts]) => ({ zone, ...counts })).sort((a, b) => a.zone < b.zone ? -1 : 1)
}
