/**
 * One request from its arrival to its final answer: finds an endpoint, sends the
 * request and relays the answer. `RetryPolicy` decides what follows a failure,
 * `Hedge` what follows a suspicion.
 */
import type { ServerResponse } from 'node:http'
import { decidePlainAnswer } from '../core/index.js'
import type { Admission, Choice } from '../core/index.js'
import type { AnswerBuffer } from './answer-buffer.js'
import { explainRefusal, sendRefusal } from './answers.js'
import type { Refusal } from './answers.js'
import { CallerReturn } from './caller-return.js'
import type { AnswerHead, CallFailure, FailedPart } from './endpoint-call.js'
import { EndpointSearch } from './endpoint-search.js'
import type { SearchWaits } from './endpoint-search.js'
import { EventSplitter } from './event-splitter.js'
import type { StreamEvent } from './event-splitter.js'
import type { ExchangeHost } from './exchange-host.js'
import { ExchangeSends } from './exchange-sends.js'
import { Hedge } from './hedge.js'
import type { CutReason, ExchangeSummary } from './exchange-summary.js'
import type { AdmittedRequest } from './admitted-request.js'
import { PassedEvents } from './passed-events.js'
import { RetryPolicy } from './retry-policy.js'
import type { NextStep, SendOutcome } from './retry-policy.js'
import { RunReport } from './run-report.js'
import { VersionPin } from './version-pin.js'
import { noteGaps, resumeSend } from './active-send.js'
import type { ActiveSend } from './active-send.js'

/** `delivering`: the whole answer has arrived, and the caller is still reading it. */
type Phase = 'waiting' | 'relaying' | 'delivering' | 'ended'

export class Exchange {
  readonly request: AdmittedRequest
  #host: ExchangeHost<Exchange>
  #response: ServerResponse
  #answer: AnswerBuffer
  #phase: Phase = 'waiting'
  #admission: Admission | null = null
  #sends: ExchangeSends<Exchange>
  #search: EndpointSearch<Exchange>
  #retryPolicy: RetryPolicy
  #hedge: Hedge<Exchange>
  #callerReturn: CallerReturn
  readonly events: PassedEvents
  readonly pin: VersionPin
  #run: RunReport<Exchange>
  /** Why the answer is truncated if the last failure ends the exchange. */
  #failure: CutReason = 'endpoint-failed'

  constructor (host: ExchangeHost<Exchange>, request: AdmittedRequest, response: ServerResponse) {
    this.#host = host
    this.request = request
    this.#response = response
    this.events = new PassedEvents(request.headers.lastEvent)
    this.#run = new RunReport(host, request)
    this.pin = new VersionPin(host.origins, request)
    this.#sends = new ExchangeSends(host, request, {
      receiveHead: (sent, head) => this.#receiveHead(sent, head),
      receiveChunk: (sent, chunk) => this.#receiveChunk(sent, chunk),
      finish: sent => this.#handleCallEnd(sent),
      fail: (sent, failure, reason, part, cause) => this.#failOver(sent, failure, reason, part, cause),
      handleError: error => this.#handleError(error)
    })
    this.#search = new EndpointSearch(host, this)
    this.#callerReturn = new CallerReturn(host, request)
    this.#retryPolicy = new RetryPolicy(request.route, use => host.takeRetry(request, use), (notBeforeMs, defaultMs) => this.#callerReturn.planFull(notBeforeMs, defaultMs))
    this.#hedge = new Hedge(host, this, this.#sends, this.#search, this.#retryPolicy)
    this.#answer = host.answers.open({ request, drop: () => this.#drop(), resumeReceiving: () => resumeSend(this.#sends.active, host.now()) }, response)
  }

  get isEnded (): boolean { return this.#phase === 'ended' }
  get hasBegun (): boolean { return this.#phase === 'relaying' }
  get mayUseAnother (): boolean { return this.#retryPolicy.mayUseAnother }

  start (): void { this.#step(() => this.#admit()) }

  #admit (): void {
    this.#callerReturn.noteArrival()
    this.#admission = this.#host.fleet.admit(this.request.work, this.#host.now())
    const admission = this.#admission
    if (admission !== null && admission.retryAfterMs !== null && !this.#callerReturn.mayExceedShare(admission)) {
      return this.#refuse({ kind: 'overloaded', text: explainRefusal(admission), retryAfterMs: this.#callerReturn.planAdmission(admission, admission.retryAfterMs) })
    }
    this.#search.start()
  }

  /** Retries the search for an endpoint if the exchange is queued. */
  tryPlace (): void { this.#step(() => this.#search.retry()) }

  /** Cancels the exchange after its caller has disconnected. */
  abandon (): void {
    if (this.#phase === 'ended') return
    this.#cancelSends('left')
    this.#endExchange('left', 0)
  }

  /** Ends the exchange without a final answer; an answer that has begun is truncated. */
  cut (reason: CutReason): void {
    if (this.#phase === 'ended') return
    this.#failure = reason
    this.#cancelSends('cut')
    this.#answer.destroy()
    this.#endExchange('cut', 0)
  }

  /** Ends the exchange as its box stops: an answer that has begun is truncated, unless it has arrived whole; any other request gets a final answer. */
  stop (): void {
    if (this.#phase === 'waiting') this.#step(() => this.#leave())
    else if (this.#phase === 'relaying') this.cut('stopped')
  }

  #leave (): void {
    const wasWritten = this.#sends.list().some(({ call }) => call.mayHaveRun)
    this.#cancelSends('stopped')
    this.#execute(this.#retryPolicy.decide({ type: 'leaving', wasWritten }))
  }

  /** Applies the deadline and connection time-outs, fails sends to endpoints that have restarted, and starts or ends a second send. */
  check (now: number): void { this.#step(() => this.#check(now)) }

  #check (now: number): void {
    if (this.#phase === 'ended' || this.#phase === 'delivering') return
    if (now >= this.request.deadlineAt) return this.#timeOut()
    if (this.#sends.active === null && this.#phase === 'waiting' && !this.#host.canFinish(this.request)) return this.#leave()
    this.#sends.check(now)
    this.#hedge.check(now)
  }

  // Sending.

  /** Sends the request to the endpoint found by the search. */
  send (choice: Choice, waits: SearchWaits): void {
    this.#retryPolicy.noteSend()
    this.#step(() => this.#sends.start(choice, waits, this.events.lastId))
  }

  /** Handles a search that found no endpoint. */
  fail (outcome: SendOutcome): void {
    if (outcome.type === 'no-version') this.#failure = 'version-gone'
    this.#execute(this.#retryPolicy.decide(outcome))
  }

  // Answers.

  #receiveHead (sent: ActiveSend, head: AnswerHead): void {
    sent.head = head
    const { headers } = head
    this.#host.paths.noteAnswer(sent)
    // Another endpoint answered at this address, so the notices don't apply to this one.
    if (headers.isMisdirected) return this.#handleNotRun(sent, head)
    if (headers.isMarked || headers.isNotRun) this.#host.limits.noteAnswer(sent.view, headers.notices, !headers.isNotRun)
    if (headers.isNotRun) return this.#handleNotRun(sent, head)
    if (!headers.isMarked || head.isEncoded) return this.#failOver(sent, 'broken', `invalid answer with status ${head.status}`)
    if (head.status >= 500) return this.#handleFailure(sent, head)
    sent.view.health.noteGood()
    this.#acceptAnswer(sent, head)
  }

  // Prepares to pass the endpoint's answer to the caller.
  #acceptAnswer (sent: ActiveSend, head: AnswerHead): void {
    const isStream = this.request.route.kind === 'events' && head.status === 200
    // A stream that has begun can only be continued by a stream.
    if (this.#phase === 'relaying' && !isStream) return this.#sends.hedge === null ? this.cut('endpoint-failed') : this.#cancelSend(sent, 'not a stream')
    if (isStream) sent.splitter = new EventSplitter(this.#host.answers.unfinished, () => this.#step(() => this.#failOver(sent, 'broken', 'the box has no room for an event of this size')))
    else {
      this.#hedge.settle(sent)
      this.#run.noteFirst(sent)
    }
  }

  #receiveChunk (sent: ActiveSend, chunk: Buffer): boolean {
    sent.placed.lastEventAt = this.#host.now()
    if (sent.splitter !== null) this.#relayEvents(sent, sent.splitter, chunk)
    else if (sent.head !== null) this.#receivePlain(sent, sent.head, chunk)
    return sent === this.#sends.hedge || this.#answer.mayReceive()
  }

  #receivePlain (sent: ActiveSend, head: AnswerHead, chunk: Buffer): void {
    this.#answer.push(chunk)
    if (this.#phase !== 'waiting') return
    const step = decidePlainAnswer(this.#answer.receivedBytes, head.length)
    if (step === 'too-large') return this.#failOver(sent, 'broken', 'the answer is too large')
    if (step === 'hold' || this.#retryPolicy.decide({ type: 'answered', status: head.status }).type !== 'pass') return
    // From here on the answer can't be replaced by a retry.
    this.#phase = 'relaying'
    this.#answer.startRelay(head, head.length)
  }

  // Complete events are relayed at once; the response head is sent with the first.
  #relayEvents (sent: ActiveSend, splitter: EventSplitter, chunk: Buffer): void {
    let events
    try {
      events = splitter.push(chunk)
    } catch (error) {
      return this.#failOver(sent, 'broken', (error as Error).message)
    }
    if (events.length === 0 || !this.#sends.has(sent)) return
    if (!this.pin.accept(sent.origin)) return this.#failOver(sent, 'broken', 'another software version began the stream')
    this.#hedge.settle(sent)
    if (sent.placed.firstAt === null) this.#run.noteFirst(sent)
    this.#startStream(sent)
    this.#writeEvents(events)
  }

  #startStream (sent: ActiveSend): void {
    if (this.#phase === 'relaying' || sent.head === null) return
    this.#phase = 'relaying'
    this.#answer.startRelay(sent.head, null)
  }

  #writeEvents (events: readonly StreamEvent[]): void {
    const now = this.#host.now()
    const gapMs = this.events.add(events, now)
    if (this.#sends.active !== null) noteGaps(this.#sends.active, this.#host.fleet, events.length, gapMs, now)
    this.#answer.push(events.length === 1 ? events[0].bytes : Buffer.concat(events.map(event => event.bytes)))
  }

  #handleCallEnd (sent: ActiveSend): void {
    if (sent.splitter !== null) return this.#handleStreamEnd(sent, sent.splitter)
    if (sent.head === null) return
    this.#sends.end(sent, 'done')
    this.#sends.noteEvidence(sent, sent.head.status < 400 ? 'answered' : 'failed')
    const next = this.#retryPolicy.decide({ type: 'answered', status: sent.head.status })
    return next.type === 'pass' ? this.#deliver(sent.head) : this.#execute(next)
  }

  #handleStreamEnd (sent: ActiveSend, splitter: EventSplitter): void {
    if (splitter.isMidEvent) return this.#failOver(sent, 'broken', 'the stream ended in the middle of an event')
    this.#hedge.settle(sent)
    this.#startStream(sent)
    this.#sends.end(sent, 'done')
    this.#sends.noteEvidence(sent, 'answered')
    if (sent.head !== null) this.#deliver(sent.head)
  }

  #deliver (head: AnswerHead): void {
    this.#phase = 'delivering'
    this.#answer.finish(head, () => this.#endExchange(head.status < 400 ? 'ok' : 'endpoint-status', head.status))
  }

  // Failures.

  #handleNotRun (sent: ActiveSend, head: AnswerHead): void {
    const { isMisdirected } = head.headers
    if (isMisdirected) this.#host.paths.noteUnreachable(sent.view, 'misdirected', false)
    else sent.view.noteRefused(this.#host.now())
    this.#cancelSend(sent, `not-run ${head.status}`)
    if (head.status === 503 && !isMisdirected) this.#search.noteFull(sent.view)
    if (this.#sends.active !== null) return this.#retryPolicy.noteNotRun()
    this.#execute(this.#retryPolicy.decide({ type: 'not-run', isMisdirected, availableInMs: this.#search.measureClosedMs() }))
  }

  #handleFailure (sent: ActiveSend, head: AnswerHead): void {
    sent.view.health.noteFailure()
    this.#run.noteRun(sent.attempt.sentAt)
    this.#sends.noteEvidence(sent, 'failed')
    if (this.#sends.hedge !== null) return this.#cancelSend(sent, `failed ${head.status}`)
    const next = this.#retryPolicy.decide({ type: 'failed' })
    if (next.type === 'pass') return this.#acceptAnswer(sent, head)
    this.#cancelSend(sent, `failed ${head.status}`)
    this.#execute(next)
  }

  // Abandons an endpoint after a failure, and retries at another if the policy allows it.
  #failOver (sent: ActiveSend, failure: CallFailure, reason: string, part: FailedPart = 'endpoint', cause: CutReason = 'endpoint-failed'): void {
    if (this.#phase === 'ended' || !this.#sends.has(sent)) return
    this.#host.paths.noteFailure(sent, failure, reason, part)
    if (failure !== 'unreachable' && part !== 'relay') this.#sends.noteEvidence(sent, failure === 'lost' && part === 'path' ? 'lost-on-path' : failure)
    if (failure === 'unreachable' && part === 'relay') this.#search.noteUntried(sent.view)
    this.#cancelSend(sent, `${failure} ${reason}`)
    if (this.#sends.active !== null) return failure === 'unreachable' ? this.#retryPolicy.noteUnreached() : undefined
    this.#failure = cause
    if (this.#phase === 'relaying' && ((sent.head !== null && sent.splitter === null) || !this.events.canResume)) return this.cut(this.events.canResume ? cause : 'unnamed-event')
    this.#execute(this.#retryPolicy.decide({ type: 'broke', failure, reason }))
  }

  #timeOut (): void {
    const wasWritten = this.#sends.active?.call.mayHaveRun ?? false
    if (this.#sends.active !== null && wasWritten) this.#sends.noteEvidence(this.#sends.active, 'silent')
    this.#failure = 'deadline'
    this.#cancelSends('given up')
    this.#execute(this.#retryPolicy.decide({ type: 'given-up', wasWritten }))
  }

  #execute (next: NextStep): void {
    switch (next.type) {
      case 'pass': return
      case 'send': return this.#search.start()
      case 'refuse': return this.#refuse(next.refusal)
    }
  }

  // Runs a part of the exchange; an unexpected error in it ends this exchange, and no other.
  #step (run: () => void): void {
    try {
      run()
    } catch (error) {
      this.#handleError(error as Error)
    }
  }

  #handleError (error: Error): void {
    if (this.#phase === 'ended') return
    this.#host.noteError(this.request.headers.requestId, error)
    this.#failure = 'internal'
    this.#cancelSends('unexpected error')
    if (!this.#response.headersSent) this.#phase = 'waiting'
    this.#refuse({ kind: 'internal', text: 'an unexpected error of this box' })
  }

  // Ends the exchange as the box has no room for its answer.
  #drop (): void {
    this.#failure = 'no-room'
    this.#cancelSends('no room')
    this.#refuse({ kind: 'engine-failed', text: 'the box has no room for the answer' })
  }

  // An answer that has begun can't be replaced by an error: it is truncated.
  #refuse (refusal: Refusal): void {
    if (this.#phase !== 'waiting') return this.cut(this.#failure)
    this.#answer.discard()
    sendRefusal(this.#response, refusal, this.#host.dialect)
    this.#host.answers.noteEnded(this.#response)
    this.#endExchange(refusal.kind, this.#response.statusCode)
  }

  #cancelSends (outcome: string): void {
    for (const sent of this.#sends.list()) this.#cancelSend(sent, outcome)
  }

  #cancelSend (sent: ActiveSend, outcome: string): void {
    this.#sends.cancel(sent, outcome)
    if (this.#sends.active === null) this.#answer.discard()
  }

  #endExchange (outcome: ExchangeSummary['outcome'], status: number): void {
    if (this.#phase === 'ended') return
    this.#search.stop()
    this.#hedge.stop()
    this.#answer.release()
    this.pin.end()
    this.#phase = 'ended'
    const end = { request: this.request, outcome, status, cutReason: outcome === 'cut' ? this.#failure : null, retryDenial: this.#retryPolicy.denial }
    const search = { admission: this.#admission, ...this.#search.figures, plain: this.#host.fleet.plain.explain(this.request.work) }
    this.#host.noteEnd(this, { ...end, ...search, firstMs: this.#run.firstMs, totalMs: this.#host.now() - this.request.arrivedAt, ...this.events.figures, origin: this.pin.origin, attempts: this.#sends.attempts, returns: this.#callerReturn.describe() })
  }
}
