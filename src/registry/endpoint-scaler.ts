/**
 * The duty of ordering endpoints: sends the target size of each group when it
 * changes, or when the actual size stays below it. Orders are idempotent, as they
 * state absolute counts: one sent twice, or by the next holder, changes nothing.
 * Where the measures against contention are on, targets follow price and
 * availability, and orders without an answer are repeated at increasing intervals.
 */
import { PricePlanner, SizePlanner } from '../core/index.js'
import type { ContentionSwitch, EndpointRecord, LoadTotals, PricedTarget, RoutedService, ServiceName, SizingInput, ZoneName, ZoneEndpoints } from '../core/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyCallResult } from './duty-client.js'
import { addPricedInput } from './priced-input.js'
import { describeResult } from './usage-reporter.js'

/** What the scaler needs of its box. */
export interface EndpointScalerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly contention: ContentionSwitch
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
  readonly calledAt: number
  /** When it was sent, or by price when it was accepted. */
  sentAt: number
  /** True once the platform has accepted it. */
  isAccepted: boolean
  isPending: boolean
  /** Orders of the group in a row that were not accepted. */
  failures: number
}

/** How often target sizes are computed, ms. */
const planIntervalMs = 500
/** Delay before an order that was refused or not answered is sent again, ms: capacity that was reclaimed may be available again within seconds. */
const retryIntervalMs = 1000
/** The longest such delay by price, ms; it doubles with each failure, as a silent platform is not helped by more calls. */
const maxRetryIntervalMs = 4000
/** The status with which the platform tells that there are no endpoints of a group. */
const unavailableStatus = 409
/** Minimum time between an order and a smaller one, ms: an endpoint that is returned takes seconds to replace. */
const scaleDownIntervalMs = 3000
/** The same for endpoints that are replaced by others, ms: their replacements serve already, and one call covers those of a second. */
const replaceIntervalMs = 1000
/** An order that is still not filled this long after the boot time of endpoints is sent again, ms. */
const bootGraceMs = 1500

export class EndpointScaler {
  #host: EndpointScalerHost
  #planners = new Map<ServiceName, SizePlanner>()
  #pricePlanners = new Map<ServiceName, PricePlanner>()
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
      for (const target of this.#plan(service, observed, loads)) this.#sendIfDue(target, observed, call)
    }
  }

  /** Clears the state: another holder may have sent different orders since. */
  reset (): void {
    this.#lastOrders.clear()
    this.#planners.clear()
    this.#pricePlanners.clear()
  }

  #plan (service: RoutedService, observed: SizingInput, loads: LoadTotals): PricedTarget[] {
    if (!this.#host.contention.isOn) return this.#findPlanner(service.name).plan(observed)
    const planner = this.#pricePlanners.get(service.name) ?? new PricePlanner(service.name)
    this.#pricePlanners.set(service.name, planner)
    const records = this.#host.listRecords().filter(record => record.service === service.name)
    const targets = planner.plan(addPricedInput(observed, service, records, loads))
    for (const { zone, isSpot, reason, retryMs } of planner.takeUnavailable()) this.#host.log.warn('zone-unavailable', { service: service.name, zone, kind: describeKind(isSpot), why: reason, retryMs })
    return targets
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

  #sendIfDue (target: PricedTarget, observed: SizingInput, call: (call: DutyCall) => Promise<DutyCallResult>): void {
    const key = `${target.service} ${target.zone} ${target.isSpot}`
    const last = this.#lastOrders.get(key)
    if (last !== undefined && !isDue(last, target, observed, this.#findRetryInterval(last))) return
    const next: SentOrder = { count: target.count, calledAt: observed.at, sentAt: observed.at, isAccepted: false, isPending: true, failures: last?.failures ?? 0 }
    this.#lastOrders.set(key, next)
    void this.#send(target, next, call)
  }

  #findRetryInterval ({ failures }: SentOrder): number {
    return this.#host.contention.isOn ? Math.min(maxRetryIntervalMs, retryIntervalMs * 2 ** Math.max(0, failures - 1)) : retryIntervalMs
  }

  async #send (target: PricedTarget, order: SentOrder, call: (call: DutyCall) => Promise<DutyCallResult>): Promise<void> {
    const { service, zone, isSpot, count, why } = target
    const result = await call({ type: 'order-endpoints', service, zone, isSpot, count })
    order.isPending = false
    order.isAccepted = result.type === 'answered' && result.status >= 200 && result.status < 300
    order.failures = order.isAccepted ? 0 : order.failures + 1
    // Endpoints boot from the answer of a slow platform on.
    if (order.isAccepted && this.#host.contention.isOn) order.sentAt = this.#host.now()
    if (order.isAccepted) this.#pricePlanners.get(service)?.noteAccepted(target, this.#host.now())
    else if (result.type === 'answered' && result.status === unavailableStatus) this.#pricePlanners.get(service)?.noteRefused(target, this.#host.now())
    const fields = { service, zone, kind: describeKind(isSpot), count, why, end: describeResult(result) }
    if (order.isAccepted) this.#host.log.info('endpoints-ordered', fields)
    else this.#host.log.warn('endpoints-not-ordered', fields)
    this.#host.metrics.count('endpoint-orders', { end: describeResult(result) })
  }
}

function describeKind (isSpot: boolean): string { return isSpot ? 'spot' : 'ordinary' }

function isDue (last: SentOrder, target: PricedTarget, { at, sizing, zones }: SizingInput, retryMs: number): boolean {
  if (last.isPending) return false
  const sinceMs = at - last.sentAt
  if (!last.isAccepted) return sinceMs >= retryMs
  if (target.count > last.count) return true
  if (target.count < last.count) return target.isReplaced === true ? at - last.calledAt >= replaceIntervalMs : sinceMs >= scaleDownIntervalMs
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
