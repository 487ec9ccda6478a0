/** Selects the endpoints of a service that may be used, and for what. */
import type { ServiceName } from '../ids.js'
import type { EngineProfile } from '../routes/index.js'
import type { EndpointView } from './endpoint-view.js'
import { queueMs } from './endpoint-costs.js'
import type { RequestProfile } from './work.js'
import type { ZoneMonitor } from './zone-monitor.js'

/** The usable endpoints of a service. */
export interface UsableEndpoints {
  readonly usable: readonly EndpointView[]
  /** True if any of them is brittle. */
  readonly isBrittle: boolean
}

/** At least this fraction of a service's endpoints is used, however often their answers break. */
const minUsableShare = 0.6
/** Engines are congested for requests whose expected wait there exceeds this fraction of their target. */
export const congestedWaitShare = 0.3

/**
 * Endpoints that aren't ejected, by this box or because the requests of all boxes break there: an engine that resets
 * connections always has room. If most are ejected for broken answers, the fault lies in the service rather than
 * in single endpoints, and all reachable ones are used.
 */
export function listUsable (ready: readonly EndpointView[], at: number): EndpointView[] {
  const reachable = ready.filter(view => view.health.isReachable)
  const good = reachable.filter(view => view.health.findState(at) !== 'out' && !view.isBroken(at))
  return good.length >= ready.length * minUsableShare ? good : reachable
}

/** True if an endpoint accepts a request of this priority now, or a permit for it may be requested. */
export function isOpen ({ gate }: EndpointView, { priority }: Pick<RequestProfile, 'priority'>, at: number): boolean {
  return gate.findOpenTime(priority, at) <= at
}

/** Requests per second that endpoints accept from all boxes: their rate limits, and the slots of brittle ones; Infinity if any accepts all. */
export function sumLimits ({ usable, isBrittle }: UsableEndpoints): number {
  const measureSlotRate = ({ record, answerMs }: EndpointView): number => isBrittle ? record.slots * 1000 / answerMs.value : Infinity
  return usable.reduce((sum, view) => sum + Math.min(view.gate.limit ?? Infinity, measureSlotRate(view)), 0)
}

/** Engines from which prompts may be fetched: a degraded holder would delay the fetching engine, and one with a rate limit is spared. */
export function listTransferSources (usable: readonly EndpointView[], zones: ZoneMonitor, at: number): EndpointView[] {
  const isHealthy = (view: EndpointView): boolean => view.health.findState(at) === 'good' && !zones.isUnreachable(view.record.zone, at) && view.measureOverdue(at) <= 0
  return usable.filter(view => view.gate.limit === null && !view.gate.isBackedOff(at) && isHealthy(view))
}

/** Engines for pause-sensitive requests: all but the first `count`, which are dedicated; all engines if none of the others has a free slot. */
export function listSensitiveEngines (dedicationOrder: readonly EndpointView[], count: number, { slots }: EngineProfile): readonly EndpointView[] {
  const sensitiveEngines = dedicationOrder.slice(count)
  return sensitiveEngines.some(view => view.running < slots) ? sensitiveEngines : dedicationOrder
}

/** Engines expected to begin with a new prompt within `maxWaitMs`; if there are none, those with the shortest wait. */
export function listWithinWait (views: readonly EndpointView[], slots: number, maxWaitMs: number, at: number): EndpointView[] {
  const limitMs = Math.max(maxWaitMs, findShortestWait(views, slots, at))
  return views.filter(view => estimateEngineWaitMs(view, slots, at) <= limitMs)
}

/** Shortest expected time until any of the engines begins with a new prompt, ms; Infinity if there are none. */
export function findShortestWait (views: readonly EndpointView[], slots: number, at: number): number {
  return views.reduce((least, view) => Math.min(least, estimateEngineWaitMs(view, slots, at)), Infinity)
}

// Engines read in order of arrival, so prompts of any priority count.
function estimateEngineWaitMs (view: EndpointView, slots: number, at: number): number {
  return view.countTokensAhead(Infinity, at) * view.readMsPerToken + Math.max(0, view.running + 1 - slots) * queueMs
}

/** Endpoints by their service. */
export function groupByService (views: Iterable<EndpointView>): Map<ServiceName, EndpointView[]> {
  const groups = new Map<ServiceName, EndpointView[]>()
  for (const view of views) {
    const group = groups.get(view.record.service)
    if (group === undefined) groups.set(view.record.service, [view])
    else group.push(view)
  }
  return groups
}
