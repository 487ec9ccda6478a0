/**
 * One request from its arrival to its final answer: chooses an endpoint, sends,
 * relays, and decides what a failure allows. A request that may not be repeated
 * goes elsewhere only where no byte of it was written, or the endpoint said
 * that it did not run it. "Not run" is said to a caller on the same grounds.
 */
import type { ServerResponse } from 'node:http'
import type { EndpointId, EndpointView, ErrorKind, Fleet, Placed, PromptPlan } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import { sendRefusal } from './answers.js'
import type { EndpointAgent } from './endpoint-agent.js'
import { EndpointCall } from './endpoint-call.js'
import type { AnswerHead, CallFailure } from './endpoint-call.js'
import { EventCutter } from './event-cutter.js'
import type { NumberedEvent } from './event-cutter.js'
import type { Attempt, ExchangeSummary } from './exchange-summary.js'
import type { Order } from './order.js'
import { passHeaders } from './pass-headers.js'
import { allowSend, limitSilence, mayGoOn, mayRepeat } from './repeat-rules.js'
import type { SendCount } from './repeat-rules.js'

/** What an exchange needs of its box. */
export interface ExchangeHost {
  readonly dialect: Dialect
  readonly fleet: Fleet
  readonly agent: EndpointAgent
  now (): number
  /** A number from 0 up to 1. */
  draw (): number
  /** Takes one second send from the retry budget. */
  takeRetry (order: Order): boolean
  /** The work at the endpoints has changed. */
  noteLoad (): void
  /** Holds the exchange until `tryPlace` finds room for it. */
  hold (exchange: Exchange): void
  /** The exchange waits no more. */
  unhold (exchange: Exchange): void
  noteEnd (exchange: Exchange, summary: ExchangeSummary): void
}

type Phase = 'waiting' | 'relaying' | 'ended'

interface Sent {
  readonly call: EndpointCall
  readonly view: EndpointView
  readonly placed: Placed
  readonly attempt: Attempt
  head: AnswerHead | null
  chunks: Buffer[]
  size: number
  cutter: EventCutter | null
}

/** Answers that are not passed on event by event are held whole, up to this, bytes. */
const largestAnswer = 64 * 2 ** 20
/** Statuses that promise a caller that its request did not run and never will. */
const promisingStatuses = new Set([408, 421, 429, 503])
/** When a caller is to come back where an endpoint was full, ms: about a place's time to come free. */
const fullRetryMs = 250
/** When a caller is to come back where no endpoint can be used, ms: about the time until one is tried again. */
const noneRetryMs = 400

export class Exchange {
  readonly order: Order
  #host: ExchangeHost
  #response: ServerResponse
  #phase: Phase = 'waiting'
  #isHeld = false
  #sent: Sent | null = null
  #attempts: Attempt[] = []
  #tried: EndpointId[] = []
  #unreachable = 0
  #mayHaveRun = false
  #lastEvent: string | null
  #events = 0
  #firstAt: number | null = null
  #eventAt = 0
  #longestPauseMs = 0

  constructor (host: ExchangeHost, order: Order, response: ServerResponse) {
    this.#host = host
    this.order = order
    this.#response = response
    this.#lastEvent = order.words.lastEvent
    response.on('drain', () => this.#sent?.call.resume())
  }

  get isEnded (): boolean { return this.#phase === 'ended' }

  start (): void {
    const returnMs = this.#host.fleet.findReturn(this.order.work, this.#host.now())
    if (returnMs !== null) return this.#refuse('overloaded', 'too much waits before this request', returnMs)
    this.#send()
  }

  /** Looks once more for room, where the exchange is held. */
  tryPlace (): void {
    if (this.#isHeld) this.#send()
  }

  /** The caller is gone: whatever runs for it is called off. */
  leave (): void {
    if (this.#phase === 'ended') return
    this.#dropCall('left')
    this.#end('left', 0)
  }

  /** The box stops: a begun answer ends as one that broke off. */
  cut (): void {
    if (this.#phase === 'ended') return
    this.#dropCall('cut')
    this.#response.destroy()
    this.#end('cut', 0)
  }

  /** Looks at the time: connections that don't come about, streams that went silent, requests to be given up. */
  check (now: number): void {
    if (this.#phase === 'ended') return
    if (now >= this.order.holdUntil) return this.#giveUp()
    this.#sent?.call.check(now)
    if (this.#sent !== null && this.#isSilent(this.#sent, now)) return this.#moveOn(this.#sent, 'broken', 'silent')
    if (this.#sent !== null && this.#isStuck(this.#sent, now)) this.#moveOn(this.#sent, 'broken', 'its zone fell silent')
  }

  // Sending.

  #send (): void {
    const { order } = this
    const at = this.#host.now()
    const choice = this.#host.fleet.choose(order.work, this.#tried, at, this.#host.draw(), at - order.arrivedAt)
    if (choice === 'later') return this.#hold()
    this.#unhold()
    if (typeof choice === 'string') return this.#refuseUnplaced(choice)
    const { view, expectedMs, candidates, share, plan, isHome } = choice
    const attempt: Attempt = { endpoint: view.id, expectedMs: Math.round(expectedMs), candidates, share, plan, isHome, sentAt: at, end: 'open' }
    this.#attempts.push(attempt)
    this.#tried.push(view.id)
    const placed = view.place(order.work, plan, at)
    const sent: Sent = { view, placed, attempt, call: this.#call(view, plan, at, () => sent), head: null, chunks: [], size: 0, cutter: null }
    this.#sent = sent
    this.#host.noteLoad()
  }

  #hold (): void {
    if (this.#isHeld) return
    this.#isHeld = true
    this.#host.hold(this)
  }

  #unhold (): void {
    if (!this.#isHeld) return
    this.#isHeld = false
    this.#host.unhold(this)
  }

  #call (view: EndpointView, { fetch }: PromptPlan, at: number, getSent: () => Sent): EndpointCall {
    const { order } = this
    const headers = this.#host.dialect.composeRequest(order.rawHeaders, {
      requestId: order.words.requestId,
      deadlineMs: order.holdUntil - at,
      endpoint: view.id,
      workspace: order.workspace?.name ?? null,
      priority: order.work.cost === null ? null : order.work.priority,
      fetchFrom: fetch === null ? null : `${fetch.from.record.host}:${fetch.from.record.port}`,
      lastEvent: this.#lastEvent
    })
    const { host, port } = view.record
    const target = { host, port, agent: this.#host.agent, method: order.method, path: order.url, headers, body: order.body, requestId: order.words.requestId }
    return new EndpointCall(target, this.#host.dialect, {
      begin: head => this.#begin(getSent(), head),
      take: chunk => this.#take(getSent(), chunk),
      finish: () => this.#finish(getSent()),
      fail: (failure, reason) => this.#noteFailure(getSent(), failure, reason)
    }, at)
  }

  #refuseUnplaced (why: 'none-known' | 'none-usable'): void {
    if (this.#mayHaveRun) return this.#refuse('engine-failed', 'no other endpoint could be tried')
    this.#refuse('no-engine', why === 'none-known' ? 'the service has no endpoint' : 'no endpoint of the service can be used now', noneRetryMs)
  }

  // Answers.

  #begin (sent: Sent, head: AnswerHead): void {
    const { view } = sent
    sent.head = head
    if (head.words.isNotRun) return this.#noteNotRun(sent, head)
    const isAnswer = head.words.isMarked && !head.isEncoded
    if (!isAnswer) return this.#moveOn(sent, 'broken', `not an answer of an endpoint (${head.status})`)
    if (head.status >= 500) {
      view.trust.noteFailure()
      if (mayRepeat(this.order.route) && this.#isAnotherAllowed()) return this.#sendElsewhere(sent, `failed ${head.status}`)
    } else {
      view.trust.noteGood()
    }
    const isStream = this.order.route.kind === 'events' && head.status === 200
    // What has begun can only go on as a stream.
    if (this.#phase === 'relaying' && !isStream) return this.cut()
    if (isStream) sent.cutter = new EventCutter()
    else this.#noteFirst(sent)
  }

  #take (sent: Sent, chunk: Buffer): boolean {
    sent.placed.heardAt = this.#host.now()
    if (sent.cutter !== null) return this.#relay(sent, sent.cutter, chunk)
    sent.chunks.push(chunk)
    sent.size += chunk.length
    if (sent.size > largestAnswer) this.#moveOn(sent, 'broken', 'the answer is too large')
    return true
  }

  // Events are passed on whole and at once; the head goes with the first.
  #relay (sent: Sent, cutter: EventCutter, chunk: Buffer): boolean {
    let events
    try {
      events = cutter.push(chunk)
    } catch (error) {
      this.#moveOn(sent, 'broken', (error as Error).message)
      return true
    }
    if (events.length === 0) return true
    if (sent.placed.firstAt === null) this.#noteFirst(sent)
    this.#openStream(sent)
    return this.#writeEvents(events)
  }

  #openStream (sent: Sent): void {
    if (this.#phase === 'relaying' || sent.head === null) return
    this.#phase = 'relaying'
    this.#response.writeHead(sent.head.status, passHeaders(sent.head, null))
  }

  #writeEvents (events: readonly NumberedEvent[]): boolean {
    const now = this.#host.now()
    if (this.#events > 0) this.#longestPauseMs = Math.max(this.#longestPauseMs, now - this.#eventAt)
    if (this.#events > 0 && events.length === 1) this.#sent?.view.noteGap(now - this.#eventAt, now)
    this.#eventAt = now
    this.#events += events.length
    for (const { id } of events) this.#lastEvent = id ?? this.#lastEvent
    return this.#response.write(events.length === 1 ? events[0].bytes : Buffer.concat(events.map(event => event.bytes)))
  }

  #noteFirst (sent: Sent): void {
    const now = this.#host.now()
    this.#firstAt ??= now
    sent.view.noteFirst(sent.placed, now)
    this.#host.noteLoad()
  }

  #finish (sent: Sent): void {
    if (sent.cutter !== null) return this.#finishStream(sent, sent.cutter)
    const { head } = sent
    if (head === null) return
    this.#release(sent, 'done')
    // The endpoint ran it: its status must not promise the caller the contrary.
    if (promisingStatuses.has(head.status)) {
      this.#mayHaveRun = true
      return this.#refuse('engine-failed', `the endpoint answered ${head.status}`)
    }
    const body = Buffer.concat(sent.chunks)
    this.#response.writeHead(head.status, passHeaders(head, body.length))
    this.#response.end(body)
    this.#end(head.status < 400 ? 'ok' : 'endpoint-status', head.status)
  }

  #finishStream (sent: Sent, cutter: EventCutter): void {
    if (cutter.isInside) return this.#noteFailure(sent, 'broken', 'the stream ended inside an event')
    this.#openStream(sent)
    this.#release(sent, 'done')
    this.#response.end()
    this.#end('ok', 200)
  }

  // Failures.

  #noteNotRun (sent: Sent, head: AnswerHead): void {
    const { view } = sent
    const at = this.#host.now()
    if (head.words.isOtherEndpoint) view.trust.noteUnreachable(at)
    else view.trust.noteGood()
    if (head.words.isOtherEndpoint) this.#unreachable += 1
    this.#dropSent(sent, `not-run ${head.status}`)
    if (this.#isAnotherAllowed()) return this.#send()
    if (this.#mayHaveRun) return this.#refuse('engine-failed', 'an earlier send broke, and another endpoint is full')
    this.#refuse('overloaded', 'the endpoint is full', fullRetryMs)
  }

  #noteFailure (sent: Sent, failure: CallFailure, reason: string): void {
    if (this.#phase === 'ended' || this.#sent !== sent) return
    this.#moveOn(sent, failure, reason)
  }

  // The endpoint ran the request and said so; another may be asked as well.
  #sendElsewhere (sent: Sent, how: string): void {
    this.#mayHaveRun = true
    this.#dropSent(sent, how)
    this.#send()
  }

  // Leaves an endpoint, and goes to another where that is allowed.
  #moveOn (sent: Sent, failure: CallFailure, reason: string): void {
    const at = this.#host.now()
    if (failure === 'unreachable') {
      this.#unreachable += 1
      sent.view.trust.noteUnreachable(at)
    } else {
      this.#mayHaveRun = true
      sent.view.trust.noteBroken(at)
    }
    this.#dropSent(sent, `${failure} ${reason}`)
    if (mayGoOn(this.order.route, failure, this.#mayHaveRun) && this.#isAnotherAllowed()) return this.#send()
    if (this.#mayHaveRun) return this.#refuse('engine-failed', `the endpoint failed: ${reason}`)
    this.#refuse('no-engine', 'no endpoint could be reached', noneRetryMs)
  }

  #giveUp (): void {
    const sent = this.#sent
    if (sent !== null) {
      this.#mayHaveRun ||= sent.call.mayHaveRun
      this.#dropSent(sent, 'given up')
    }
    if (this.#mayHaveRun) return this.#refuse('engine-timeout', 'the endpoint did not answer in time')
    this.#refuse('overloaded', 'no endpoint took the request in time', noneRetryMs)
  }

  get #sendCount (): SendCount { return { attempts: this.#attempts.length, unreachable: this.#unreachable } }

  // Takes what another send costs from the retry budget.
  #isAnotherAllowed (): boolean {
    switch (allowSend(this.order.route, this.#sendCount)) {
      case 'no': return false
      case 'free': return true
      case 'paid': return this.#host.takeRetry(this.order)
    }
  }

  // What costs nothing to ask: whether a request that was sent may go elsewhere.
  get #mayLeave (): boolean {
    return mayRepeat(this.order.route) && allowSend(this.order.route, this.#sendCount) !== 'no'
  }

  // An answer that has not begun is looked for elsewhere where the endpoint's zone can't be heard any more.
  #isStuck (sent: Sent, now: number): boolean {
    if (!this.#mayLeave || sent.placed.firstAt !== null || !sent.call.mayHaveRun) return false
    return this.#host.fleet.zones.isCut(sent.view.record.zone, now)
  }

  #isSilent (sent: Sent, now: number): boolean {
    if (!this.#mayLeave || sent.cutter === null || this.#phase !== 'relaying') return false
    return now - sent.placed.heardAt > limitSilence(this.order.route)
  }

  // An answer that has begun can only break off.
  #refuse (kind: ErrorKind, text: string, retryAfterMs?: number): void {
    if (this.#phase === 'relaying') return this.cut()
    sendRefusal(this.#response, { kind, text, retryAfterMs }, this.#host.dialect)
    this.#end(kind, this.#response.statusCode)
  }

  // Ends.

  #dropCall (how: string): void {
    if (this.#sent !== null) this.#dropSent(this.#sent, how)
  }

  #dropSent (sent: Sent, how: string): void {
    sent.call.cancel()
    this.#release(sent, how)
  }

  #release (sent: Sent, how: string): void {
    if (this.#sent === sent) this.#sent = null
    sent.attempt.end = how
    sent.view.remove(sent.placed, this.#host.now())
    this.#host.noteLoad()
  }

  #end (outcome: ExchangeSummary['outcome'], status: number): void {
    if (this.#phase === 'ended') return
    this.#unhold()
    this.#phase = 'ended'
    const { order } = this
    this.#host.noteEnd(this, {
      order,
      outcome,
      status,
      attempts: this.#attempts,
      firstMs: this.#firstAt === null ? null : this.#firstAt - order.arrivedAt,
      totalMs: this.#host.now() - order.arrivedAt,
      events: this.#events,
      longestPauseMs: this.#longestPauseMs
    })
  }
}
