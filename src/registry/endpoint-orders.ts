/**
 * The duty of ordering endpoints: what is wanted is told group by group, when it
 * has changed, or when what there is stays short of it. Orders name whole
 * numbers, so one that is told twice, or by the next holder, changes nothing.
 */
import { SizePlanner } from '../core/index.js'
import type { EndpointRecord, GroupWish, LoadTotals, RoutedService, ServiceName, SizingSight, ZoneName, ZoneSight } from '../core/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyEnd } from './duty-caller.js'
import { describeEnd } from './usage-reporter.js'

/** What the orders need of their box. */
export interface EndpointOrdersHost {
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
interface Told {
  count: number
  at: number
  /** True where the other side took it. */
  isTaken: boolean
  isUnderWay: boolean
}

/** How often it is worked out what is wanted, ms. */
const planMs = 500
/** After the other side refused, or didn't answer, it is told again after so long, ms: what was taken away may be had again after some seconds. */
const againMs = 1000
/** A smaller number is told no sooner after the last, ms: what is sent back takes seconds to come again. */
const lessMs = 3000
/** What is still short of the number so long beyond the time that endpoints take to start is told again, ms. */
const shortMs = 1500

export class EndpointOrders {
  #host: EndpointOrdersHost
  #planners = new Map<ServiceName, SizePlanner>()
  #told = new Map<string, Told>()
  #plannedAt = -Infinity

  constructor (host: EndpointOrdersHost) {
    this.#host = host
  }

  /** Tells what is due; to be called a few times a second by the holder alone. */
  step (call: (call: DutyCall) => Promise<DutyEnd>): void {
    const at = this.#host.now()
    if (at - this.#plannedAt < planMs) return
    this.#plannedAt = at
    const loads = this.#host.sumLoads()
    for (const service of this.#host.listServices()) {
      const sight = this.#look(service, loads, at)
      if (sight === null) continue
      for (const wish of this.#open(service.name).plan(sight)) this.#follow(wish, sight, call)
    }
  }

  /** Forgets what was told: another may have told otherwise since. */
  reset (): void {
    this.#told.clear()
    this.#planners.clear()
  }

  #open (service: ServiceName): SizePlanner {
    const planner = this.#planners.get(service) ?? new SizePlanner(service)
    this.#planners.set(service, planner)
    return planner
  }

  #look ({ name, sizing, engine }: RoutedService, loads: LoadTotals, at: number): SizingSight | null {
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

  #follow (wish: GroupWish, sight: SizingSight, call: (call: DutyCall) => Promise<DutyEnd>): void {
    const key = `${wish.service} ${wish.zone} ${wish.isSpot}`
    const told = this.#told.get(key)
    if (told !== undefined && !isDue(told, wish, sight)) return
    const next: Told = { count: wish.count, at: sight.at, isTaken: false, isUnderWay: true }
    this.#told.set(key, next)
    void this.#order(wish, next, call)
  }

  async #order (wish: GroupWish, told: Told, call: (call: DutyCall) => Promise<DutyEnd>): Promise<void> {
    const { service, zone, isSpot, count, why } = wish
    const end = await call({ type: 'order-endpoints', service, zone, isSpot, count })
    told.isUnderWay = false
    told.isTaken = end.type === 'answered' && end.status >= 200 && end.status < 300
    const fields = { service, zone, kind: isSpot ? 'spot' : 'ordinary', count, why, end: describeEnd(end) }
    if (told.isTaken) this.#host.log.info('endpoints-ordered', fields)
    else this.#host.log.warn('endpoints-not-ordered', fields)
    this.#host.metrics.count('endpoint-orders', { end: describeEnd(end) })
  }
}

function isDue (told: Told, wish: GroupWish, { at, sizing, zones }: SizingSight): boolean {
  if (told.isUnderWay) return false
  const sinceMs = at - told.at
  if (!told.isTaken) return sinceMs >= againMs
  if (wish.count > told.count) return true
  if (wish.count < told.count) return sinceMs >= lessMs
  const sight = zones.find(({ zone }) => zone === wish.zone)
  const have = (wish.isSpot ? sight?.spot : sight?.ordinary) ?? 0
  return have < wish.count && sinceMs >= sizing.bootMs + shortMs
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
