import type { EndpointView } from './endpoint-view.js'

/** At least this part of a service's endpoints is used, however often their answers break. */
const leastUsed = 0.6

/**
 * Endpoints that aren't out. Where most are out for broken answers, the fault is
 * of the service rather than of some of them: those are used all the same.
 */
export function listUsable (ready: readonly EndpointView[], at: number): EndpointView[] {
  const reachable = ready.filter(view => view.trust.isReachable)
  const good = reachable.filter(view => view.trust.look(at) !== 'out')
  return good.length >= ready.length * leastUsed ? good : reachable
}
