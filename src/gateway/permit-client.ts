/**
 * Obtains permits to send to endpoints that have a rate limit. One registry issues
 * them for all boxes. A box that reaches none uses its own share of the limit,
 * which the registry keeps free for it.
 */
import { TokenBucket } from '../core/index.js'
import type { ClosedEndpoint, EndpointId, EndpointNotice, EndpointView, PermitGrant, PermitDemand } from '../core/index.js'
import type { RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'
import type { PermitAnswer } from './registry-follower.js'

/** What the client needs from its box. */
export interface PermitClientHost {
  readonly log: EventLog
  now (): number
  /** Number of boxes that share a limit, including this one; 0 if unknown. */
  countBoxes (): number
  findView (endpoint: EndpointId): EndpointView | undefined
  findNotice (endpoint: EndpointId): EndpointNotice | undefined
  /** Sends to the registry that issues permits, or to one that may know it; false if none is reachable. */
  send (message: RouteMessage): boolean
  /** Sets the registry that issues permits; null if it is unknown. */
  setIssuer (host: string | null): void
}

/** A request for one permit; `respond` is called once with whether it was granted. */
interface PermitRequest {
  readonly priority: number
  readonly respond: (isGiven: boolean) => void
}

/** The permit requests for one endpoint: `requested` are part of the call in progress, `waiting` go into the next. */
interface PermitQueue {
  readonly view: EndpointView
  call: number | null
  sentAt: number
  redirects: number
  requested: PermitRequest[]
  waiting: PermitRequest[]
}

const callTimeoutMs = 100
/** After this long without any answer the box counts as cut off from the issuer, ms. */
const cutOffAfterMs = 1000
/** How often a box that is cut off retries the registries, ms. */
const cutOffRetryMs = 300
/** A failed call that no other call has followed for this long no longer counts, ms. */
const failureTtlMs = 2000
/** Wait after a denied permit if no registry gives a time, ms. */
const deniedRetryMs = 50
/** Redirects that are followed for one call. */
const maxRedirects = 2
/** Upper bound on the wait for this box's own share of a limit, ms. */
const maxOwnWaitMs = 1000

export class PermitClient {
  #host: PermitClientHost
  #queues = new Map<EndpointId, PermitQueue>()
  #calls = new Map<number, PermitQueue>()
  #callCount = 0
  /** When the first of the current run of unanswered calls was made; null if the last call was answered. */
  #silentSince: number | null = null
  #lastCallAt = -Infinity
  /** This box's own share of each limit, while it is cut off. */
  #ownShares = new Map<EndpointId, TokenBucket>()

  constructor (host: PermitClientHost) {
    this.#host = host
  }

  /** Requests a permit for one send; `respond` is called once with whether it was granted. */
  request (view: EndpointView, priority: number, respond: (isGiven: boolean) => void): void {
    const now = this.#host.now()
    const request = { priority, respond }
    if (this.#isCutOff(now) && now - this.#lastCallAt < cutOffRetryMs) return this.#useOwnShare(view, [request], now)
    const queue = this.#queues.get(view.id) ?? { view, call: null, sentAt: 0, redirects: 0, requested: [], waiting: [] }
    this.#queues.set(view.id, queue)
    queue.waiting.push(request)
    if (queue.call === null) this.#sendNext(queue)
  }

  /** Handles a registry's answer. */
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

  /** Fails calls that were not answered in time. */
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
    // The limit was lifted in the meantime: every request is granted.
    if (notice === undefined || notice.perSecond === null) return this.#settle(queue, countWants(queue.requested).map(([priority, count]) => [priority, count, 0]))
    this.#callCount += 1
    queue.call = this.#callCount
    queue.sentAt = now
    // Failures of long ago say nothing about the current state.
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

  // Grants from this box's own share of the limit, which no other box uses.
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

function countWants (requests: readonly PermitRequest[]): PermitDemand {
  const counts = new Map<number, number>()
  for (const { priority } of requests) counts.set(priority, (counts.get(priority) ?? 0) + 1)
  return [...counts]
}
