/** Records the requests that arrive for a service, and those that wait in this box. */
import { countExpectedTokens } from './prompt-reading.js'
import { noteWorkspace } from './service-shares.js'
import type { ServiceState } from './service-state.js'
import type { RequestProfile } from './work.js'

/** How an arriving request is counted. */
export interface ArrivalContext {
  /** True if the request tolerates prompt reading beside it; called once its own pause limit is known. */
  isTolerant (): boolean
  /** Whether the measures against contention are on. */
  readonly isContended: boolean
}

/** Records the arrival of a request, for the demand meters. */
export function noteArrival (state: ServiceState, work: RequestProfile, context: ArrivalContext, at: number): void {
  if (context.isContended) noteWorkspace(state, work, at)
  if (context.isContended && state.service.engine === null) state.kinds.note(work, 1, at)
  if (state.service.engine === null || work.cost === null) return
  const tokens = countExpectedTokens(work.cost)
  if (context.isContended) state.pauseClasses.note(work, at)
  if (work.pauseMs !== null) state.pauses.note(at, work.pauseMs)
  state.kinds.note(work, tokens, at)
  const meter = context.isTolerant() ? state.tolerantDemand : state.sensitiveDemand
  meter.add(at, tokens)
}

/** Records that a request starts or stops waiting in this box. */
export function noteQueuedTokens ({ held }: ServiceState, { cost, priority }: RequestProfile, isQueued: boolean): void {
  if (cost === null) return
  const tokens = (held.get(priority) ?? 0) + (isQueued ? 1 : -1) * countExpectedTokens(cost)
  if (tokens > 0) held.set(priority, tokens)
  else held.delete(priority)
}
