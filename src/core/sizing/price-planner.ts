/**
 * Target numbers of endpoints by zone and kind, by price and availability. Answers the worst load of customer F: prices
 * of 1.0, 0.8 and 1.25 by zone, spot endpoints at 0.18 of that, and zones whose spot endpoints are reclaimed together.
 *
 * Spot endpoints serve the load, and one on-demand endpoint runs in each zone for when it is cut off. Further on-demand
 * endpoints are ordered only if spot endpoints can't be had for what must remain after the loss of a zone. Endpoints
 * are released only once enough others serve, so that neither a change of prices nor a zone that becomes available
 * again leaves too few.
 */
import type { ServiceName, ZoneName } from '../ids.js'
import { RequiredEndpointsTracker } from './required-endpoints.js'
import type { LoadInput, RequiredEndpoints } from './required-endpoints.js'
import type { EndpointGroup, GroupTarget, ZoneEndpoints } from './size-planner.js'
import { SlidingMax } from './sliding-max.js'
import { isReplaced, isUnchanged, keepServing } from './spot-replacement.js'
import type { GroupPlan } from './spot-replacement.js'
import { ZoneAvailability } from './zone-availability.js'
import type { UnavailableZone } from './zone-availability.js'
import { divideAmongZones } from './zone-division.js'

export interface PricedZone extends ZoneEndpoints {
  /** Spot endpoints that announced that they leave. */
  readonly leavingSpot: number
}

export interface PricedTarget extends GroupTarget {
  /** True if endpoints of the group are replaced by spot endpoints, so that a lower count need not wait. */
  readonly isReplaced?: boolean
}

export interface PricedInput extends LoadInput {
  readonly zones: readonly PricedZone[]
}

/** On-demand endpoints in each zone, which serve it while it is cut off. */
const onDemandPerZone = 1
/** Time for which a lower target must hold, ms: longer than the longest delay between orders in an unavailable zone, so that each attempt there releases nothing elsewhere. */
const holdMs = 12_000
const holdSteps = 24
/** Time for which a new holder only observes, ms, unless it sees a backlog or nothing that serves: orders of its predecessor are under way. */
const observeMs = 2000
/** Before any load, it observes until no endpoint has registered for this long, ms: an order that counts only a part of the endpoints would return the others. */
const registrationMs = 3000
/** Backlog at which it orders at once, ms. */
const urgentBacklogMs = 500
/** Time within which endpoints may leave because of an order, ms: that of a slow call, and of the endpoints' announcements. */
const releaseMs = 5000
/** Time beyond the boot time for which endpoints of an accepted order count although they have not registered, ms. */
const bootGraceMs = 1500

export class PricePlanner {
  readonly service: ServiceName
  #startedAt: number | null = null
  #mostServing = 0
  #lastRegisteredAt = -Infinity
  #required = new RequiredEndpointsTracker()
  #availability = new ZoneAvailability()
  #held = new Map<string, SlidingMax>()
  /** Recent targets by group. */
  #planned = new Map<string, readonly { readonly at: number, readonly count: number }[]>()
  #present = new Map<string, number>()
  #accepted = new Map<string, { readonly at: number, readonly count: number }>()
  #hasOrdered = false
  /** On-demand endpoints missing for the load. */
  #missing = 0

  constructor (service: ServiceName) {
    this.service = service
  }

  /** The current targets. Groups that should not be asked for endpoints now are left out. */
  plan (input: PricedInput): PricedTarget[] {
    for (const { zone, spot, leavingSpot } of input.zones) {
      const planned = this.#planned.get(formatKey(zone, true))?.map(({ count }) => count) ?? [spot + leavingSpot]
      this.#availability.noteSpot(zone, spot, leavingSpot, Math.min(...planned), input.at)
      if (leavingSpot > 0 && leavingSpot >= spot) this.#accepted.delete(formatKey(zone, true))
    }
    const required = this.#required.update(input)
    const groups = this.#planGroups(input, required)
    if (this.#isObserving(input)) return []
    this.#hasOrdered = true
    this.#required.noteOrdered()
    keepServing(groups, required)
    for (const group of groups) if (group.isSpot) limitSpot(group, groups, input)
    for (const group of groups) this.#present.set(formatGroupKey(group), group.present)
    const why = `${this.#required.describe(input)}:need=${required.count}:remaining=${required.remaining}:missing=${this.#missing}:closed=${groups.filter(({ isClosed }) => isClosed).map(formatGroup).join('+')}`
    // A closed group is asked only to release some of its endpoints.
    return groups.filter(group => group.isClosed ? group.count < group.present : !isUnchanged(group, groups)).map(group => {
      const recent = this.#planned.get(formatGroupKey(group))?.filter(({ at }) => input.at - at <= releaseMs) ?? []
      this.#planned.set(formatGroupKey(group), [...recent, { at: input.at, count: group.count }])
      return { service: this.service, zone: group.zone.zone, isSpot: group.isSpot, count: group.count, ...(input.sizing.spotPrice !== null && isReplaced(group) ? { isReplaced: true } : {}), why: `${why}:price=${group.price.toFixed(3)}` }
    })
  }

  /** Notes that the platform has no endpoints of the group. The refusal of an order that needs no further ones does not show that. */
  noteRefused ({ zone, isSpot, count }: EndpointGroup & { readonly count: number }, at: number): void {
    if (count > (this.#present.get(formatKey(zone, isSpot)) ?? 0)) this.#availability.noteRefused(zone, isSpot, at)
  }

  noteAccepted ({ zone, isSpot, count }: EndpointGroup & { readonly count: number }, at: number): void {
    this.#accepted.set(formatKey(zone, isSpot), { at, count })
    this.#availability.noteAccepted(zone, isSpot, at)
  }

  /** Zones that became unavailable since the last call. */
  takeUnavailable (): UnavailableZone[] { return this.#availability.takeUnreported() }

  #isObserving ({ at, backlogMs, zones }: PricedInput): boolean {
    this.#startedAt ??= at
    const serving = zones.reduce((sum, { spot, onDemand }) => sum + spot + onDemand, 0)
    // Spot endpoints that register after the first orders are those ordered; waiting for them would keep what they replace.
    const registered = this.#hasOrdered ? zones.reduce((sum, { onDemand }) => sum + onDemand, 0) : serving
    if (registered > this.#mostServing) {
      this.#mostServing = registered
      this.#lastRegisteredAt = at
    }
    const isRegistering = this.#required.isIdle && at - this.#lastRegisteredAt < registrationMs
    return (at - this.#startedAt < observeMs || isRegistering) && backlogMs <= urgentBacklogMs && serving > 0
  }

  #isClosed ({ zone }: ZoneEndpoints, isSpot: boolean, { at }: PricedInput): boolean { return this.#availability.isClosed(zone, isSpot, at) }

  #planGroups (input: PricedInput, required: RequiredEndpoints): GroupPlan[] {
    const { sizing: { spotPrice } } = input
    if (spotPrice === null) return input.zones.map(zone => this.#holdCount(zone, false, this.#divide(input, false, required), input))
    const spot = this.#divide(input, true, required)
    const onDemand = this.#planOnDemand(input, spot, required)
    return input.zones.flatMap(zone => [this.#holdCount(zone, true, spot, input), this.#holdCount(zone, false, onDemand, input)])
  }

  // The counts of the kind that serves the load; beside spot endpoints, on-demand ones run in each zone. Unavailable zones
  // change only the counts of the others, and a zone that is asked again gets no more than its usual count, so that it
  // does not become the only one with new endpoints.
  #divide (input: PricedInput, isSpot: boolean, required: RequiredEndpoints): ReadonlyMap<ZoneName, number> {
    const { sizing: { least, most, zonePrices }, zones, at } = input
    const base = Math.min(most, onDemandPerZone)
    const fixed = isSpot ? base : 0
    const min = isSpot ? Math.max(0, least - base) : Math.max(base, least)
    const offers = zones.map(({ zone }) => ({ zone, price: zonePrices.get(zone) ?? 1, min, max: most - fixed }))
    const usual = divideAmongZones(offers, fixed * zones.length, required)
    const available = offers.map((offer, i) => {
      const present = Math.min(offer.max, this.#countPresent(zones[i], isSpot, input))
      if (this.#isClosed(zones[i], isSpot, input)) return { ...offer, min: present, max: present }
      return this.#availability.isTried(offer.zone, isSpot, at) ? { ...offer, max: Math.max(present, usual.get(offer.zone) ?? 0) } : offer
    })
    const divided = divideAmongZones(available, fixed * zones.length, required)
    return new Map(zones.map(zone => [zone.zone, this.#isClosed(zone, isSpot, input) ? divided.get(zone.zone) ?? 0 : Math.max(usual.get(zone.zone) ?? 0, divided.get(zone.zone) ?? 0)]))
  }

  #planOnDemand (input: PricedInput, spot: ReadonlyMap<ZoneName, number>, required: RequiredEndpoints): ReadonlyMap<ZoneName, number> {
    const { sizing: { most, zonePrices }, zones } = input
    const base = Math.min(most, onDemandPerZone)
    const counts = new Map(zones.map(({ zone }) => [zone, base]))
    const serving = zones.reduce((sum, zone) => sum + zone.spot + zone.onDemand, 0)
    const { onDemandFrom } = required
    let missing = serving >= onDemandFrom ? 0 : Math.max(0, onDemandFrom - zones.reduce((sum, { zone }) => sum + base + (spot.get(zone) ?? 0), 0))
    this.#missing = missing
    const byPrice = zones.toSorted((a, b) => (zonePrices.get(a.zone) ?? 1) - (zonePrices.get(b.zone) ?? 1))
    for (const zone of byPrice) {
      if (missing <= 0) break
      if (this.#isClosed(zone, false, input)) continue
      const added = Math.max(0, Math.min(missing, most - base - (spot.get(zone.zone) ?? 0)))
      counts.set(zone.zone, base + added)
      missing -= added
    }
    return counts
  }

  // Endpoints that serve, or that boot after an accepted order.
  #countPresent ({ zone, spot, onDemand }: PricedZone, isSpot: boolean, { at, sizing }: PricedInput): number {
    const accepted = this.#accepted.get(formatKey(zone, isSpot))
    const isBooting = accepted !== undefined && at - accepted.at <= sizing.bootMs + bootGraceMs
    return Math.max(isSpot ? spot : onDemand, isBooting ? accepted.count : 0)
  }

  #holdCount (zone: PricedZone, isSpot: boolean, counts: ReadonlyMap<ZoneName, number>, input: PricedInput): GroupPlan {
    const { at, sizing } = input
    const key = formatKey(zone.zone, isSpot)
    const held = this.#held.get(key) ?? new SlidingMax(holdMs, holdSteps)
    this.#held.set(key, held)
    // A new holder does not know the lower targets of the time before, so it keeps the endpoints that serve the load.
    const serving = isSpot ? zone.spot : zone.onDemand
    const isNew = at - (this.#startedAt ?? at) < observeMs && (isSpot || sizing.spotPrice === null)
    held.add(at, Math.max(counts.get(zone.zone) ?? 0, isNew ? serving : 0))
    const price = (sizing.zonePrices.get(zone.zone) ?? 1) * (isSpot ? sizing.spotPrice ?? 1 : 1)
    return { zone, isSpot, price, serving, present: this.#countPresent(zone, isSpot, input), isClosed: this.#isClosed(zone, isSpot, input), needed: held.max, count: held.max }
  }
}

// The bounds apply to both kinds together, so on-demand endpoints that still serve reduce the spot target.
function limitSpot (group: GroupPlan, groups: readonly GroupPlan[], { sizing: { most } }: PricedInput): void {
  const onDemand = groups.find(one => one.zone === group.zone && !one.isSpot)?.count ?? 0
  group.count = Math.max(0, Math.min(group.count, most - onDemand))
}

function formatKey (zone: ZoneName, isSpot: boolean): string { return `${zone} ${isSpot}` }
function formatGroupKey ({ zone, isSpot }: GroupPlan): string { return formatKey(zone.zone, isSpot) }
function formatGroup ({ zone, isSpot }: GroupPlan): string { return `${zone.zone}/${isSpot ? 'spot' : 'ordinary'}` }
