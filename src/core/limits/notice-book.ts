/**
 * The newest notice of each endpoint. Boxes that have heard the same notices hold
 * the same, in whatever order they came: a notice that was read on an answer gets
 * a logical time above that of the one known before.
 */
import type { BoxId, EndpointId } from '../ids.js'
import { isSameNotice, joinNotices } from './endpoint-notice.js'
import type { EndpointNotice } from './endpoint-notice.js'

/** What one answer says. */
export interface AnswerNotice {
  readonly endpoint: EndpointId
  readonly born: number
  /** Null where it names no limit; undefined where that can't be told. */
  readonly limit: number | null | undefined
  readonly isLeaving: boolean
}

/** A notice, and how it became known here. */
export interface KnownNotice {
  readonly notice: EndpointNotice
  /** When, ms. */
  readonly at: number
  /** The box that told it; null where it was read on an answer here. */
  readonly from: BoxId | null
}

/** Endpoints whose notices are kept; the oldest go first. */
const mostKept = 5000

export class NoticeBook {
  #known = new Map<EndpointId, KnownNotice>()

  /** Every notice, and how it became known. */
  get known (): KnownNotice[] { return [...this.#known.values()] }
  get notices (): EndpointNotice[] { return this.known.map(({ notice }) => notice) }

  /** The notice of an endpoint; undefined where none is known. */
  find (endpoint: EndpointId): EndpointNotice | undefined { return this.#known.get(endpoint)?.notice }

  /** Takes what an answer says; returns the notice where it is new, else null. */
  note ({ endpoint, born, limit, isLeaving }: AnswerNotice, at: number): EndpointNotice | null {
    const known = this.find(endpoint)
    const before = known === undefined || known.born < born ? null : known
    if (before !== null && before.born > born) return null
    const perSecond = limit === undefined ? before?.perSecond ?? null : limit
    const isKnownToLeave = before?.isLeaving ?? false
    if (perSecond === (before?.perSecond ?? null) && (isKnownToLeave || !isLeaving)) return null
    const notice = { endpoint, born, stamp: (known?.stamp ?? 0) + 1, perSecond, isLeaving: isKnownToLeave || isLeaving }
    this.#keep({ notice, at, from: null })
    return notice
  }

  /** Takes notices that another box tells; returns those that are new here. */
  merge (notices: readonly EndpointNotice[], at: number, from: BoxId): EndpointNotice[] {
    const fresh: EndpointNotice[] = []
    for (const notice of notices) {
      const known = this.find(notice.endpoint)
      const joined = known === undefined ? notice : joinNotices(known, notice)
      if (known !== undefined && isSameNotice(joined, known)) continue
      this.#keep({ notice: joined, at, from })
      fresh.push(joined)
    }
    return fresh
  }

  /** Forgets an endpoint that is gone. */
  forget (endpoint: EndpointId): void { this.#known.delete(endpoint) }

  #keep (known: KnownNotice): void {
    const { endpoint } = known.notice
    this.#known.delete(endpoint)
    this.#known.set(endpoint, known)
    if (this.#known.size <= mostKept) return
    const [oldest] = this.#known.keys()
    this.#known.delete(oldest)
  }
}
