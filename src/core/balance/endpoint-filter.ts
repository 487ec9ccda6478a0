/** Limits on the choice for one request, where not every endpoint is to meet it. */
import { chooseByHash } from '../hash.js'
import type { EndpointId } from '../ids.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { EndpointView } from './endpoint-view.js'

/** Which endpoints a request may go to, and which of them it should. */
export interface Narrowing {
  /** All boxes send requests with this key to the same endpoint, as far as they know the same ones; null where any will do. */
  readonly key: string | null
  /** Endpoints that are taken only where there is no other. */
  readonly avoids: ReadonlySet<EndpointId>
  mayUse (record: EndpointRecord): boolean
}

/** What is left of the endpoints under a narrowing; all of them without one. */
export function filterViews (views: readonly EndpointView[], filter: Narrowing | null): readonly EndpointView[] {
  if (filter === null) return views
  const allowed = views.filter(({ record }) => filter.mayUse(record))
  const fresh = allowed.filter(({ id }) => !filter.avoids.has(id))
  const left = fresh.length > 0 ? fresh : allowed
  if (filter.key === null) return left
  const chosen = chooseByHash(filter.key, left.map(({ id }) => id))
  return left.filter(({ id }) => id === chosen)
}
