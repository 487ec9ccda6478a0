/**
 * A hub's book of what each box last told of its work, and its totals. Boxes
 * that fall silent no longer count.
 */
import type { BoxId, EndpointId, ServiceName, ZoneName } from '../ids.js'
import { findMiddle } from './average.js'
import type { BoxLoad, EndpointLoad, EngineGap, LoadTotals, ServiceDemand, ServiceTotal, WaitingTokens } from './load-word.js'

/** A box that was silent for so long has nothing at the endpoints, ms: six of its words. */
const silentMs = 1500
/** A zone from which no box was heard for so long is not told as heard, ms: two words of one box. */
const zoneSilentMs = 550

interface Told {
  readonly zone: ZoneName
  readonly load: BoxLoad
  readonly at: number
}

export class LoadBook {
  #told = new Map<BoxId, Told>()

  /** Boxes that count. */
  get size (): number { return this.#told.size }

  /** Takes a box's newest word. */
  note (box: BoxId, zone: ZoneName, load: BoxLoad, at: number): void {
    this.#told.set(box, { zone, load, at })
  }

  /** Forgets boxes that have fallen silent; returns them. */
  forgetSilent (at: number): BoxId[] {
    const silent = [...this.#told].filter(([, told]) => at - told.at > silentMs).map(([box]) => box)
    for (const box of silent) this.#told.delete(box)
    return silent
  }

  /** Adds up what all boxes told. */
  sum (at: number): LoadTotals {
    const loads = new Map<EndpointId, EndpointLoad>()
    const demands = new Map<ServiceName, ServiceTotal>()
    const gaps = new Map<EndpointId, number[]>()
    const zones = new Set<ZoneName>()
    for (const { zone, load, at: toldAt } of this.#told.values()) {
      if (at - toldAt <= zoneSilentMs) zones.add(zone)
      for (const one of load.loads) loads.set(one.endpoint, addLoad(loads.get(one.endpoint), one))
      for (const one of load.demands) demands.set(one.service, addDemand(demands.get(one.service), one))
      for (const [endpoint, gapMs] of load.gaps) gaps.set(endpoint, [...gaps.get(endpoint) ?? [], gapMs])
    }
    return { loads: [...loads.values()], demands: [...demands.values()], gaps: findMiddles(gaps), zones: [...zones] }
  }
}

function addLoad (sum: EndpointLoad | undefined, one: EndpointLoad): EndpointLoad {
  if (sum === undefined) return one
  return {
    endpoint: one.endpoint,
    running: sum.running + one.running,
    memory: sum.memory + one.memory,
    waiting: addWaiting(sum.waiting, one.waiting, 1),
    largest: Math.max(sum.largest, one.largest)
  }
}

function addDemand (sum: ServiceTotal | undefined, one: ServiceDemand): ServiceTotal {
  const holders = one.held.length > 0 ? 1 : 0
  if (sum === undefined) return { ...one, holders }
  return {
    service: one.service,
    patient: sum.patient + one.patient,
    brisk: sum.brisk + one.brisk,
    apart: Math.max(sum.apart, one.apart),
    base: Math.max(sum.base, one.base),
    held: addWaiting(sum.held, one.held, 1),
    holders: sum.holders + holders
  }
}

function findMiddles (gaps: ReadonlyMap<EndpointId, readonly number[]>): EngineGap[] {
  return [...gaps].map(([endpoint, measured]) => [endpoint, findMiddle(measured) ?? 0])
}

/** Adds tokens to others, or takes them off where `sign` is -1; what would be below nothing is left out. */
export function addWaiting (sum: WaitingTokens, more: WaitingTokens, sign: 1 | -1): WaitingTokens {
  const tokens = new Map(sum)
  for (const [priority, amount] of more) tokens.set(priority, (tokens.get(priority) ?? 0) + sign * amount)
  return [...tokens].filter(([, amount]) => amount > 0)
}
