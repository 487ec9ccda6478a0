/** Builders of endpoints, requests, fleets and loads for tests of the balancer. */
import { Fleet, brandId } from '../../src/core/index.js'
import type { BoxLoad, ContentionSwitch, EndpointRecord, LoadTotals, RoutedService, ServiceName, RequestProfile, ZoneName } from '../../src/core/index.js'

export const desk = brandId<ServiceName>('desk')

export function nameZone (name: string): ZoneName { return brandId(name) }

/** A ready endpoint of `desk`; its port is the number in its id. */
export function createRecord (id: string, more: Partial<EndpointRecord> = {}): EndpointRecord {
  return { id: brandId(id), service: desk, host: '10.0.0.1', port: Number(id.replace(/\D/g, '')) || 1, zone: nameZone('zone-a'), slots: 4, born: 0, software: '', sequence: 1, stage: 'ready', ...more }
}

/** A service with engines. */
export const engineService: RoutedService = { name: desk, mostConnections: 10, sizing: null, engine: { slots: 8, memoryTokens: 100_000, tokensPerEvent: 5, transfer: null } }
/** A service whose engines can fetch prompts from one another. */
export const movingService: RoutedService = { ...engineService, engine: { slots: 8, memoryTokens: 100_000, tokensPerEvent: 5, transfer: { tokenBytes: 100_000, bytesPerMs: 50_000_000 } } }

/** A plain call of the most urgent kind; a kind's level is its priority. */
export function createWork (more: Partial<RequestProfile> = {}): RequestProfile {
  return { service: desk, level: more.priority ?? 0, priority: 0, cost: null, pauseMs: null, targetMs: 500, ...more }
}

/** The fleet of a box with some endpoints, by default of a plain service. */
export function createFleet (records: readonly EndpointRecord[], service: RoutedService = { ...engineService, engine: null }, contention?: ContentionSwitch): Fleet {
  const fleet = new Fleet(brandId('zone-a'), undefined, undefined, contention)
  fleet.configure([service])
  fleet.applyRecords(records)
  return fleet
}

/** The load report of a box with `running` requests at one endpoint. */
export function createLoad (running: number, more: Partial<BoxLoad> = {}): BoxLoad {
  return { loads: [{ endpoint: brandId('e1'), running, brisk: 1, memory: 10 * running, waiting: [[1, 100 * running]], largest: 100 * running, backedOff: 0 }], demands: [], gaps: [], prompts: [], ...more }
}

/** A request with a prompt of 8,000 tokens, 6,000 of them shared, and the report that `e1` has these cached. */
export const long = createWork({ pauseMs: 600, cost: { promptTokens: 8000, maxTokens: 10, parts: [{ id: 'shared', tokens: 6000 }, { id: 'own', tokens: 2000 }] } })
export const readShared: LoadTotals['prompts'] = [[brandId('e1'), [['shared', 6000]], true]]

/** The version pin of a request whose answer has not begun. */
export const unpinned = { origin: null, mayUse: () => true, findState: () => 'serving' as const, noteNotMoved: () => {} }
