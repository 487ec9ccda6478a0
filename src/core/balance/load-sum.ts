/** Sums of loads over boxes or hubs. */
import type { EndpointId, ServiceName, ZoneName } from '../ids.js'
import { findMedian } from './average.js'
import { joinCpuRanges } from './contention.js'
import { addKept } from './kept-slots.js'
import type { CpuRange } from './contention.js'
import type { FirstEventTimes } from './first-event-model.js'
import { addOutcomes } from './recent-outcomes.js'
import { WorkspaceSum, maxTotalRates } from './workspace-demand.js'
import type { EndpointLoad, EngineGap, LoadTotals, ServiceTotal, WaitingTokens } from './box-load.js'

/**
 * Aggregates totals: load is summed, counts of dedicated engines are maximized, and gaps, reading pauses, start
 * times and times per token are reduced to their median. Prompts are relayed separately.
 */
export class LoadSum {
  #loads = new Map<EndpointId, EndpointLoad>()
  #demands = new Map<ServiceName, ServiceTotal>()
  #readingPauses = new Map<ServiceName, number[]>()
  #firstEvents = new Map<ServiceName, FirstEventTimes[]>()
  #gaps = new Map<EndpointId, number[]>()
  #workspaces = new Map<ServiceName, WorkspaceSum>()
  #zones = new Set<ZoneName>()

  get totals (): LoadTotals {
    return { loads: [...this.#loads.values()], demands: this.#composeDemands(), gaps: findMedians(this.#gaps), prompts: [], zones: [...this.#zones] }
  }

  /** Adds the report of one box or one hub. */
  add ({ loads, demands, gaps, zones }: Omit<LoadTotals, 'prompts'>): void {
    for (const one of loads) this.#loads.set(one.endpoint, addLoad(this.#loads.get(one.endpoint), one))
    for (const one of demands) {
      this.#demands.set(one.service, addDemand(this.#demands.get(one.service), one))
      if (one.workspaces !== undefined) this.#workspaces.set(one.service, (this.#workspaces.get(one.service) ?? new WorkspaceSum()).add(one))
      if (one.readingPauseMs !== null) append(this.#readingPauses, one.service, one.readingPauseMs)
      if (one.firstEvent !== undefined) append(this.#firstEvents, one.service, one.firstEvent)
    }
    for (const [endpoint, gapMs] of gaps) append(this.#gaps, endpoint, gapMs)
    for (const zone of zones) this.#zones.add(zone)
  }

  #composeDemands (): ServiceTotal[] {
    return [...this.#demands.values()].map(one => ({ ...one, readingPauseMs: findMedian(this.#readingPauses.get(one.service) ?? []), ...composeMedianTimes(this.#firstEvents.get(one.service) ?? []), ...this.#workspaces.get(one.service)?.list(maxTotalRates) }))
  }
}

function append<Key, Value> (lists: Map<Key, Value[]>, key: Key, value: Value): void {
  const list = lists.get(key)
  if (list === undefined) lists.set(key, [value])
  else list.push(value)
}

function addLoad (sum: EndpointLoad | undefined, one: EndpointLoad): EndpointLoad {
  if (sum === undefined) return one
  return {
    endpoint: one.endpoint,
    running: sum.running + one.running,
    brisk: sum.brisk + one.brisk,
    memory: sum.memory + one.memory,
    waiting: addAmounts(sum.waiting, one.waiting, 1),
    largest: Math.max(sum.largest, one.largest),
    backedOff: sum.backedOff + one.backedOff
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
    readingPauseMs: null,
    held: addAmounts(sum.held, one.held, 1),
    rates: addAmounts(sum.rates ?? [], one.rates ?? [], 1),
    read: (sum.read ?? 0) + (one.read ?? 0),
    ...addKept(sum.kept, one.kept, 1),
    ...addOutcomes(sum.outcomes, one.outcomes, 1),
    ...composeCpuRange(sum.boxCpu, one.boxCpu),
    ...(sum.returns === undefined && one.returns === undefined ? {} : { returns: addAmounts(sum.returns ?? [], one.returns ?? [], 1) }),
    holders: sum.holders + one.holders
  }
}

function composeCpuRange (a: CpuRange | undefined, b: CpuRange | undefined): { boxCpu?: CpuRange } {
  if (a === undefined || b === undefined) return a === b ? {} : { boxCpu: a ?? b }
  return { boxCpu: joinCpuRanges(a, b) }
}

// Each component on its own; empty if no box has reported any.
function composeMedianTimes (times: readonly FirstEventTimes[]): { firstEvent?: FirstEventTimes } {
  const [startMs, msPerToken] = [findMedian(times.map(([start]) => start)), findMedian(times.map(([, read]) => read))]
  return startMs === null || msPerToken === null ? {} : { firstEvent: [startMs, msPerToken] }
}

function findMedians (gaps: ReadonlyMap<EndpointId, readonly number[]>): EngineGap[] {
  return [...gaps].map(([endpoint, measured]) => [endpoint, findMedian(measured) ?? 0])
}

/** Adds or, with `sign` -1, subtracts amounts by key; results that are not positive are omitted. */
export function addAmounts (sum: WaitingTokens, more: WaitingTokens, sign: 1 | -1): WaitingTokens {
  const tokens = new Map(sum)
  for (const [priority, amount] of more) tokens.set(priority, (tokens.get(priority) ?? 0) + sign * amount)
  return [...tokens].filter(([, amount]) => amount > 0)
}
