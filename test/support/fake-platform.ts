/** A platform with endpoints of one service in three zones, in virtual time, and the host of the scaler that orders them. */
import { ContentionSwitch, brandId } from '../../src/core/index.js'
import type { ContentionMode, EndpointRecord, LoadTotals, RoutedService } from '../../src/core/index.js'
import type { DutyCall } from '../../src/protocol/index.js'
import type { DutyCallResult } from '../../src/registry/duty-client.js'
import { EndpointScaler } from '../../src/registry/endpoint-scaler.js'

export interface Scenario {
  /** Arriving prompt tokens/s, requests at endpoints and tokens queued in boxes; null while no box reports. */
  load (at: number): { readonly arriving: number, readonly running: number, readonly held?: number } | null
  /** The status of an order; null for none. */
  answer? (at: number, zone: string, isSpot: boolean, count: number): number | null
  /** The zone whose spot endpoints leave at this time. */
  findReclaimed? (at: number): string | null
  /** Time until an order takes effect and is answered, ms. */
  readonly answerMs?: number
  /** By how much the boot times of endpoints differ, ms. */
  readonly bootSpreadMs?: number
  readonly spotPrice?: number | null
  prices? (at: number): Record<string, number>
  readonly holderChangesAt?: number
  readonly mode?: ContentionMode
  /** Time per token that the boxes agree on, and the time for which a token occupies an engine, ms. */
  readonly agreedMs?: number
  readonly busyMs?: number
  readonly initial?: { readonly onDemand: number, readonly spot: number }
}

export interface Order { readonly at: number, readonly zone: string, readonly isSpot: boolean, readonly count: number, readonly status: number | null }
export interface Sample { readonly at: number, readonly serving: number, readonly zones: Record<string, string>, readonly price: number }

export const bootMs = 4000
/** Reading time of engines, ms per token. */
export const tokenMs = 0.011
const noticeMs = 2500
const stepMs = 500
const defaultPrices = { a: 1, b: 0.8, c: 1.25 }

interface Endpoint { readonly zone: string, readonly isSpot: boolean, readonly readyAt: number, goneAt: number }

/** Plays a scenario; the samples are of the end of each step, and `reasons` are those logged with accepted orders. */
export async function play (scenario: Scenario, endMs: number): Promise<{ orders: Order[], samples: Sample[], events: string[], reasons: string[] }> {
  const { initial = { onDemand: 14, spot: 0 } } = scenario
  let at = 0
  let endpoints: Endpoint[] = ['a', 'b', 'c'].flatMap(zone => [true, false].flatMap(isSpot => Array.from({ length: isSpot ? initial.spot : initial.onDemand }, () => ({ zone, isSpot, readyAt: 0, goneAt: Infinity }))))
  const orders: Order[] = []
  const unanswered: { readonly answeredAt: number, readonly resolve: () => void }[] = []
  const events: string[] = []
  const isServing = (one: Endpoint): boolean => one.readyAt <= at && one.goneAt === Infinity
  const service = () => ({ name: brandId('desk'), mostConnections: 100, engine: { slots: 48 }, sizing: { least: 1, most: 60, bootMs, spotPrice: scenario.spotPrice === undefined ? 0.18 : scenario.spotPrice, zonePrices: new Map(Object.entries(scenario.prices?.(at) ?? defaultPrices)) } }) as unknown as RoutedService
  const listRecords = () => endpoints.map((one, i) => ({ id: `e${i}`, service: 'desk', zone: one.zone, slots: 48, ...(one.isSpot ? { isSpot: true } : {}), stage: isServing(one) ? 'ready' : one.readyAt <= at ? 'draining' : 'lost' }) as unknown as EndpointRecord)
  const sumLoads = (): LoadTotals => {
    const load = scenario.load(at)
    if (load === null) return { loads: [], demands: [], gaps: [], prompts: [], zones: [] }
    const serving = listRecords().filter(({ stage }) => stage === 'ready')
    const busy = Math.min(serving.length, Math.round(load.arriving * (scenario.busyMs ?? tokenMs) / 1000))
    const loads = serving.map(({ id }, i) => ({ endpoint: id, running: i === 0 ? load.running : 0, brisk: 0, memory: 0, waiting: i < busy ? [[0, 900] as const] : [], largest: 900, backedOff: 0 }))
    const demands = [{ service: service().name, patient: load.arriving, brisk: 0, apart: 0, base: 0, readingPauseMs: null, held: [[0, load.held ?? 0] as const], read: Math.min(load.arriving, busy / (scenario.busyMs ?? tokenMs) * 1000), ...(scenario.agreedMs === undefined ? {} : { firstEvent: [80, scenario.agreedMs] as const }), holders: 1 }]
    return { loads, demands, gaps: [], prompts: [], zones: [brandId('a')] }
  }
  const call = async (one: DutyCall): Promise<DutyCallResult> => {
    if (one.type !== 'order-endpoints') throw new Error(one.type)
    const { zone, isSpot, count } = one
    const status = scenario.answer === undefined ? 200 : scenario.answer(at, zone, isSpot, count)
    orders.push({ at, zone, isSpot, count, status })
    const answeredAt = at + (scenario.answerMs ?? 0)
    if (answeredAt > at) await new Promise<void>(resolve => unanswered.push({ answeredAt, resolve }))
    if (status === 200) execute(zone, isSpot, count)
    return status === null ? { type: 'failed', reason: 'no answer' } : { type: 'answered', status }
  }
  const execute = (zone: string, isSpot: boolean, count: number): void => {
    const known = endpoints.filter(each => each.zone === zone && each.isSpot === isSpot && each.goneAt === Infinity)
    for (const each of known.slice(count)) each.goneAt = at + noticeMs
    for (let i = known.length; i < count; i++) endpoints.push({ zone, isSpot, readyAt: at + bootMs + (scenario.bootSpreadMs ?? 0) * (i % 7) / 6, goneAt: Infinity })
  }
  const reasons: string[] = []
  const log = { info: (_: string, fields: Record<string, unknown>) => { reasons.push(String(fields.why)) }, warn: (name: string, fields: Record<string, unknown>) => { events.push(`${at} ${name} ${String(fields.zone)} ${String(fields.kind)} ${String(fields.why)} ${String(fields.retryMs)}`) } }
  const host = { log, metrics: { count: () => {} }, contention: new ContentionSwitch({ mode: scenario.mode ?? 'on', cpuShare: null, isMarked: false }), now: () => at, listServices: () => [service()], listRecords, sumLoads }
  let scaler = new EndpointScaler(host as never)
  const samples: Sample[] = []
  for (; at <= endMs; at += stepMs) {
    if (at === scenario.holderChangesAt) scaler = new EndpointScaler(host as never)
    const reclaimed = scenario.findReclaimed?.(at)
    for (const one of endpoints) if (one.zone === reclaimed && one.isSpot && one.goneAt === Infinity) one.goneAt = at + noticeMs
    endpoints = endpoints.filter(one => one.goneAt > at)
    for (const one of unanswered) if (one.answeredAt <= at) one.resolve()
    scaler.step(call)
    await new Promise(resolve => setImmediate(resolve))
    const serving = endpoints.filter(isServing)
    const count = (zone: string, isSpot: boolean): number => serving.filter(one => one.zone === zone && one.isSpot === isSpot).length
    const prices: Record<string, number> = scenario.prices?.(at) ?? defaultPrices
    samples.push({ at, serving: serving.length, zones: Object.fromEntries(['a', 'b', 'c'].map(zone => [zone, `${count(zone, true)}+${count(zone, false)}`])), price: serving.reduce((sum, one) => sum + prices[one.zone] * (one.isSpot ? 0.18 : 1), 0) })
  }
  return { orders, samples, events: events.filter(text => text.includes('zone-unavailable')), reasons }
}
