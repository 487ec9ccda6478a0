/** What is believed of a service's engines, as a text for the log. */
import type { EndpointView } from './endpoint-view.js'
import type { ApartCount } from './reading-share.js'
import type { ServiceState } from './service-state.js'

/** What a description is made from. */
export interface ServiceBeliefs {
  readonly state: ServiceState
  /** The engines in the order in which they are set apart, and how many are. */
  readonly apart: readonly EndpointView[]
  readonly counts: ApartCount
  readonly readingPauseMs: number
  readonly patienceMs: number
  /** Tokens that wait in the boxes. */
  readonly heldTokens: number
}

/** Describes a service; `docs/LOGS.md` names the parts. */
export function describeService ({ state, apart, counts, readingPauseMs, patienceMs, heldTokens }: ServiceBeliefs, at: number): string {
  const words = {
    apart: counts.count,
    base: counts.base,
    own: state.share.counts.count,
    pace: state.pace.value.toFixed(4),
    beside: Math.round(readingPauseMs),
    patience: Math.round(patienceMs),
    late: state.lateness.describe(),
    held: heldTokens
  }
  const engines = apart.map((view, i) => describeEngine(view, i < counts.count, at))
  return [...Object.entries(words).map(([name, value]) => `${name}=${value}`), ...engines].join(' ')
}

// An engine's name, with a star where it is set apart, then running, tokens ahead, pace, time between events and trust.
function describeEngine (view: EndpointView, isApart: boolean, at: number): string {
  return `${view.id}${isApart ? '*' : ''}/${view.running}/${Math.round(view.countAhead(Infinity, at))}/${view.paceMs.toFixed(4)}/${view.gapMs?.toFixed(1) ?? '-'}/${view.trust.look(at)}`
}
