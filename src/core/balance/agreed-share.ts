/**
 * The share of engines set apart on which all boxes agree, from this box's own
 * measure and what is told of the others'.
 */
import type { EndpointView } from './endpoint-view.js'
import type { ServiceTotal } from './load-word.js'
import type { ApartCount, ReadingDemand } from './reading-share.js'
import type { ServiceState } from './service-state.js'

/** Part of the places of the other engines that is planned for. */
const plannedPlaces = 0.75
/** Part of the memory of engines set apart that is planned for. */
const plannedMemory = 0.75

/**
 * The largest share that any box would have: all must send long prompts to the
 * same engines. `others`: what is told of the service, null for nothing;
 * `apart`: the engines in the order in which they are set apart.
 */
export function agreeShare (state: ServiceState, others: ServiceTotal | null, apart: readonly EndpointView[], at: number): ApartCount {
  const own = state.share.update(at, measureDemand(state, others, apart, at))
  const count = Math.max(own.count, others?.apart ?? 0)
  const base = Math.max(own.base, others?.base ?? 0)
  const most = Math.max(1, apart.length - 1)
  return { count: Math.min(count, most), base: Math.min(base, count, most) }
}

/** Tokens that wait in the boxes, of requests that go before one of this priority. */
export function countHeld (state: ServiceState, others: ServiceTotal | null, priority: number): number {
  let tokens = 0
  for (const [theirs, held] of [...state.held, ...others?.held ?? []]) if (theirs <= priority) tokens += held
  return tokens
}

function measureDemand (state: ServiceState, others: ServiceTotal | null, apart: readonly EndpointView[], at: number): ReadingDemand {
  const { engine } = state.service
  let waiting = countHeld(state, others, Infinity)
  let memory = 0
  const { count } = state.share.counts
  for (const view of apart.slice(0, count)) {
    waiting += view.countAhead(Infinity, at)
    memory += view.memoryInUse
  }
  const brisk = apart.slice(count).reduce((sum, view) => sum + view.running, 0)
  return {
    rates: apart.map(view => 1000 / view.paceMs),
    patientRate: state.patient.rate(at) + (others?.patient ?? 0),
    briskRate: state.brisk.rate(at) + (others?.brisk ?? 0),
    waiting,
    patientEngines: memory / ((engine?.memoryTokens ?? Infinity) * plannedMemory),
    briskEngines: brisk / ((engine?.slots ?? Infinity) * plannedPlaces)
  }
}
