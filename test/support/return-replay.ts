/**
 * Replays a burst of refusals at many boxes: callers arrive at random boxes, are refused if the work ahead of them is
 * too long, and return once when told to. The service works off the more urgent kinds first.
 */
import { LoadSum, ReturnPlanner, subtractOwn } from '../../src/core/index.js'
import type { BoxLoad } from '../../src/core/index.js'
import { RateMeter } from '../../src/core/balance/rate-meter.js'
import { desk } from './fleet-builder.js'

export interface ReplayOptions {
  readonly boxes: number
  /** Time from a report until its totals are known to all boxes, ms; null if no box hears a hub. */
  readonly lagMs: number | null
  /** What callers wait, as a fraction of what they are told; Infinity if they never return. */
  readonly patience: number
  /** Factor of the capacity, of 200 requests/s, from 200 ms after the burst. */
  readonly capacityFactor: number
  /** Requests/s outside of the burst. */
  readonly usualRate: number
  /** Levels of the kinds that arrive. */
  readonly levels: readonly number[]
  /** Share of the requests that arrive at the first two boxes. */
  readonly skew: number
}

/** What a caller was told that is expected back, and whether it was served then; null if it did not return. */
export interface Told {
  readonly level: number
  readonly at: number
  readonly dueAt: number
  isServed: boolean | null
}

const burst = { from: 2000, until: 2500, rate: 540 }
const [stepMs, reportMs, endMs] = [5, 25, 9000]
const [allowedMs, remainingMs] = [300, 12_000]
export const halvedAt = burst.until + 200

export function replayBurst ({ boxes, lagMs, patience, capacityFactor, usualRate, levels, skew }: ReplayOptions, draw: () => number): Told[] {
  const findCapacity = (at: number): number => 200 * (at >= halvedAt ? capacityFactor : 1)
  const all = new RateMeter(1000)
  const own = Array.from({ length: boxes }, () => new RateMeter(1000))
  const planners = own.map(meter => new ReturnPlanner((_, at) => lagMs === null
    ? { capacity: findCapacity(at) / boxes, arrivals: meter.rate(at), scale: 1 }
    : { capacity: findCapacity(at), arrivals: all.rate(at), scale: Math.max(1, all.rate(at) / Math.max(1, meter.rate(at))) }))
  const backlog = new Map(levels.map(level => [level, 0]))
  const sent: { readonly at: number, readonly loads: readonly BoxLoad[] }[] = []
  const told: Told[] = []

  const arrive = (level: number, at: number, returned: Told | null): void => {
    const box = Math.floor(draw() < skew ? draw() * 2 : draw() * boxes)
    for (const meter of [all, own[box]]) meter.add(at, 1)
    const waitMs = [...backlog].reduce((sum, [other, amount]) => other <= level ? sum + amount : sum, 0) / findCapacity(at) * 1000
    if (returned !== null) returned.isServed = waitMs <= allowedMs
    if (waitMs <= allowedMs) return void backlog.set(level, (backlog.get(level) ?? 0) + 1)
    const afterMs = planners[box].plan({ service: desk, level, isUnderShare: true, amount: 1, remainingMs, excessMs: waitMs - allowedMs }, at, draw())
    if (planners[box].latest?.isExpected === true && returned === null) told.push({ level, at, dueAt: at + afterMs, isServed: null })
  }

  const report = (at: number, lag: number): void => {
    const rest = { patient: 1, brisk: 0, apart: 0, base: 0, readingPauseMs: null, held: [], holders: 0 }
    sent.push({ at, loads: planners.map(planner => ({ loads: [], gaps: [], prompts: [], demands: [{ service: desk, ...rest, ...planner.compose(desk, at) }] })) })
    for (let first = sent[0]; first !== undefined && first.at + lag <= at; sent.shift(), first = sent[0]) {
      const { loads, at: reportedAt } = first
      const sum = new LoadSum()
      for (const load of loads) sum.add({ ...load, demands: load.demands.map(demand => ({ ...demand, holders: 0 })), zones: [] })
      planners.forEach((planner, i) => planner.noteOthers(subtractOwn(sum.totals, loads[i]).demands, reportedAt))
    }
  }

  for (let at = 0, due = 0; at < endMs; at += stepMs) {
    due += (at >= burst.from && at < burst.until ? burst.rate : usualRate) * stepMs / 1000
    const returns = told.filter(one => one.isServed === null && one.at + (one.dueAt - one.at) * patience <= at)
    const arrivals = [...returns, ...Array.from({ length: Math.floor(due) }, () => null)].map(one => ({ one, order: draw() }))
    due %= 1
    for (const { one } of arrivals.sort((a, b) => a.order - b.order)) arrive(one?.level ?? levels[Math.floor(draw() * levels.length)], at, one)
    let left = findCapacity(at) * stepMs / 1000
    for (const level of levels) {
      const done = Math.min(left, backlog.get(level) ?? 0)
      backlog.set(level, (backlog.get(level) ?? 0) - done)
      left -= done
    }
    if (lagMs !== null && at % reportMs === 0) report(at, lagMs)
  }
  return told
}
