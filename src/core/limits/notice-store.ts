/**
 * The newest notice of each endpoint. Boxes that have received the same notices in
 * any order hold the same state: a notice read from a response gets a logical
 * timestamp above that of the previous one.
 */
import type { BoxId, EndpointId } from '../ids.js'
import { isSameNotice, joinNotices } from './endpoint-notice.js'
import type { EndpointNotice } from './endpoint-notice.js'

/** What an endpoint announces in one response. */
export interface ResponseNotice {
  readonly endpoint: EndpointId
  readonly born: number
  /** Null if the response announces no limit; undefined if that cannot be determined. */
  readonly limit: number | null | undefined
  /** How many refusals per second it bears, if it says so; null if it announces none, undefined if that cannot be determined. */
  readonly brittle?: number | null
  readonly isLeaving: boolean
}

/** A notice with its origin. */
export interface KnownNotice {
  readonly notice: EndpointNotice
  /** Time at which it was received, ms. */
  readonly at: number
  /** The box that sent it; null if it was read from a response here. */
  readonly from: BoxId | null
}

/** Maximum number of stored notices; the oldest are evicted first. */
const maxNotices = 5000

export class NoticeStore {
  #known = new Map<EndpointId, KnownNotice>()

  get known (): KnownNotice[] { return [...this.#known.values()] }
  get notices (): EndpointNotice[] { return this.known.map(({ notice }) => notice) }

  find (endpoint: EndpointId): EndpointNotice | undefined { return this.#known.get(endpoint)?.notice }

  /** Records what a response announces; returns the notice if it has changed, else null. */
  note ({ endpoint, born, limit, brittle, isLeaving }: ResponseNotice, at: number): EndpointNotice | null {
    const known = this.find(endpoint)
    const before = known === undefined || known.born < born ? null : known
    if (before !== null && before.born > born) return null
    const perSecond = limit === undefined ? before?.perSecond ?? null : limit
    const refusals = brittle === undefined ? before?.brittle : brittle ?? undefined
    const isKnownToLeave = before?.isLeaving ?? false
    if (perSecond === (before?.perSecond ?? null) && refusals === before?.brittle && (isKnownToLeave || !isLeaving)) return null
    const notice = { endpoint, born, stamp: (known?.stamp ?? 0) + 1, perSecond, ...(refusals === undefined ? {} : { brittle: refusals }), isLeaving: isKnownToLeave || isLeaving }
    this.#put({ notice, at, from: null })
    return notice
  }

  /** Merges notices from another box; returns those that changed. */
  merge (notices: readonly EndpointNotice[], at: number, from: BoxId): EndpointNotice[] {
    const changed: EndpointNotice[] = []
    for (const notice of notices) {
      const known = this.find(notice.endpoint)
      const merged = known === undefined ? notice : joinNotices(known, notice)
      if (known !== undefined && isSameNotice(merged, known)) continue
      this.#put({ notice: merged, at, from })
      changed.push(merged)
    }
    return changed
  }

  /** Removes an endpoint that no longer exists. */
  forget (endpoint: EndpointId): void { this.#known.delete(endpoint) }

  #put (known: KnownNotice): void {
    const { endpoint } = known.notice
    this.#known.delete(endpoint)
    this.#known.set(endpoint, known)
    if (this.#known.size <= maxNotices) return
    const [oldest] = this.#known.keys()
    this.#known.delete(oldest)
  }
}
