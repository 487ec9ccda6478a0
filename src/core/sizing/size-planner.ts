/**
 * How many endpoints of a service there should be, in which zone and of which
 * kind. Endpoints that may be taken back bear the load, as they cost a part of
 * the others; they go a zone's all at once, so that there are enough in the
 * other zones for all. A few ordinary ones stay in each zone: a zone that is cut
 * off or whose others were just taken back goes on with them.
 *
 * An endpoint helps some seconds after it was ordered, and bursts last little
 * longer: what is wanted goes by the most that was seen for a while, and before
 * much was seen all that may be had is wanted.
 */
import type { ServiceName, ZoneName } from '../ids.js'
import type { EndpointSizing } from '../routes/index.js'
import { PeakWindow } from './peak-window.js'

/** Endpoints of one kind in one zone. */
export interface EndpointGroup {
  readonly service: ServiceName
  readonly zone: ZoneName
  readonly isSpot: boolean
}

/** What a zone has that takes work. */
export interface ZoneSight {
  readonly zone: ZoneName
  readonly ordinary: number
  readonly spot: number
}

/** What the planner goes by. */
export interface SizingSight {
  /** On a rising clock, ms. */
  readonly at: number
  readonly sizing: EndpointSizing
  /** Requests that one endpoint works on at once. */
  readonly slots: number
  readonly zones: readonly ZoneSight[]
  /** Requests at endpoints, running or waiting there. */
  readonly running: number
  /** Time in which what waits in boxes came in, ms: how far they are behind. */
  readonly heldMs: number
}

/** A wish with its reason, for the log. */
export interface GroupWish extends EndpointGroup {
  readonly count: number
  readonly why: string
}

/** Part of the places that is to be taken at the highest load: beyond it, prompts that are read put off the events of what runs beside them. */
const fill = 0.35
/** The load is the highest of so long, ms: the users' bursts come some ten seconds apart, and an endpoint that was sent back takes seconds to come again. */
const holdMs = 20_000
const holdSteps = 20
/** Before so much was seen, all that may be had is wanted, ms. */
const learnMs = 20_000
/** Callers that wait for so long in boxes show that there is too little of everything, ms. */
const behindMs = 500
/** Ordinary endpoints that a zone keeps at least: what it goes on with once the others were taken back. */
const leastOrdinary = 1
/** Once so much of the cheap ones of a zone takes work, the ordinary ones are sent back. */
const readyShare = 0.75

export class SizePlanner {
  readonly service: ServiceName
  #load = new PeakWindow(holdMs, holdSteps)
  #firstAt: number | null = null
  /** Zones whose ordinary endpoints were sent back to the base. */
  #reduced = new Set<ZoneName>()

  constructor (service: ServiceName) {
    this.service = service
  }

  /** What is wanted now, for each zone and kind. */
  plan (sight: SizingSight): GroupWish[] {
    this.#firstAt ??= sight.running > 0 ? sight.at : null
    this.#load.note(sight.at, sight.running + (sight.heldMs > behindMs ? Infinity : 0))
    const { least, most, spotPrice } = sight.sizing
    const perZone = Math.max(least, Math.min(most, this.#countPerZone(sight)))
    const base = Math.min(perZone, leastOrdinary)
    return sight.zones.flatMap(zone => spotPrice === null ? [this.#wish(zone, false, perZone, sight)] : this.#planZone(zone, perZone, base, sight))
  }

  // With one zone's cheap endpoints gone, the others bear the load.
  #countPerZone ({ at, zones, slots, sizing }: SizingSight): number {
    if (this.#firstAt === null || at - this.#firstAt < learnMs) return sizing.most
    const others = Math.max(1, zones.length - 1)
    return Math.ceil(this.#load.peak / (slots * fill) / others)
  }

  #planZone (zone: ZoneSight, perZone: number, base: number, sight: SizingSight): GroupWish[] {
    const spot = Math.max(0, perZone - base)
    if (zone.spot >= spot * readyShare) this.#reduced.add(zone.zone)
    const isReduced = this.#reduced.has(zone.zone)
    // Bounds are on both kinds together: what stays of the ordinary ones for now takes its place.
    const room = isReduced ? spot : Math.min(spot, Math.max(0, sight.sizing.most - zone.ordinary))
    if (!isReduced && zone.spot >= room * readyShare && room < spot) this.#reduced.add(zone.zone)
    const ordinary = isReduced ? base : Math.max(base, zone.ordinary)
    return [this.#wish(zone, true, room, sight), this.#wish(zone, false, ordinary, sight)]
  }

  #wish ({ zone }: ZoneSight, isSpot: boolean, count: number, { running, heldMs }: SizingSight): GroupWish {
    const why = `load=${running}:peak=${this.#load.peak}:held=${Math.round(heldMs)}`
    return { service: this.service, zone, isSpot, count, why }
  }
}
