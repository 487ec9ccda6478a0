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
export function narrowViews (views: readonly EndpointView[], narrowing: Narrowing | null): readonly EndpointView[] {
  if (narrowing === null) return views
  const allowed = views.filter(({ record }) => narrowing.mayUse(record))
  const fresh = allowed.filter(({ id }) => !narrowing.avoids.has(id))
  const left = fresh.length > 0 ? fresh : allowed
  if (narrowing.key === null) return left
  const chosen = chooseByHash(narrowing.key, left.map(({ id }) => id))
  return left.filter(({ id }) => id === chosen)
}
