/**
 * The share of engines set apart on which all boxes agree, from this box's own
 * measure and what its peers tell of theirs.
 */
import type { EndpointView } from './endpoint-view.js'
import type { ServiceDemand } from './load-word.js'
import type { ApartCount, ReadingDemand } from './reading-share.js'
import type { ServiceState } from './service-state.js'

/** Part of the places of the other engines that is planned for. */
const plannedPlaces = 0.75
/** Part of the memory of engines set apart that is planned for. */
const plannedMemory = 0.75

/** The largest share that any box would have: all must send long prompts to the same engines. `peers`: what each tells of the service; `apart`: the engines in the order in which they are set apart. */
export function agreeShare (state: ServiceState, peers: readonly ServiceDemand[], apart: readonly EndpointView[], at: number): ApartCount {
  let { count, base } = state.share.update(at, measureDemand(state, peers, apart, at))
  for (const demand of peers) {
    count = Math.max(count, demand.apart)
    base = Math.max(base, demand.base)
  }
  const most = Math.max(1, apart.length - 1)
  return { count: Math.min(count, most), base: Math.min(base, count, most) }
}

/** Tokens that wait in the boxes, of requests that go before one of this priority. */
export function countHeld (state: ServiceState, peers: readonly ServiceDemand[], priority: number): number {
  let tokens = 0
  for (const [theirs, held] of state.held) if (theirs <= priority) tokens += held
  for (const demand of peers) {
    for (const [theirs, held] of demand.held) if (theirs <= priority) tokens += held
  }
  return tokens
}

function measureDemand (state: ServiceState, peers: readonly ServiceDemand[], apart: readonly EndpointView[], at: number): ReadingDemand {
  const { engine } = state.service
  let patientRate = state.patient.rate(at)
  let briskRate = state.brisk.rate(at)
  for (const demand of peers) {
    patientRate += demand.patient
    briskRate += demand.brisk
  }
  let waiting = countHeld(state, peers, Infinity)
  let memory = 0
  const { count } = state.share.counts
  for (const view of apart.slice(0, count)) {
    waiting += view.countAhead(Infinity, at)
    memory += view.memoryInUse
  }
  const brisk = apart.slice(count).reduce((sum, view) => sum + view.running, 0)
  return {
    rates: apart.map(view => 1000 / view.paceMs),
    patientRate,
    briskRate,
    waiting,
    patientEngines: memory / ((engine?.memoryTokens ?? Infinity) * plannedMemory),
    briskEngines: brisk / ((engine?.slots ?? Infinity) * plannedPlaces)
  }
}
