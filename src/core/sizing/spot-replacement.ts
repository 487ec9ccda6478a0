/**
 * The replacement of on-demand endpoints by spot endpoints. Answers the first start of a deployment, at which all endpoints
 * run on demand: spot endpoints that are all ordered at once become ready together, so that both kinds run for seconds.
 *
 * Spot endpoints that only replace others are ordered in batches, one zone at a time. On-demand endpoints of a zone
 * are released as spot endpoints of it become ready, as far as the required number serves without them.
 */
import type { ZoneName } from '../ids.js'
import type { RequiredEndpoints } from './required-endpoints.js'

/** The target of one group, while it is computed. */
export interface GroupPlan {
  readonly zone: { readonly zone: ZoneName }
  readonly isSpot: boolean
  readonly price: number
  readonly serving: number
  /** Endpoints that serve or that were recently ordered. */
  readonly present: number
  readonly isClosed: boolean
  /** The count that the load needs. */
  readonly needed: number
  /** The count to order. */
  count: number
}

/** The largest batch as a fraction of the required number: both kinds together exceed that number by at most this much and the reserve for the loss of a zone. */
const batchShare = 1 / 6
/** Time between two batches, ms: about the time until the endpoints that the previous one replaces are released. */
const batchIntervalMs = 1000

export class SpotReplacement {
  #lastBatchAt = -Infinity
  #ordered = new Map<ZoneName, number>()

  /** Lowers the targets of spot endpoints to those that should be ordered by now. Until `batchesFrom`, only endpoints that the load needs are ordered. */
  limitBatch (groups: readonly GroupPlan[], { count }: RequiredEndpoints, at: number, batchesFrom: number): void {
    const spot = groups.filter(({ isSpot }) => isSpot).toSorted((a, b) => a.price - b.price)
    const onDemand = groups.filter(({ isSpot }) => !isSpot)
    if (spot.length === 0) return
    if (!onDemand.some(isReplaced)) {
      for (const group of spot) this.#ordered.set(group.zone.zone, group.isClosed ? group.present : group.count)
      return
    }
    const limits = new Map(spot.map(group => [group, group.isClosed ? group.present : Math.min(group.count, Math.max(group.present, this.#ordered.get(group.zone.zone) ?? 0))]))
    const planned = [...onDemand.map(group => group.serving), ...limits.values()].reduce((sum, one) => sum + one, 0)
    let missing = Math.max(0, count - planned)
    for (const group of spot) {
      const limit = limits.get(group) ?? 0
      const added = group.isClosed ? 0 : Math.min(missing, Math.max(0, group.count - limit))
      limits.set(group, limit + added)
      missing -= added
    }
    const next = spot.find(group => !group.isClosed && group.count > (limits.get(group) ?? 0))
    if (next !== undefined && at >= batchesFrom && at - this.#lastBatchAt >= batchIntervalMs) {
      limits.set(next, (limits.get(next) ?? 0) + sizeBatch(next.count - (limits.get(next) ?? 0), count))
      this.#lastBatchAt = at
    }
    for (const group of spot) {
      const limit = limits.get(group) ?? 0
      this.#ordered.set(group.zone.zone, limit)
      group.count = Math.min(group.count, limit)
    }
  }
}

// Batches of a zone are of about the same size, so that none is ordered for a single endpoint.
function sizeBatch (missing: number, required: number): number {
  return Math.ceil(missing / Math.ceil(missing / Math.max(1, Math.floor(required * batchShare))))
}

/** True for on-demand endpoints more of which serve than are needed. */
export function isReplaced ({ isSpot, serving, needed }: GroupPlan): boolean { return !isSpot && serving > needed }

/** True if an order of the group would change nothing while on-demand endpoints are replaced: it would cost a call, and cut endpoints that a previous holder ordered and that still boot. */
export function isUnchanged (group: GroupPlan, groups: readonly GroupPlan[]): boolean {
  if (group.isSpot) return group.count < group.needed && group.count === group.present && groups.some(isReplaced)
  return isReplaced(group) && group.count === group.serving && groups.some(({ isSpot }) => isSpot)
}

/** Raises targets below the serving number as far as fewer than required would serve otherwise; the most expensive are released first. */
export function keepServing (groups: readonly GroupPlan[], { count }: RequiredEndpoints): void {
  let surplus = Math.max(0, groups.reduce((sum, { serving }) => sum + serving, 0) - count)
  for (const group of groups.toSorted((a, b) => b.price - a.price)) {
    const spot = groups.find(one => one.isSpot && !group.isSpot && one.zone.zone === group.zone.zone)
    const excess = spot === undefined ? Infinity : Math.max(0, group.serving + spot.serving - group.needed - (spot.isClosed ? Math.min(spot.needed, spot.present) : spot.needed))
    const released = Math.min(Math.max(0, group.serving - group.count), surplus, excess)
    surplus -= released
    group.count = Math.max(group.count, group.serving - released)
  }
}
