/**
 * Divides endpoints among zones by price. Answers zones whose prices differ by up to half, and the loss of all spot
 * endpoints of one zone: no zone gets more than leaves enough without it, so a larger total in cheap zones may cost
 * less than the smallest one.
 */
import type { ZoneName } from '../ids.js'
import type { RequiredEndpoints } from './required-endpoints.js'

export interface ZoneOffer {
  readonly zone: ZoneName
  /** Price of one endpoint. */
  readonly price: number
  /** Bounds on the number of endpoints; equal where none can be ordered now. */
  readonly min: number
  readonly max: number
}

/**
 * The cheapest counts by zone that satisfy the requirement. If none do, the required count as evenly as possible, or all
 * that the bounds allow. `fixed`: endpoints beside these that serve in any case.
 */
export function divideAmongZones (offers: readonly ZoneOffer[], fixed: number, required: RequiredEndpoints): ReadonlyMap<ZoneName, number> {
  const byPrice = offers.toSorted((a, b) => a.price - b.price || (a.zone < b.zone ? -1 : 1))
  const largest = offers.reduce((sum, { max }) => sum + max, fixed)
  let best: { counts: ReadonlyMap<ZoneName, number>, cost: number } | null = null
  for (let total = Math.max(required.count, fixed); total <= largest; total++) {
    const counts = fillZones(byPrice, total - fixed, total - required.remaining)
    if (counts === null) continue
    const cost = byPrice.reduce((sum, { zone, price }) => sum + price * (counts.get(zone) ?? 0), 0)
    if (best === null || cost < best.cost) best = { counts, cost }
  }
  return best?.counts ?? divideEvenly(byPrice, Math.min(largest, Math.max(required.count, fixed)) - fixed)
}

function divideEvenly (byPrice: readonly ZoneOffer[], total: number): ReadonlyMap<ZoneName, number> {
  let counts: ReadonlyMap<ZoneName, number> | null = null
  for (let mostPerZone = 0; counts === null; mostPerZone++) counts = fillZones(byPrice, total, mostPerZone)
  return counts
}

// Null if the zones can't take the total with at most `mostPerZone` in each.
function fillZones (byPrice: readonly ZoneOffer[], total: number, mostPerZone: number): ReadonlyMap<ZoneName, number> | null {
  const counts = new Map(byPrice.map(({ zone, min }) => [zone, min]))
  let left = total - byPrice.reduce((sum, { min }) => sum + min, 0)
  for (const { zone, min, max } of byPrice) {
    const added = Math.max(0, Math.min(left, Math.min(max, mostPerZone) - min))
    counts.set(zone, min + added)
    left -= added
  }
  return left > 0 ? null : counts
}
