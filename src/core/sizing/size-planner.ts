/**
 * Computes the target number of spot and on-demand endpoints of a service per zone.
 * Spot endpoints serve the load, as they cost a fraction of on-demand ones. They are
 * reclaimed for a whole zone at once, so the other zones must be able to carry the
 * full load. A few on-demand endpoints remain in each zone, for when it is
 * partitioned or its spot endpoints have just been reclaimed.
 *
 * An endpoint takes some seconds to start, and bursts last little longer. The target
 * therefore follows the peak load of a recent window, and before enough load has
 * been observed it is the maximum.
 */
import type { ServiceName, ZoneName } from '../ids.js'
import type { EndpointSizing } from '../routes/index.js'
import { SlidingMax } from './sliding-max.js'

/** Endpoints of one kind in one zone. */
export interface EndpointGroup {
  readonly service: ServiceName
  readonly zone: ZoneName
  readonly isSpot: boolean
}

/** Endpoints of a zone that accept requests. */
export interface ZoneEndpoints {
  readonly zone: ZoneName
  readonly onDemand: number
  readonly spot: number
}

/** Input of the planner. */
export interface SizingInput {
  /** Monotonic time, ms. */
  readonly at: number
  readonly sizing: EndpointSizing
  /** Concurrent requests per endpoint. */
  readonly slots: number
  readonly zones: readonly ZoneEndpoints[]
  /** Requests that are running or queued at endpoints. */
  readonly running: number
  /** Backlog of the boxes: the time over which the requests queued in them have arrived, ms. */
  readonly backlogMs: number
}

/** The target of a group, and the reason for the log. */
export interface GroupTarget extends EndpointGroup {
  readonly count: number
  readonly why: string
}

/** Target fraction of occupied slots at peak load. Above it, prefill of prompts delays the events of running streams. */
const targetUtilization = 0.35
/** Window over which the peak load is taken, ms: bursts come about ten seconds apart, and an endpoint that was released takes seconds to start again. */
const loadWindowMs = 20_000
const loadWindowSteps = 20
/** Time from the first load during which the maximum is requested, ms. */
const warmUpMs = 20_000
/** A backlog above this shows that capacity is insufficient, ms. */
const backlogThresholdMs = 500
/** Minimum number of on-demand endpoints per zone, which serve it after its spot endpoints were reclaimed. */
const minOnDemand = 1
/** Fraction of the spot target of a zone that must accept requests before its surplus on-demand endpoints are released. */
const spotReadyShare = 0.75

export class SizePlanner {
  readonly service: ServiceName
  #load = new SlidingMax(loadWindowMs, loadWindowSteps)
  #firstLoadAt: number | null = null
  /** Zones whose on-demand endpoints were reduced to the base number. */
  #reducedZones = new Set<ZoneName>()

  constructor (service: ServiceName) {
    this.service = service
  }

  /** The current targets by zone and kind. */
  plan (input: SizingInput): GroupTarget[] {
    this.#firstLoadAt ??= input.running > 0 ? input.at : null
    this.#load.add(input.at, input.running + (input.backlogMs > backlogThresholdMs ? Infinity : 0))
    const { least, most, spotPrice } = input.sizing
    const perZone = Math.max(least, Math.min(most, this.#countPerZone(input)))
    const base = Math.min(perZone, minOnDemand)
    return input.zones.flatMap(zone => spotPrice === null ? [this.#composeTarget(zone, false, perZone, input)] : this.#planZone(zone, perZone, base, input))
  }

  // Sized so that the remaining zones carry the load if one zone loses its spot endpoints.
  #countPerZone ({ at, zones, slots, sizing }: SizingInput): number {
    if (this.#firstLoadAt === null || at - this.#firstLoadAt < warmUpMs) return sizing.most
    const others = Math.max(1, zones.length - 1)
    return Math.ceil(this.#load.max / (slots * targetUtilization) / others)
  }

  #planZone (zone: ZoneEndpoints, perZone: number, base: number, input: SizingInput): GroupTarget[] {
    const spot = Math.max(0, perZone - base)
    if (zone.spot >= spot * spotReadyShare) this.#reducedZones.add(zone.zone)
    const isReduced = this.#reducedZones.has(zone.zone)
    // The bounds apply to both kinds together, so on-demand endpoints that still remain reduce the spot target.
    const spotTarget = isReduced ? spot : Math.min(spot, Math.max(0, input.sizing.most - zone.onDemand))
    if (!isReduced && zone.spot >= spotTarget * spotReadyShare && spotTarget < spot) this.#reducedZones.add(zone.zone)
    const onDemand = isReduced ? base : Math.max(base, zone.onDemand)
    return [this.#composeTarget(zone, true, spotTarget, input), this.#composeTarget(zone, false, onDemand, input)]
  }

  #composeTarget ({ zone }: ZoneEndpoints, isSpot: boolean, count: number, { running, backlogMs }: SizingInput): GroupTarget {
    const why = `load=${running}:peak=${this.#load.max}:held=${Math.round(backlogMs)}`
    return { service: this.service, zone, isSpot, count, why }
  }
}
