/** The sends of one exchange: to which endpoints its request went, the one in flight, and a second one beside it while the endpoint of the first is suspected. */
import { EventRun } from '../core/index.js'
import type { Choice, EndpointView, PromptPlan } from '../core/index.js'
import type { ActiveSend } from './active-send.js'
import type { AdmittedRequest } from './admitted-request.js'
import { composeTarget } from './call-target.js'
import type { SendEvidence } from './crash-guard.js'
import { EndpointCall } from './endpoint-call.js'
import type { AnswerHead, CallFailure, FailedPart } from './endpoint-call.js'
import type { SearchWaits } from './endpoint-search.js'
import type { ExchangeHost } from './exchange-host.js'
import type { Attempt, CutReason } from './exchange-summary.js'
import type { SendPath } from './send-path.js'

/** Handles what sends receive; see `CallSink`. */
export interface SendHandler {
  receiveHead (sent: ActiveSend, head: AnswerHead): void
  /** Returns false to pause the answer. */
  receiveChunk (sent: ActiveSend, chunk: Buffer): boolean
  finish (sent: ActiveSend): void
  /** `cause`: why an answer that has begun is truncated, if the failure ends it. */
  fail (sent: ActiveSend, failure: CallFailure, reason: string, part: FailedPart, cause?: CutReason): void
  /** Handles an unexpected error while an answer was received. */
  handleError (error: Error): void
}

export class ExchangeSends<E> {
  readonly attempts: Attempt[] = []
  #host: ExchangeHost<E>
  #request: AdmittedRequest
  #handler: SendHandler
  #active: ActiveSend | null = null
  #hedge: ActiveSend | null = null

  constructor (host: ExchangeHost<E>, request: AdmittedRequest, handler: SendHandler) {
    this.#host = host
    this.#request = request
    this.#handler = handler
  }

  /** The send in flight; null if there is none. */
  get active (): ActiveSend | null { return this.#active }
  /** The second send beside it. */
  get hedge (): ActiveSend | null { return this.#hedge }

  has (sent: ActiveSend): boolean { return sent === this.#active || sent === this.#hedge }
  /** The sends in flight, the second one first. */
  list (): ActiveSend[] { return [this.#hedge, this.#active].filter(sent => sent !== null) }

  /** Sends the request to the chosen endpoint. `lastEvent`: id of the event after which a stream goes on. */
  start (choice: Choice, waits: SearchWaits, lastEvent: string | null): void {
    this.#active = this.#send(choice, waits, lastEvent)
    this.#host.noteLoad()
  }

  /** Sends the request to a second endpoint beside the one in flight. */
  startBeside (choice: Choice, lastEvent: string | null): void {
    this.#hedge = this.#send(choice, { permitMs: null, slotMs: null }, lastEvent)
    this.#host.noteLoad()
  }

  #send ({ view, expectedMs, candidates, dedicatedCount, plan, isAffinityEngine }: Choice, waits: SearchWaits, lastEvent: string | null): ActiveSend {
    const { fleet, paths } = this.#host
    const at = this.#host.now()
    const path = paths.choose(view)
    const attempt: Attempt = { endpoint: view.id, software: view.record.software, expectedMs: Math.round(expectedMs), candidates, dedicatedCount, plan, isAffinityEngine, sentAt: at, ...waits, relay: path.relay?.address.box ?? null, isBeside: this.#active !== null, isUnframed: false, end: 'open' }
    // Before the request is counted at the endpoint: composing it may fail.
    const call = this.#startCall(view, path, plan, lastEvent, at, () => sent)
    this.attempts.push(attempt)
    const placed = view.place(this.#request.work, plan, at)
    fleet.noteStarted(this.#request.work, at)
    const sent: ActiveSend = { view, origin: { service: view.record.service, software: view.record.software }, path, placed, attempt, call, run: new EventRun(), head: null, splitter: null }
    return sent
  }

  /** Checks the connection time-outs of all sends, fails those to endpoints that have restarted, and probes the path of an overdue one. */
  check (now: number): void {
    for (const sent of this.list()) sent.call.check(now)
    for (const sent of this.list()) {
      if (this.#host.fleet.isReplaced(sent.view)) this.#handler.fail(sent, 'lost', 'the endpoint has restarted', 'endpoint', 'restarted')
    }
    if (this.#active !== null) this.#host.paths.probeOverdue(this.#active, now)
  }

  /** Notes how a send ended, as evidence on crashes of its endpoint. */
  noteEvidence ({ view, attempt }: ActiveSend, evidence: SendEvidence): void {
    this.#host.guard.noteSendEnd(this.#request, view, evidence, this.#host.now() - attempt.sentAt)
  }

  cancel (sent: ActiveSend, outcome: string): void {
    sent.call.cancel()
    this.end(sent, outcome)
  }

  /** Notes that a send has ended; the one beside it, if any, is then the one in flight. */
  end (sent: ActiveSend, outcome: string): void {
    if (this.#active === sent) this.#active = this.#hedge
    if (this.#active === this.#hedge || this.#hedge === sent) this.#hedge = null
    sent.attempt.end = outcome
    sent.attempt.isUnframed = outcome === 'done' && sent.head?.isUnframed === true
    sent.splitter?.release()
    sent.view.remove(sent.placed, this.#host.now())
    this.#host.noteLoad()
  }

  #startCall (view: EndpointView, path: SendPath, plan: PromptPlan, lastEvent: string | null, at: number, getSent: () => ActiveSend): EndpointCall {
    const { dialect, paths } = this.#host
    const target = composeTarget(this.#request, { dialect, path, view, plan, lastEvent, now: at })
    return new EndpointCall(target, dialect, {
      noteConnected: () => paths.noteConnected(view),
      receiveHead: head => {
        view.noteActive(this.#host.now())
        this.#handler.receiveHead(getSent(), head)
      },
      receiveChunk: chunk => {
        view.noteActive(this.#host.now())
        this.#host.answers.noteRead(chunk.length)
        return this.#handler.receiveChunk(getSent(), chunk)
      },
      finish: () => this.#handler.finish(getSent()),
      fail: (failure, reason, part) => this.#handler.fail(getSent(), failure, reason, part),
      handleError: error => this.#handler.handleError(error)
    }, at)
  }
}
