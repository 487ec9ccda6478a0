/** Restricts the endpoints to which one request may be sent. */
import { chooseByHash } from '../hash.js'
import type { EndpointId } from '../ids.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { EndpointView } from './endpoint-view.js'

/** Which endpoints a request may use, and which of them it should. */
export interface EndpointFilter {
  /** All boxes send requests with this key to the same endpoint, as far as they know the same ones; null if any will do. */
  readonly key: string | null
  /** Endpoints that are used only if there are no others. */
  readonly avoided: ReadonlySet<EndpointId>
  /** True if the endpoints that it allows are chosen among as if there were no others; else it takes precedence over all other criteria. */
  readonly isRestriction?: boolean
  mayUse (record: EndpointRecord): boolean
}

/** Applies a filter to endpoints; returns all of them if it is null. */
export function filterViews (views: readonly EndpointView[], filter: EndpointFilter | null): readonly EndpointView[] {
  if (filter === null) return views
  const allowed = views.filter(({ record }) => filter.mayUse(record))
  const notAvoided = allowed.filter(({ id }) => !filter.avoided.has(id))
  const candidates = notAvoided.length > 0 ? notAvoided : allowed
  if (filter.key === null) return candidates
  const chosen = chooseByHash(filter.key, candidates.map(({ id }) => id))
  return candidates.filter(({ id }) => id === chosen)
}
