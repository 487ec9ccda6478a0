/**
 * The duty of ordering endpoints: what is wanted is told group by group, when it
 * has changed, or when what there is stays short of it. Orders name whole
 * numbers, so one that is told twice, or by the next holder, changes nothing.
 */
import { SizePlanner } from '../core/index.js'
import type { EndpointRecord, GroupWish, LoadTotals, RoutedService, ServiceName, SizingSight, ZoneName, ZoneSight } from '../core/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyCallResult } from './duty-client.js'
import { describeResult } from './usage-reporter.js'

/** What the orders need of their box. */
export interface EndpointScalerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  now (): number
  /** The services of the document in force; none before the first. */
  listServices (): readonly RoutedService[]
  listRecords (): readonly EndpointRecord[]
  /** The work at all endpoints, as this box's hub has it. */
  sumLoads (): LoadTotals
}

/** What was last told of a group. */
interface SentOrder {
  count: number
  sentAt: number
  /** True where the other side took it. */
  isAccepted: boolean
  isPending: boolean
}

/** How often it is worked out what is wanted, ms. */
const planIntervalMs = 500
/** After the other side refused, or didn't answer, it is told again after so long, ms: what was taken away may be had again after some seconds. */
const retryIntervalMs = 1000
/** A smaller number is told no sooner after the last, ms: what is sent back takes seconds to come again. */
const scaleDownIntervalMs = 3000
/** What is still short of the number so long beyond the time that endpoints take to start is told again, ms. */
const bootGraceMs = 1500

export class EndpointScaler {
  #host: EndpointScalerHost
  #planners = new Map<ServiceName, SizePlanner>()
  #lastOrders = new Map<string, SentOrder>()
  #plannedAt = -Infinity

  constructor (host: EndpointScalerHost) {
    this.#host = host
  }

  /** Tells what is due; to be called a few times a second by the holder alone. */
  step (call: (call: DutyCall) => Promise<DutyCallResult>): void {
    const at = this.#host.now()
    if (at - this.#plannedAt < planIntervalMs) return
    this.#plannedAt = at
    const loads = this.#host.sumLoads()
    for (const service of this.#host.listServices()) {
      const observed = this.#observe(service, loads, at)
      if (observed === null) continue
      for (const wish of this.#findPlanner(service.name).plan(observed)) this.#sendIfDue(wish, observed, call)
    }
  }

  /** Forgets what was told: another may have told otherwise since. */
  reset (): void {
    this.#lastOrders.clear()
    this.#planners.clear()
  }

  #findPlanner (service: ServiceName): SizePlanner {
    const planner = this.#planners.get(service) ?? new SizePlanner(service)
    this.#planners.set(service, planner)
    return planner
  }

  #observe ({ name, sizing, engine }: RoutedService, loads: LoadTotals, at: number): SizingSight | null {
    if (sizing === null) return null
    const records = this.#host.listRecords().filter(({ service }) => service === name)
    if (records.length === 0) return null
    const ids = new Set(records.map(({ id }) => id))
    const running = loads.loads.reduce((sum, load) => ids.has(load.endpoint) ? sum + load.running : sum, 0)
    const demand = loads.demands.find(({ service }) => service === name)
    const heldTokens = demand?.held.reduce((sum, [, tokens]) => sum + tokens, 0) ?? 0
    const rate = (demand?.patient ?? 0) + (demand?.brisk ?? 0)
    return { at, sizing, slots: engine?.slots ?? Math.max(...records.map(({ slots }) => slots)), zones: countByZone(records), running, heldMs: rate === 0 ? 0 : heldTokens / rate * 1000 }
  }

  #sendIfDue (wish: GroupWish, observed: SizingSight, call: (call: DutyCall) => Promise<DutyCallResult>): void {
    const key = `${wish.service} ${wish.zone} ${wish.isSpot}`
    const last = this.#lastOrders.get(key)
    if (last !== undefined && !isDue(last, wish, observed)) return
    const next: SentOrder = { count: wish.count, sentAt: observed.at, isAccepted: false, isPending: true }
    this.#lastOrders.set(key, next)
    void this.#send(wish, next, call)
  }

  async #send (wish: GroupWish, order: SentOrder, call: (call: DutyCall) => Promise<DutyCallResult>): Promise<void> {
    const { service, zone, isSpot, count, why } = wish
    const result = await call({ type: 'order-endpoints', service, zone, isSpot, count })
    order.isPending = false
    order.isAccepted = result.type === 'answered' && result.status >= 200 && result.status < 300
    const fields = { service, zone, kind: isSpot ? 'spot' : 'ordinary', count, why, end: describeResult(result) }
    if (order.isAccepted) this.#host.log.info('endpoints-ordered', fields)
    else this.#host.log.warn('endpoints-not-ordered', fields)
    this.#host.metrics.count('endpoint-orders', { end: describeResult(result) })
  }
}

function isDue (last: SentOrder, wish: GroupWish, { at, sizing, zones }: SizingSight): boolean {
  if (last.isPending) return false
  const sinceMs = at - last.sentAt
  if (!last.isAccepted) return sinceMs >= retryIntervalMs
  if (wish.count > last.count) return true
  if (wish.count < last.count) return sinceMs >= scaleDownIntervalMs
  const counts = zones.find(({ zone }) => zone === wish.zone)
  const current = (wish.isSpot ? counts?.spot : counts?.ordinary) ?? 0
  return current < wish.count && sinceMs >= sizing.bootMs + bootGraceMs
}

function countByZone (records: readonly EndpointRecord[]): ZoneSight[] {
  const zones = new Map<ZoneName, { ordinary: number, spot: number }>()
  for (const { zone, stage, isSpot } of records) {
    const counts = zones.get(zone) ?? { ordinary: 0, spot: 0 }
    zones.set(zone, counts)
    if (stage !== 'ready') continue
    if (isSpot === true) counts.spot += 1
    else counts.ordinary += 1
  }
  return [...zones].map(([zone, counts]) => ({ zone, ...counts })).sort((a, b) => a.zone < b.zone ? -1 : 1)
}
