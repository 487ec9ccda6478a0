/** Computes the number of dedicated engines that all boxes agree on, from this box's own demand and that reported by the others. */
import type { EndpointView } from './endpoint-view.js'
import type { ServiceTotal } from './box-load.js'
import type { DedicatedCount, ReadingDemand } from './dedicated-count.js'
import type { ServiceState } from './service-state.js'

/** Planned utilization of the slots of engines that are not dedicated. */
const plannedSlotShare = 0.75
/** Planned utilization of the memory of dedicated engines. */
const plannedMemoryShare = 0.75

/**
 * Returns the largest count that any box computed: all boxes must send long prompts to the same engines. `others`:
 * reported totals of the service, null if there are none; `dedicationOrder`: the engines in the order in which
 * they are dedicated. Reported counts lag behind the number of engines: while a third of them is reclaimed, they would
 * leave a single engine to the short streams of all boxes. With `isContended`, the count leaves what this box finds necessary.
 */
export function agreeDedicatedCount (state: ServiceState, others: ServiceTotal | null, dedicationOrder: readonly EndpointView[], isContended: boolean, at: number): DedicatedCount {
  const own = state.dedicatedCount.update(at, measureDemand(state, others, dedicationOrder, isContended, at))
  // A box that hears no hub would otherwise place short streams on engines where the others read long prompts.
  if (others !== null) state.dedicatedCount.noteReported(others.apart, at)
  const count = Math.max(own.count, others?.apart ?? (isContended ? state.dedicatedCount.findReported(at) : 0))
  const base = Math.max(own.base, others?.base ?? 0)
  const maxCount = Math.max(1, Math.min(dedicationOrder.length - 1, isContended ? Math.max(own.count, state.dedicatedCount.maxDedicated) : Infinity))
  return { count: Math.min(count, maxCount), base: Math.min(base, count, maxCount) }
}

/** Tokens queued in the boxes, of requests that are not less urgent than `priority`. */
export function countQueuedTokens (state: ServiceState, others: ServiceTotal | null, priority: number): number {
  let tokens = 0
  for (const [theirs, queued] of [...state.held, ...others?.held ?? []]) if (theirs <= priority) tokens += queued
  return tokens
}

function measureDemand (state: ServiceState, others: ServiceTotal | null, dedicationOrder: readonly EndpointView[], isReservedByRate: boolean, at: number): ReadingDemand {
  const { engine } = state.service
  let waiting = countQueuedTokens(state, others, Infinity)
  let memory = 0
  const { count } = state.dedicatedCount.counts
  for (const view of dedicationOrder.slice(0, count)) {
    waiting += view.countTokensAhead(Infinity, at)
    memory += view.memoryInUse
  }
  const sensitiveStreams = dedicationOrder.slice(count).reduce((sum, view) => sum + view.running, 0)
  return {
    rates: dedicationOrder.map(view => 1000 / view.readMsPerToken),
    tolerantRate: state.tolerantDemand.rate(at) + (others?.patient ?? 0),
    sensitiveRate: state.sensitiveDemand.rate(at) + (others?.brisk ?? 0),
    waiting,
    tolerantEngines: memory / ((engine?.memoryTokens ?? Infinity) * plannedMemoryShare),
    sensitiveEngines: sensitiveStreams / ((engine?.slots ?? Infinity) * plannedSlotShare),
    isReservedByRate
  }
}
