/** Runs a second send of a request beside the first while the endpoint of the first is suspected; `hedge-policy.ts` decides. */
import { chooseGranted } from '../core/index.js'
import type { Choice, EndpointView } from '../core/index.js'
import type { ActiveSend } from './active-send.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { EndpointSearch, Searcher } from './endpoint-search.js'
import type { ExchangeHost } from './exchange-host.js'
import type { ExchangeSends } from './exchange-sends.js'
import { findSign } from './hedges.js'
import { findHedgeTargets, findMaxBesideMs, isHung, isRaceLost, mayHedgeAt } from './hedge-policy.js'
import type { Suspicion } from './hedge-policy.js'
import type { PassedEvents } from './passed-events.js'
import type { RetryPolicy, RetryUse } from './retry-policy.js'
import { computeMaxSilenceMs } from './retry-rules.js'
import { findSuspicion } from './send-faults.js'
import type { SlotRequest } from './slot-client.js'

/** The exchange whose request is sent a second time. */
export interface HedgedExchange {
  readonly request: AdmittedRequest
  /** True once a part of the answer has been sent to the caller. */
  readonly hasBegun: boolean
  readonly events: Pick<PassedEvents, 'lastId' | 'canResume'>
}

/** Interval between attempts to start a second send, ms, and the time after one that was given up. */
const startIntervalMs = 200
const restartMs = 1000

export class Hedge<S extends Searcher> {
  #host: ExchangeHost<S>
  #exchange: HedgedExchange
  #sends: ExchangeSends<S>
  #search: EndpointSearch<S>
  #retryPolicy: RetryPolicy
  #startAt = -Infinity
  /** Why the second send was started. */
  #suspicion: Suspicion = 'silent'
  /** True once a second send was started as the answer took long: a request that is long by nature gets no other one for it. */
  #wasOverdue = false
  #isAwaitingPermit = false
  /** The request for a slot at a brittle endpoint; null while there is none. */
  #slotRequest: SlotRequest | null = null

  constructor (host: ExchangeHost<S>, exchange: HedgedExchange, sends: ExchangeSends<S>, search: EndpointSearch<S>, retryPolicy: RetryPolicy) {
    this.#host = host
    this.#exchange = exchange
    this.#sends = sends
    this.#search = search
    this.#retryPolicy = retryPolicy
  }

  /** Starts a second send if the first is suspected, or ends it if neither answers. */
  check (now: number): void {
    const { active, hedge } = this.#sends
    if (active === null) return
    if (hedge !== null) return this.#settleLate(active, hedge, now)
    if (now < this.#startAt || this.#isAwaitingPermit || this.#slotRequest !== null) return
    const suspicion = this.#findSuspicion(now)
    if (suspicion !== null) this.#start(active, suspicion, now)
  }

  /** Ends the other of two sends, as `sent` has answered. */
  settle (sent: ActiveSend): void {
    if (this.#slotRequest !== null) this.stop()
    const { active, hedge } = this.#sends
    if (hedge === null) return
    if (sent === active) return this.#giveUp(hedge, 'the first went on')
    if (active !== null) this.#replace(active)
  }

  /** Withdraws the request for a slot. */
  stop (): void {
    if (this.#slotRequest !== null) this.#host.limits.cancelSlot(this.#slotRequest)
    this.#slotRequest = null
  }

  // Null also once no second send would be wanted any more.
  #findSuspicion (now: number): Suspicion | null {
    const { active, hedge } = this.#sends
    if (active === null || hedge !== null || !this.#retryPolicy.mayRetry) return null
    const suspicion = findSuspicion(active, { fleet: this.#host.fleet, route: this.#exchange.request.route, hasBegun: this.#exchange.hasBegun }, now)
    if (suspicion === null || (suspicion === 'overdue' && this.#wasOverdue)) return null
    return this.#exchange.events.canResume ? suspicion : null
  }

  #start (active: ActiveSend, suspicion: Suspicion, now: number): void {
    const { request } = this.#exchange
    const { hedges, guard } = this.#host
    if (!hedges.hasRetry(request.service, findUse(suspicion)) || guard.isSuspect(request)) return
    const silentMs = now - active.placed.lastEventAt
    const isHungFirst = suspicion === 'silent' && isHung(silentMs)
    const signs = hedges.findSigns(request.service, suspicion, now)
    const targets = findHedgeTargets({ suspicion, silentMs, limitMs: computeMaxSilenceMs(request.route), others: this.#search.countSigns(signs) })
    const isSpare = (view: EndpointView, at: number): boolean => isHungFirst || hedges.isSpare(view, at)
    this.#suspicion = suspicion
    const spare = signs.listTargets(targets, isHungFirst ? null : view => isSpare(view, now))
    const isAnySpare = spare.some(view => this.#search.isUsable(view))
    if (isAnySpare && this.#search.needsSlot) return this.#requestSlot((view, at) => mayHedgeAt(findSign(view, suspicion, at), targets) && isSpare(view, at))
    if (isAnySpare && !hedges.takeTurn(now)) return
    this.#startAt = now + startIntervalMs
    const choice = isAnySpare ? this.#search.findSpare(spare) : null
    // One that will not answer before the race is over would be given up.
    if (choice === null || (choice.expectedMs > this.#findMaxBesideMs(choice.expectedMs) && !isHungFirst)) return
    if (choice.view.gate.tryConsumePermit(now)) this.#send(choice)
    else this.#requestPermit(choice)
  }

  #findMaxBesideMs (expectedMs: number): number { return findMaxBesideMs(this.#suspicion, this.#exchange.request.work.cost === null ? 'plain' : 'engine', expectedMs) }

  #requestPermit (choice: Choice): void {
    this.#isAwaitingPermit = true
    this.#host.limits.requestPermit(choice.view, this.#exchange.request.work, isGiven => {
      this.#isAwaitingPermit = false
      if (!isGiven) return
      const now = this.#host.now()
      const isWanted = this.#findSuspicion(now) !== null && !this.#host.fleet.isReplaced(choice.view) && !choice.view.gate.isClosed(now)
      if (isWanted) this.#send(choice)
      else choice.view.gate.storePermit(now)
    })
  }

  #requestSlot (isTarget: (view: EndpointView, at: number) => boolean): void {
    const { work, deadlineAt } = this.#exchange.request
    const request: SlotRequest = {
      work,
      until: deadlineAt,
      mayUse: view => this.#search.isUsable(view) && isTarget(view, this.#host.now()),
      respond: view => {
        this.#slotRequest = null
        if (view !== null && this.#findSuspicion(this.#host.now()) !== null) this.#send(chooseGranted(view, work))
      }
    }
    this.#slotRequest = request
    this.#startAt = this.#host.now() + startIntervalMs
    this.#host.limits.requestSlot(request)
  }

  #send (choice: Choice): void {
    const { gate } = choice.view
    if (this.#retryPolicy.tryHedge(findUse(this.#suspicion))) {
      this.#search.noteTried(choice.view)
      this.#wasOverdue ||= this.#suspicion === 'overdue'
      this.#sends.startBeside(choice, this.#exchange.events.lastId)
    } else if (gate.limit !== null) gate.storePermit(this.#host.now())
  }

  #settleLate (active: ActiveSend, hedge: ActiveSend, now: number): void {
    const { sentAt } = hedge.placed
    const race = { suspicion: this.#suspicion, besideMs: now - sentAt, maxBesideMs: this.#findMaxBesideMs(hedge.attempt.expectedMs), silentMs: now - active.placed.lastEventAt, isFirstActive: active.view.hasAnsweredSince(sentAt), isSecondActive: hedge.view.hasAnsweredSince(sentAt) }
    if (isRaceLost(race)) this.#giveUp(hedge, 'no answer in time')
  }

  #replace (active: ActiveSend): void {
    const now = this.#host.now()
    if (this.#suspicion === 'silent' || this.#suspicion === 'overdue') {
      // Other boxes are not told: they may see the endpoint answer.
      active.view.health.noteSilent(now)
      this.#host.guard.noteSendEnd(this.#exchange.request, active.view, 'silent', now - active.attempt.sentAt)
    }
    this.#sends.cancel(active, `replaced ${this.#suspicion}`)
    this.#host.hedges.noteEnd(this.#exchange.request.service, 'replaced')
  }

  // An endpoint that has run the request may run it again; another one might exceed the attempts of the route.
  #giveUp (hedge: ActiveSend, reason: string): void {
    if (hedge.call.mayHaveRun) {
      this.#retryPolicy.noteGivenUp()
      this.#search.noteGivenUp(hedge.view)
    } else this.#retryPolicy.noteNotRun()
    this.#startAt = this.#host.now() + restartMs
    this.#sends.cancel(hedge, `given up: ${reason}`)
    this.#host.hedges.noteEnd(this.#exchange.request.service, 'given-up')
  }
}

function findUse (suspicion: Suspicion): RetryUse { return suspicion === 'overdue' ? 'overdue' : 'hedge' }
