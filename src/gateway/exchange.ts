/**
 * One request from its arrival to its final answer: chooses an endpoint, sends
 * and relays. What a failure allows is decided by its `SendCourse`.
 */
import type { ServerResponse } from 'node:http'
import type { Admission, Choice, EndpointView, PromptPlan } from '../core/index.js'
import { sendRefusal } from './answers.js'
import type { Refusal } from './answers.js'
import { composeTarget } from './call-target.js'
import type { SendEvidence } from './crash-guard.js'
import { EndpointCall } from './endpoint-call.js'
import type { AnswerHead, CallFailure } from './endpoint-call.js'
import { EndpointSearch } from './endpoint-search.js'
import { EventCutter } from './event-cutter.js'
import type { NumberedEvent } from './event-cutter.js'
import type { ExchangeHost } from './exchange-host.js'
import type { Attempt, ExchangeSummary } from './exchange-summary.js'
import type { Order } from './order.js'
import { passHeaders } from './pass-headers.js'
import { PassedEvents } from './passed-events.js'
import { limitSilence } from './repeat-rules.js'
import { SendCourse } from './send-course.js'
import type { NextStep, SendEnd } from './send-course.js'
import type { Sent } from './sent.js'

type Phase = 'waiting' | 'relaying' | 'ended'

/** Answers that are not passed on event by event are held whole, up to this, bytes. */
const largestAnswer = 64 * 2 ** 20

export class Exchange {
  readonly order: Order
  #host: ExchangeHost<Exchange>
  #response: ServerResponse
  #phase: Phase = 'waiting'
  #sent: Sent | null = null
  #admission: Admission | null = null
  #attempts: Attempt[] = []
  #search: EndpointSearch<Exchange>
  #course: SendCourse
  #events: PassedEvents
  #firstAt: number | null = null
  #hasRun = false

  constructor (host: ExchangeHost<Exchange>, order: Order, response: ServerResponse) {
    this.#host = host
    this.order = order
    this.#response = response
    this.#events = new PassedEvents(order.words.lastEvent)
    this.#search = new EndpointSearch(host, this)
    this.#course = new SendCourse(order.route, () => host.takeRetry(order))
    response.on('drain', () => this.#sent?.call.resume())
  }

  get isEnded (): boolean { return this.#phase === 'ended' }
  get isBegun (): boolean { return this.#phase === 'relaying' }

  start (): void {
    this.#admission = this.#host.fleet.admit(this.order.work, this.#host.now())
    const returnMs = this.#admission?.returnMs ?? null
    if (returnMs !== null) return this.#refuse({ kind: 'overloaded', text: 'too much waits before this request', retryAfterMs: returnMs })
    this.#search.start()
  }

  /** Looks once more for room, where the exchange is held. */
  tryPlace (): void {
    this.#search.retry()
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
    if (this.#sent !== null && this.#host.fleet.hasStartedAgain(this.#sent.view)) return this.#moveOn(this.#sent, 'lost', 'the endpoint has started again')
    if (this.#sent !== null && this.#isSilent(this.#sent, now)) return this.#moveOn(this.#sent, 'broken', 'silent')
    if (this.#sent !== null && this.#isStuck(this.#sent, now)) this.#moveOn(this.#sent, 'broken', 'its zone fell silent')
  }

  // Sending.

  /** Sends to an endpoint that the search has found. */
  send ({ view, expectedMs, candidates, share, plan, isHome }: Choice, permitMs: number | null): void {
    const { order } = this
    const at = this.#host.now()
    const attempt: Attempt = { endpoint: view.id, expectedMs: Math.round(expectedMs), candidates, share, plan, isHome, sentAt: at, permitMs, end: 'open' }
    this.#attempts.push(attempt)
    this.#course.noteSend()
    const placed = view.place(order.work, plan, at)
    this.#host.fleet.noteBegun(order.work, at)
    const sent: Sent = { view, placed, attempt, call: this.#call(view, plan, at, () => sent), head: null, chunks: [], size: 0, cutter: null }
    this.#sent = sent
    this.#host.noteLoad()
  }

  #call (view: EndpointView, plan: PromptPlan, at: number, getSent: () => Sent): EndpointCall {
    const { dialect, agent } = this.#host
    const target = composeTarget(this.order, { dialect, agent, view, plan, lastEvent: this.#events.lastId, at })
    return new EndpointCall(target, dialect, {
      begin: head => this.#begin(getSent(), head),
      take: chunk => this.#take(getSent(), chunk),
      finish: () => this.#finish(getSent()),
      fail: (failure, reason) => this.#moveOn(getSent(), failure, reason)
    }, at)
  }

  /** Takes why the search found no endpoint. */
  fail (end: SendEnd): void { this.#follow(this.#course.decide(end)) }

  // Answers.

  #begin (sent: Sent, head: AnswerHead): void {
    sent.head = head
    const { words } = head
    // Another endpoint's answer says nothing of this one.
    if (words.isOtherEndpoint) return this.#noteNotRun(sent, head)
    if (words.isMarked || words.isNotRun) this.#host.limits.noteAnswer(sent.view, words.notices, !words.isNotRun)
    if (words.isNotRun) return this.#noteNotRun(sent, head)
    const isAnswer = words.isMarked && !head.isEncoded
    if (!isAnswer) return this.#moveOn(sent, 'broken', `not an answer of an endpoint (${head.status})`)
    if (head.status >= 500) return this.#noteFailed(sent, head)
    sent.view.trust.noteGood()
    this.#receive(sent, head)
  }

  // An answer of the endpoint's own that the caller is to have.
  #receive (sent: Sent, head: AnswerHead): void {
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
    const pauseMs = this.#events.add(events, now)
    if (pauseMs !== null && events.length === 1 && this.#sent !== null) this.#host.fleet.noteGap(this.#sent.view, pauseMs, now)
    return this.#response.write(events.length === 1 ? events[0].bytes : Buffer.concat(events.map(event => event.bytes)))
  }

  #noteFirst (sent: Sent): void {
    const now = this.#host.now()
    this.#firstAt ??= now
    sent.view.noteFirst(sent.placed, now)
    // A stream begins with its first event; a plain call about when it was sent.
    this.#noteRun(sent.cutter === null ? sent.attempt.sentAt : now)
    this.#host.noteLoad()
  }

  // One request counts once, wherever it goes on.
  #noteRun (at: number): void {
    if (this.#hasRun) return
    this.#hasRun = true
    this.#host.noteRun(this.order, at)
  }

  #finish (sent: Sent): void {
    if (sent.cutter !== null) return this.#finishStream(sent, sent.cutter)
    const { head } = sent
    if (head === null) return
    this.#release(sent, 'done')
    this.#noteSendEnd(sent, 'answered')
    const next = this.#course.decide({ type: 'answered', status: head.status })
    if (next.type !== 'pass') return this.#follow(next)
    const body = Buffer.concat(sent.chunks)
    this.#response.writeHead(head.status, passHeaders(head, body.length))
    this.#response.end(body)
    this.#end(head.status < 400 ? 'ok' : 'endpoint-status', head.status)
  }

  #finishStream (sent: Sent, cutter: EventCutter): void {
    if (cutter.isInside) return this.#moveOn(sent, 'broken', 'the stream ended inside an event')
    this.#openStream(sent)
    this.#release(sent, 'done')
    this.#noteSendEnd(sent, 'answered')
    this.#response.end()
    this.#end('ok', 200)
  }

  // Failures.

  #noteNotRun (sent: Sent, head: AnswerHead): void {
    const { isOtherEndpoint } = head.words
    if (isOtherEndpoint) sent.view.trust.noteUnreachable(this.#host.now())
    else sent.view.trust.noteGood()
    this.#dropSent(sent, `not-run ${head.status}`)
    const at = this.#host.now()
    const openMs = Math.max(0, this.#host.fleet.findOpening(this.order.work, [], at) - at)
    this.#follow(this.#course.decide({ type: 'not-run', isOther: isOtherEndpoint, openMs: Number.isFinite(openMs) ? openMs : 0 }))
  }

  #noteFailed (sent: Sent, head: AnswerHead): void {
    sent.view.trust.noteFailure()
    this.#noteRun(sent.attempt.sentAt)
    this.#noteSendEnd(sent, 'answered')
    const next = this.#course.decide({ type: 'failed' })
    if (next.type === 'pass') return this.#receive(sent, head)
    this.#dropSent(sent, `failed ${head.status}`)
    this.#follow(next)
  }

  // Leaves an endpoint, and goes to another where that is allowed.
  #moveOn (sent: Sent, failure: CallFailure, reason: string): void {
    if (this.#phase === 'ended' || this.#sent !== sent) return
    const at = this.#host.now()
    if (failure === 'unreachable') sent.view.trust.noteUnreachable(at)
    else sent.view.trust.noteBroken(at)
    if (failure !== 'unreachable') this.#noteSendEnd(sent, failure)
    this.#dropSent(sent, `${failure} ${reason}`)
    this.#follow(this.#course.decide({ type: 'broke', failure, reason }))
  }

  #noteSendEnd (sent: Sent, end: SendEvidence): void {
    this.#host.guard.noteSendEnd(this.order, sent.view, end, this.#host.now() - sent.attempt.sentAt)
  }

  #giveUp (): void {
    const wasWritten = this.#sent?.call.mayHaveRun ?? false
    if (this.#sent !== null && wasWritten) this.#noteSendEnd(this.#sent, 'silent')
    this.#dropCall('given up')
    this.#follow(this.#course.decide({ type: 'given-up', wasWritten }))
  }

  #follow (next: NextStep): void {
    switch (next.type) {
      case 'pass': return
      case 'send': return this.#search.start()
      case 'refuse': return this.#refuse(next.refusal)
    }
  }

  // An answer that has not begun is looked for elsewhere where the endpoint's zone can't be heard any more.
  #isStuck (sent: Sent, now: number): boolean {
    if (!this.#course.mayLeave || sent.placed.firstAt !== null || !sent.call.mayHaveRun) return false
    return this.#host.fleet.zones.isCut(sent.view.record.zone, now)
  }

  #isSilent (sent: Sent, now: number): boolean {
    if (!this.#course.mayLeave || sent.cutter === null || this.#phase !== 'relaying') return false
    return now - sent.placed.heardAt > limitSilence(this.order.route)
  }

  // An answer that has begun can only break off.
  #refuse (refusal: Refusal): void {
    if (this.#phase === 'relaying') return this.cut()
    sendRefusal(this.#response, refusal, this.#host.dialect)
    this.#end(refusal.kind, this.#response.statusCode)
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
    this.#search.stop()
    this.#phase = 'ended'
    const { order } = this
    this.#host.noteEnd(this, {
      order,
      outcome,
      status,
      admission: this.#admission,
      attempts: this.#attempts,
      firstMs: this.#firstAt === null ? null : this.#firstAt - order.arrivedAt,
      totalMs: this.#host.now() - order.arrivedAt,
      events: this.#events.count,
      longestPauseMs: this.#events.longestPauseMs,
      denied: this.#search.denied,
      closedMs: this.#search.closedMs
    })
  }
}
