/** What the planner of orders by price observes of a service: zones with leaving endpoints, and the reading load of engines. */
import type { EndpointRecord, LoadTotals, PricedInput, PricedZone, ReadingLoad, RoutedService, SizingInput, ZoneName } from '../core/index.js'

/** Adds what orders by price need; `records`: the endpoints of the service. */
export function addPricedInput (input: SizingInput, { name, engine }: RoutedService, records: readonly EndpointRecord[], loads: LoadTotals): PricedInput {
  return {
    ...input,
    zones: listZones(input, records),
    reading: engine === null ? null : measureReading(name, records, loads),
    isLoadKnown: loads.zones.length > 0
  }
}

// Zones with a price are listed without endpoints too: all of a zone's may have been reclaimed before this box became the holder.
function listZones ({ zones, sizing }: SizingInput, records: readonly EndpointRecord[]): PricedZone[] {
  const empty = [...sizing.zonePrices.keys()].filter(name => !zones.some(({ zone }) => zone === name)).map(name => ({ zone: name as ZoneName, onDemand: 0, spot: 0 }))
  return [...zones, ...empty].map(zone => ({
    ...zone,
    leavingSpot: records.filter(record => record.zone === zone.zone && record.isSpot === true && record.stage === 'draining').length
  }))
}

function measureReading (service: RoutedService['name'], records: readonly EndpointRecord[], { loads, demands }: LoadTotals): ReadingLoad {
  const ids = new Set(records.map(({ id }) => id))
  const demand = demands.find(one => one.service === service)
  return {
    arriving: (demand?.patient ?? 0) + (demand?.brisk ?? 0),
    read: demand?.read ?? 0,
    busyEngines: loads.filter(({ endpoint, waiting }) => waiting.length > 0 && ids.has(endpoint)).length,
    agreedMsPerToken: demand?.firstEvent?.[1] ?? null
  }
}
