/** Formats the state of a service's engines, as known to this box, for the log. */
import type { EndpointView } from './endpoint-view.js'
import type { DedicatedCount } from './dedicated-count.js'
import type { ServiceName } from '../ids.js'
import type { ServiceState } from './service-state.js'

export interface ServiceDescriptionInput {
  readonly state: ServiceState
  /** The engines in the order in which they are dedicated. */
  readonly dedicationOrder: readonly EndpointView[]
  readonly counts: DedicatedCount
  readonly readingPauseMs: number
  readonly minTolerantPauseMs: number
  /** Tokens queued in the boxes. */
  readonly queuedTokens: number
}

/** Describes the services that have engines, from what `compose` returns for each. */
export function describeServices (services: ReadonlyMap<ServiceName, ServiceState>, views: ReadonlyMap<ServiceName, readonly EndpointView[]>, compose: (state: ServiceState, views: readonly EndpointView[]) => ServiceDescriptionInput, at: number): { readonly service: ServiceName, readonly text: string }[] {
  const hasEngines = ([name, { service }]: [ServiceName, ServiceState]): boolean => service.engine !== null && (views.get(name) ?? []).length > 0
  return [...services].filter(hasEngines).map(([name, state]) => ({ service: name, text: describeService(compose(state, views.get(name) ?? []), at) }))
}

/** Describes a service; `docs/LOGS.md` explains the parts. */
function describeService ({ state, dedicationOrder, counts, readingPauseMs, minTolerantPauseMs, queuedTokens }: ServiceDescriptionInput, at: number): string {
  const learned = state.firstEvent.composeReport(at)
  const parts = {
    apart: counts.count,
    base: counts.base,
    own: state.dedicatedCount.counts.count,
    pace: state.firstEvent.msPerToken.toFixed(4),
    start: Math.round(state.firstEvent.startMs),
    ...(learned === null ? {} : { learned: learned.join('/') }),
    beside: Math.round(readingPauseMs),
    patience: Math.round(minTolerantPauseMs),
    late: state.lateness.describe(),
    held: queuedTokens
  }
  const engines = dedicationOrder.map((view, i) => describeEngine(view, i < counts.count, at))
  return [...Object.entries(parts).map(([name, value]) => `${name}=${value}`), ...engines].join(' ')
}

// An engine's id, with a star if it is dedicated, then running requests, tokens ahead, read time per token, time between events and health; `broken` if most requests of all boxes broke there.
function describeEngine (view: EndpointView, isDedicated: boolean, at: number): string {
  return `${view.id}${isDedicated ? '*' : ''}/${view.running}/${Math.round(view.countTokensAhead(Infinity, at))}/${view.readMsPerToken.toFixed(4)}/${view.gapMs?.toFixed(1) ?? '-'}/${view.isBroken(at) ? 'broken' : view.health.findState(at)}`
}
