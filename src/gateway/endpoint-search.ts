/**
 * Finds an endpoint for one request, and again after each failed send: chooses
 * one, waits for room, and obtains a permit if the endpoint has a rate limit.
 */
import { chooseGranted, filterViews } from '../core/index.js'
import type { Choice, EndpointFilter, EndpointId, EndpointView } from '../core/index.js'
import type { ExchangeHost } from './exchange-host.js'
import type { AdmittedRequest } from './admitted-request.js'
import { countSigns, subtractSigns } from './hedge-policy.js'
import type { SignCounts } from './hedge-policy.js'
import type { ServiceSigns } from './hedges.js'
import type { SendOutcome } from './retry-policy.js'
import type { SlotRequest } from './slot-client.js'
import type { VersionPin } from './version-pin.js'

/** Time that a search spent on a permit for a rate-limited endpoint and on a slot of a brittle one, ms; null if none was needed. */
export interface SearchWaits {
  readonly permitMs: number | null
  readonly slotMs: number | null
}

/** The request that searches for an endpoint, with the callbacks of its search. */
export interface Searcher {
  readonly request: AdmittedRequest
  readonly isEnded: boolean
  /** True once a part of the answer has been sent to the caller. */
  readonly hasBegun: boolean
  /** True if the route allows the request to run at another endpoint. */
  readonly mayUseAnother: boolean
  /** The version at which its stream began. */
  readonly pin: Pick<VersionPin, 'origin' | 'mayUse' | 'findState' | 'noteNotMoved'>
  /** Called with the endpoint found. */
  send (choice: Choice, waits: SearchWaits): void
  /** Called if no endpoint accepts the request. */
  fail (outcome: SendOutcome): void
}

export class EndpointSearch<S extends Searcher> {
  #host: ExchangeHost<S>
  #searcher: S
  #tried: EndpointId[] = []
  /** Endpoints at which a second send was given up after it may have begun to run. */
  #givenUp: EndpointId[] = []
  #isQueued = false
  #isAwaitingPermit = false
  /** The request for a slot at a brittle endpoint; null while there is none. */
  #slotRequest: SlotRequest | null = null
  /** Time spent on the slot that was granted last, ms. */
  #slotMs: number | null = null
  #denied = 0
  #maxClosedMs = 0

  constructor (host: ExchangeHost<S>, searcher: S) {
    this.#host = host
    this.#searcher = searcher
  }

  /** Number of permits denied, and the longest time until an endpoint would accept requests again, ms, over all searches that found none open; 0 if there was none. */
  get figures (): { readonly denied: number, readonly maxClosedMs: number } { return { denied: this.#denied, maxClosedMs: this.#maxClosedMs } }

  /** Searches for an endpoint that has not been tried yet. */
  start (): void {
    const { request } = this.#searcher
    const end = this.#findEnd()
    if (end !== null) return this.#fail(end)
    const at = this.#host.now()
    const version = this.#searcher.pin.findState(this.#host.fleet.listViews(request.service))
    if (version !== 'serving') return this.#fail({ type: 'no-version', isGone: version === 'gone' })
    const decision = this.#host.guard.decide(request)
    if (decision.type === 'refused') return this.#searcher.fail({ ...decision, type: 'quarantined' })
    if (this.#isLastSend) this.#host.fleet.plain.noteLastSend(request.work)
    const waitedMs = this.#isPlainOrdered && this.#isCommitted ? 0 : at - request.arrivedAt
    const filter = this.#restrict(this.#host.guard.composeFilter(decision))
    if (this.#host.fleet.findUsable(request.service, at).isBrittle) return this.#requestSlot(filter, at)
    const choice = this.#host.fleet.choose(request.work, this.#tried, at, this.#host.draw(), waitedMs, filter)
    if (choice === 'later' || (choice === 'late' && this.#isCommitted)) return this.#enqueue()
    if (choice === 'late') return this.#fail({ type: 'closed', retryAfterMs: this.#host.fleet.plain.explain(request.work)?.retryAfterMs ?? 0 })
    if (choice === 'closed') return this.#handleClosed(at)
    if (typeof choice === 'string') return this.#fail({ type: 'unplaced', why: choice })
    this.#obtainPermit(choice, at)
  }

  /** True if the service has brittle endpoints, at which a slot must be requested. */
  get needsSlot (): boolean { return this.#host.fleet.findUsable(this.#searcher.request.service, this.#host.now()).isBrittle }

  /** True if the request may be sent to an endpoint: it was not tried, or a second send there was given up. */
  isUsable ({ id, record }: EndpointView): boolean {
    return this.#searcher.pin.mayUse(record) && (this.#givenUp.includes(id) || (this.#searcher.mayUseAnother && !this.#tried.includes(id)))
  }

  /** Counts the endpoints that the request may be sent to by their signs. */
  countSigns (signs: ServiceSigns): SignCounts {
    if (!this.#searcher.mayUseAnother) return countSigns(signs.list(this.#givenUp))
    if (this.#searcher.pin.origin !== null) return countSigns(signs.list(this.#listUsable().map(({ id }) => id)))
    return subtractSigns(signs.counts, signs.list(this.#tried))
  }

  /** Chooses an endpoint for a second send among `views`; null if none has room at once. */
  findSpare (views: readonly EndpointView[]): Choice | null {
    const spare = new Set(views.filter(view => this.isUsable(view)).map(({ id }) => id))
    const choice = this.#host.fleet.choose(this.#searcher.request.work, this.#tried, this.#host.now(), this.#host.draw(), 0, { key: null, avoided: new Set(), mayUse: ({ id }) => spare.has(id) })
    return typeof choice === 'string' ? null : choice
  }

  /** Notes that a send did not get as far as its endpoint: a relay did not forward it. */
  noteUntried (view: EndpointView): void { this.#tried = this.#tried.filter(id => id !== view.id) }

  /** Notes that a second send was given up: its endpoint may be sent the request again. */
  noteGivenUp (view: EndpointView): void {
    this.noteUntried(view)
    this.#givenUp.push(view.id)
  }

  /** Notes that the request was sent to an endpoint that another search had found. */
  noteTried (view: EndpointView): void {
    this.#givenUp = this.#givenUp.filter(id => id !== view.id)
    this.#tried.push(view.id)
  }

  /**
   * Notes that an endpoint refused the request as full. Where plain calls wait for a free slot, the endpoint may be tried
   * again once its load can have changed.
   */
  noteFull (view: EndpointView): void {
    const { work } = this.#searcher.request
    if (!this.#isPlainOrdered) return
    this.#host.fleet.plain.noteRefused(view, work, this.#host.now())
    this.#tried = this.#tried.filter(id => id !== view.id)
  }

  /** Time until any endpoint accepts the request, tried or not, ms; 0 if none is known to. */
  measureClosedMs (): number {
    const at = this.#host.now()
    const closedMs = this.#host.fleet.findOpenTime(this.#searcher.request.work, [], at) - at
    return Number.isFinite(closedMs) ? Math.max(0, closedMs) : 0
  }

  #listUsable (): EndpointView[] { return this.#host.fleet.listViews(this.#searcher.request.service).filter(view => this.isUsable(view)) }

  // A stream goes on only at the version that began it. Once its attempts are used up, a request may run again only at an endpoint where a second send was given up.
  #restrict (filter: EndpointFilter | null): EndpointFilter | null {
    const { pin, mayUseAnother } = this.#searcher
    const isGivenUpOnly = this.#givenUp.length > 0 && !mayUseAnother
    if (pin.origin === null && !isGivenUpOnly) return filter
    return {
      key: isGivenUpOnly ? null : filter?.key ?? null,
      avoided: isGivenUpOnly || filter === null ? new Set() : filter.avoided,
      isRestriction: filter === null && !isGivenUpOnly,
      mayUse: record => pin.mayUse(record) && (!isGivenUpOnly || this.#givenUp.includes(record.id)) && (filter?.mayUse(record) ?? true)
    }
  }

  // True for a plain call while the measures against contention are on.
  get #isPlainOrdered (): boolean { return this.#searcher.request.work.cost === null && this.#host.fleet.contention.isOn }

  // True for a plain call that is not sent again if an endpoint refuses it as full.
  get #isLastSend (): boolean {
    const { request } = this.#searcher
    if (request.work.cost !== null) return false
    return this.#isPlainOrdered ? request.route.mostAttempts <= 1 : !this.#host.hasRetry(request)
  }

  // An endpoint may have run it, so "not run" would not be true: it is sent again even if its answer will be late.
  get #isCommitted (): boolean { return this.#searcher.hasBegun || this.#tried.length > 0 }

  /** Repeats the search if the request is queued. */
  retry (): void {
    if (this.#isQueued && !this.#isAwaitingPermit) this.start()
  }

  /** Removes the request from the queue. */
  stop (): void {
    if (this.#slotRequest !== null) this.#host.limits.cancelSlot(this.#slotRequest)
    this.#slotRequest = null
    if (!this.#isQueued) return
    this.#isQueued = false
    this.#host.dequeue(this.#searcher)
  }

  // Why the request may no longer be sent; null if it may. To be asked after each wait.
  #findEnd (): SendOutcome | null {
    const { request, hasBegun } = this.#searcher
    if (this.#host.now() >= request.deadlineAt) return { type: 'given-up', wasWritten: false }
    return hasBegun || this.#host.canFinish(request) ? null : { type: 'leaving', wasWritten: false }
  }

  #enqueue (): void {
    if (this.#isQueued) return
    this.#isQueued = true
    this.#host.enqueue(this.#searcher)
  }

  // Refused at once if it is not expected to get a slot within its target.
  #requestSlot (filter: EndpointFilter | null, at: number): void {
    if (this.#slotRequest !== null) return
    const { work, arrivedAt, deadlineAt } = this.#searcher.request
    const until = this.#isCommitted ? deadlineAt : arrivedAt + work.targetMs
    const decision = this.#host.limits.decideClosed(work, at, until, at)
    if (decision.type === 'retry' && !this.#isCommitted) return this.#fail({ type: 'closed', retryAfterMs: decision.afterMs })
    const request: SlotRequest = {
      work,
      until,
      mayUse: view => filter === null || filterViews([view], filter).length > 0,
      respond: view => {
        this.#slotRequest = null
        const end = this.#findEnd()
        if (end !== null) return this.#fail(end)
        if (view === null) return this.#handleNoSlot(until)
        this.#slotMs = this.#host.now() - at
        this.#obtainPermit(chooseGranted(view, work), this.#host.now())
      }
    }
    this.#slotRequest = request
    this.#host.limits.requestSlot(request)
  }

  #handleNoSlot (until: number): void {
    const at = this.#host.now()
    const decision = this.#host.limits.decideClosed(this.#searcher.request.work, at, until, at)
    this.#fail({ type: 'closed', retryAfterMs: decision.type === 'retry' ? decision.afterMs : 0 })
  }

  #obtainPermit (choice: Choice, at: number): void {
    if (choice.view.gate.tryConsumePermit(at)) this.#accept(choice, null)
    else this.#requestPermit(choice, at)
  }

  #requestPermit (choice: Choice, requestedAt: number): void {
    this.#isAwaitingPermit = true
    this.#host.limits.requestPermit(choice.view, this.#searcher.request.work, isGiven => {
      this.#isAwaitingPermit = false
      const at = this.#host.now()
      const isWanted = !this.#searcher.isEnded && this.#findEnd() === null && !this.#host.fleet.isReplaced(choice.view) && !choice.view.gate.isClosed(at)
      if (isGiven && isWanted) return this.#accept(choice, at - requestedAt)
      if (isGiven) choice.view.gate.storePermit(at)
      else this.#denied += 1
      if (!this.#searcher.isEnded) this.start()
    })
  }

  // A request whose answer has begun waits until its deadline, others only until their target time.
  #handleClosed (at: number): void {
    const { work, arrivedAt, deadlineAt } = this.#searcher.request
    const waitUntil = this.#searcher.hasBegun ? deadlineAt : arrivedAt + work.targetMs
    const openAt = this.#host.fleet.findOpenTime(work, this.#tried, at)
    this.#maxClosedMs = Math.max(this.#maxClosedMs, openAt - at)
    const decision = this.#host.limits.decideClosed(work, openAt, waitUntil, at)
    switch (decision.type) {
      case 'wait': return this.#enqueue()
      case 'retry': return this.#fail({ type: 'closed', retryAfterMs: decision.afterMs })
    }
  }

  #accept (choice: Choice, permitMs: number | null): void {
    this.stop()
    this.noteTried(choice.view)
    this.#searcher.send(choice, { permitMs, slotMs: this.#slotMs })
    this.#slotMs = null
  }

  #fail (outcome: SendOutcome): void {
    this.stop()
    this.#searcher.pin.noteNotMoved(outcome.type)
    this.#searcher.fail(outcome)
  }
}
