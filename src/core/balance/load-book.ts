/**
 * A hub's book of what each of its boxes last told of its work, and of the sums
 * that other hubs told of theirs. Whoever falls silent no longer counts.
 */
import type { BoxId, EndpointId, ServiceName, ZoneName } from '../ids.js'
import { findMiddle } from './average.js'
import { noTotals } from './load-word.js'
import type { BoxLoad, EndpointLoad, EngineGap, LoadTotals, ServiceTotal, WaitingTokens } from './load-word.js'

/** A box that was silent for so long has nothing at the endpoints, ms: six of its words. */
const silentMs = 1500
/** A zone from which no box was heard for so long is not told as heard, ms: two words of one box. */
const zoneSilentMs = 550

interface Told {
  readonly zone: ZoneName
  readonly load: BoxLoad
  readonly at: number
}

interface ToldSum {
  readonly sum: LoadTotals
  readonly at: number
}

export class LoadBook {
  #told = new Map<BoxId, Told>()
  #sums = new Map<BoxId, ToldSum>()

  /** Takes a box's newest word. */
  note (box: BoxId, zone: ZoneName, load: BoxLoad, at: number): void {
    this.#told.set(box, { zone, load, at })
  }

  /** Takes another hub's newest sum. */
  noteSum (hub: BoxId, sum: LoadTotals, at: number): void {
    this.#sums.set(hub, { sum, at })
  }

  /** Forgets boxes and hubs that have fallen silent; returns them. */
  forgetSilent (at: number): BoxId[] {
    const silent: BoxId[] = []
    for (const told of [this.#told, this.#sums]) {
      for (const [box, word] of told) {
        if (at - word.at <= silentMs) continue
        told.delete(box)
        silent.push(box)
      }
    }
    return silent
  }

  /** Adds up what this hub's own boxes told. */
  sumOwn (at: number): LoadTotals {
    const sum = new LoadSum()
    for (const { zone, load, at: toldAt } of this.#told.values()) {
      const demands = load.demands.map(demand => ({ ...demand, holders: demand.held.length > 0 ? 1 : 0 }))
      sum.add({ loads: load.loads, demands, gaps: load.gaps, zones: at - toldAt <= zoneSilentMs ? [zone] : [] })
    }
    return sum.totals
  }

  /** Adds what other hubs told to the sum of the own boxes. */
  sumAll (own: LoadTotals, at: number): LoadTotals {
    const sum = new LoadSum()
    sum.add(own)
    for (const { sum: told, at: toldAt } of this.#sums.values()) sum.add(at - toldAt <= zoneSilentMs ? told : { ...told, zones: noTotals.zones })
    return sum.totals
  }
}

class LoadSum {
  #loads = new Map<EndpointId, EndpointLoad>()
  #demands = new Map<ServiceName, ServiceTotal>()
  #gaps = new Map<EndpointId, number[]>()
  #zones = new Set<ZoneName>()

  get totals (): LoadTotals {
    return { loads: [...this.#loads.values()], demands: [...this.#demands.values()], gaps: findMiddles(this.#gaps), zones: [...this.#zones] }
  }

  add ({ loads, demands, gaps, zones }: LoadTotals): void {
    for (const one of loads) this.#loads.set(one.endpoint, addLoad(this.#loads.get(one.endpoint), one))
    for (const one of demands) this.#demands.set(one.service, addDemand(this.#demands.get(one.service), one))
    for (const [endpoint, gapMs] of gaps) this.#gaps.set(endpoint, [...this.#gaps.get(endpoint) ?? [], gapMs])
    for (const zone of zones) this.#zones.add(zone)
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

function addDemand (sum: ServiceTotal | undefined, one: ServiceTotal): ServiceTotal {
  if (sum === undefined) return one
  return {
    service: one.service,
    patient: sum.patient + one.patient,
    brisk: sum.brisk + one.brisk,
    apart: Math.max(sum.apart, one.apart),
    base: Math.max(sum.base, one.base),
    held: addWaiting(sum.held, one.held, 1),
    holders: sum.holders + one.holders
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
