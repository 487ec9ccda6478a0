/**
 * The replacement of on-demand endpoints by spot endpoints. Answers the first start of a deployment, at which all endpoints
 * run on demand: those of a zone are released as spot endpoints of it become ready, as far as the required number serves
 * without them.
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

/** True for on-demand endpoints more of which serve than are needed. */
export function isReplaced ({ isSpot, serving, needed }: GroupPlan): boolean { return !isSpot && serving > needed }

/** True if an order of the group would change nothing while on-demand endpoints are replaced: it would cost a call. */
export function isUnchanged (group: GroupPlan, groups: readonly GroupPlan[]): boolean {
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
