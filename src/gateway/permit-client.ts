/**
 * Asks for permits to send to endpoints that name a rate limit. One registry
 * gives them out for all boxes. A box that reaches none keeps to its own part of
 * the limit, which the registry leaves to it.
 */
import { TokenBucket } from '../core/index.js'
import type { ClosedEndpoint, EndpointId, EndpointNotice, EndpointView, PermitGrant, PermitWants } from '../core/index.js'
import type { RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'
import type { PermitAnswer } from './registry-follower.js'

/** What the desk needs of its box. */
export interface PermitClientHost {
  readonly log: EventLog
  now (): number
  /** Boxes that share a limit, this one included; 0 where that isn't known. */
  countBoxes (): number
  findView (endpoint: EndpointId): EndpointView | undefined
  findNotice (endpoint: EndpointId): EndpointNotice | undefined
  /** Sends to the registry that gives permits, as far as it is known; false where none can be reached. */
  send (message: RouteMessage): boolean
  /** Takes which registry gives permits; null where the one asked doesn't know. */
  setIssuer (host: string | null): void
}

/** Who asked, and what hears whether there is a permit. */
interface PermitRequest {
  readonly priority: number
  readonly respond: (isGiven: boolean) => void
}

/** The one call about an endpoint that is under way, and who waits for the next. */
interface PermitQueue {
  readonly view: EndpointView
  call: number | null
  sentAt: number
  redirects: number
  requested: PermitRequest[]
  waiting: PermitRequest[]
}

/** Time-out of a call, ms. */
const callTimeoutMs = 100
/** Without any answer for so long this box counts as cut off from the issuer, ms. */
const cutOffAfterMs = 1000
/** How often a box that is cut off tries the registries, ms. */
const cutOffRetryMs = 300
/** A failed call that was followed by no other for so long no longer counts, ms. */
const failureTtlMs = 2000
/** What got no permit may ask again after this where nobody says when, ms. */
const deniedRetryMs = 50
/** Registries that are asked one after another for one permit. */
const maxRedirects = 2
/** Nobody is told to wait longer for this box's own part of a limit, ms. */
const maxOwnWaitMs = 1000

export class PermitClient {
  #host: PermitClientHost
  #queues = new Map<EndpointId, PermitQueue>()
  #calls = new Map<number, PermitQueue>()
  #callCount = 0
  /** When the first call of a row without answers was made; null while they come. */
  #silentSince: number | null = null
  #lastCallAt = -Infinity
  /** This box's own part of each limit, while it is cut off. */
  #ownShares = new Map<EndpointId, TokenBucket>()

  constructor (host: PermitClientHost) {
    this.#host = host
  }

  /** Asks for a permit for one send; `take` hears once whether there is one. */
  request (view: EndpointView, priority: number, respond: (isGiven: boolean) => void): void {
    const now = this.#host.now()
    const request = { priority, respond }
    if (this.#isCutOff(now) && now - this.#lastCallAt < cutOffRetryMs) return this.#useOwnShare(view, [request], now)
    const queue = this.#queues.get(view.id) ?? { view, call: null, sentAt: 0, redirects: 0, requested: [], waiting: [] }
    this.#queues.set(view.id, queue)
    queue.waiting.push(request)
    if (queue.call === null) this.#sendNext(queue)
  }

  /** Takes a registry's answer. */
  receive (answer: PermitAnswer): void {
    const queue = this.#calls.get(answer.call)
    if (queue === undefined) return
    this.#calls.delete(answer.call)
    switch (answer.type) {
      case 'permits':
        this.#applyClosed(answer.closed)
        return this.#settle(queue, answer.grants)
      case 'permits-elsewhere': return this.#followRedirect(queue, answer.leader)
    }
  }

  /** Gives up calls that were not answered in time. */
  check (now: number): void {
    for (const [call, queue] of this.#calls) {
      if (now - queue.sentAt < callTimeoutMs) continue
      this.#calls.delete(call)
      this.#host.setIssuer(null)
      this.#fail(queue)
    }
  }

  #sendNext (queue: PermitQueue): void {
    queue.requested = queue.waiting
    queue.waiting = []
    queue.redirects = 0
    if (queue.requested.length > 0) this.#send(queue)
    else this.#queues.delete(queue.view.id)
  }

  #send (queue: PermitQueue): void {
    const now = this.#host.now()
    const notice = this.#host.findNotice(queue.view.id)
    // The limit has ended meanwhile.
    if (notice === undefined || notice.perSecond === null) return this.#settle(queue, countWants(queue.requested).map(([priority, count]) => [priority, count, 0]))
    this.#callCount += 1
    queue.call = this.#callCount
    queue.sentAt = now
    // What failed long ago says nothing of now.
    if (now - this.#lastCallAt > failureTtlMs) this.#silentSince = null
    this.#lastCallAt = now
    this.#calls.set(queue.call, queue)
    if (this.#host.send({ type: 'ask-permits', call: queue.call, notice, wants: countWants(queue.requested) })) return
    this.#calls.delete(queue.call)
    this.#fail(queue)
  }

  #applyClosed (closed: readonly ClosedEndpoint[]): void {
    const now = this.#host.now()
    for (const [endpoint, priority, waitMs] of closed) this.#host.findView(endpoint)?.gate.noteDenied(priority, now + waitMs)
  }

  #followRedirect (queue: PermitQueue, leader: string | null): void {
    this.#host.setIssuer(leader)
    queue.redirects += 1
    if (leader === null || queue.redirects > maxRedirects) return this.#fail(queue)
    this.#send(queue)
  }

  #settle (queue: PermitQueue, grants: readonly PermitGrant[]): void {
    const now = this.#host.now()
    if (this.#silentSince !== null && this.#isCutOff(now)) this.#host.log.info('permits-back', { silentMs: Math.round(now - this.#silentSince) })
    this.#silentSince = null
    this.#ownShares.clear()
    const requests = queue.requested
    queue.requested = []
    queue.call = null
    const given = new Map(grants.map(([priority, count]) => [priority, count]))
    for (const [priority, , waitMs] of grants) if (waitMs > 0) queue.view.gate.noteDenied(priority, now + waitMs)
    for (const { priority, respond } of requests) {
      const remaining = given.get(priority) ?? 0
      given.set(priority, remaining - 1)
      respond(remaining > 0)
    }
    if (queue.call === null) this.#sendNext(queue)
  }

  #fail (queue: PermitQueue): void {
    const now = this.#host.now()
    const wasCutOff = this.#isCutOff(now)
    this.#silentSince ??= queue.sentAt === 0 ? now : queue.sentAt
    if (this.#isCutOff(now) && !wasCutOff) this.#host.log.warn('permits-silent', { boxes: this.#host.countBoxes() })
    const requests = [...queue.requested, ...queue.waiting]
    queue.requested = []
    queue.waiting = []
    queue.call = null
    this.#queues.delete(queue.view.id)
    if (this.#isCutOff(now)) return this.#useOwnShare(queue.view, requests, now)
    for (const { priority, respond } of requests) {
      queue.view.gate.noteDenied(priority, now + deniedRetryMs)
      respond(false)
    }
  }

  #isCutOff (now: number): boolean {
    return this.#silentSince !== null && now - this.#silentSince >= cutOffAfterMs
  }

  // This box's own part of the limit, which nobody else spends.
  #useOwnShare (view: EndpointView, requests: readonly PermitRequest[], now: number): void {
    const boxes = this.#host.countBoxes()
    const perSecond = boxes === 0 ? 0 : (view.gate.limit ?? 0) / boxes
    const share = this.#ownShares.get(view.id) ?? new TokenBucket(perSecond, 1, now)
    this.#ownShares.set(view.id, share)
    share.setRate(perSecond, 1, now)
    for (const { priority, respond } of [...requests].sort((a, b) => a.priority - b.priority)) {
      const isGiven = share.take(now)
      if (!isGiven) view.gate.noteDenied(priority, now + Math.min(maxOwnWaitMs, share.measureWait(now)))
      respond(isGiven)
    }
  }
}

function countWants (requests: readonly PermitRequest[]): PermitWants {
  const counts = new Map<number, number>()
  for (const { priority } of requests) counts.set(priority, (counts.get(priority) ?? 0) + 1)
  return [...counts]
}
