/**
 * Handles one chat completion: requests a place, sends the request to the engine
 * and relays the response. Retries or resumes it if an engine fails, and cancels it
 * if the caller disconnects.
 *
 * An engine that is silent has not failed: it may go on. A further attempt is then
 * started beside the silent one, and the response continues with the first attempt
 * that sends an event; only then are the others ended.
 */
import type { ServerResponse } from 'node:http'
import { brandId } from '../core/index.js'
import type { EngineId, ModelName, Placement, RequestId, StreamEnd, Submission } from '../core/index.js'
import type { EngineEntry } from '../config/index.js'
import { describeRefusal } from './chat-host.js'
import type { ChatAttempt } from './chat-attempt.js'
import type { ChatContext, ChatHost, ChatSummary } from './chat-host.js'
import { ResponseAssembler } from './response-assembler.js'
import { outcomeHeader, requestIdHeader, sendError } from './error-response.js'
import { composeEngineBody, isTextOnly } from './chat-body.js'
import { EngineStream } from './engine-stream.js'
import type { EngineFailure } from './engine-stream.js'
import { RequestError, composeDrainError } from './request-error.js'

const maxAttempts = 3
const maxUnreachable = 8
const interactiveIdleTimeoutMs = 10_000
const deferrableIdleTimeoutMs = 300_000
/** The time-out for the first token is a multiple of the class target, with a lower bound. */
const firstTokenTimeoutFactor = 4
const minFirstTokenTimeoutMs = 2000
/** A caller whose connection does not drain within this time is disconnected. */
const slowReaderTimeoutMs = 30_000

export class ChatExchange {
  #host: ChatHost
  #context: ChatContext
  #response: ServerResponse
  #assembler = new ResponseAssembler()
  /** The open attempts, the oldest first. All but the last are silent. */
  #attempts = new Set<ChatAttempt>()
  /** The placement that is being requested; null if there is none. */
  #pendingPlacement: RequestId | null = null
  #placementCount = 0
  #engine: EngineEntry | null = null
  /** The attempt that wrote the newest text. */
  #writer: ChatAttempt | null = null
  #excludedEngines: EngineId[] = []
  #attemptCount = 0
  #unreachableCount = 0
  #hasWrittenBytes = false
  /** True if the last attempt took a retry from the budget. */
  #hasTakenRetry = false
  #firstTokenMs: number | null = null
  #isEnded = false
  #slowReaderTimer: NodeJS.Timeout | null = null

  constructor (host: ChatHost, context: ChatContext, response: ServerResponse) {
    this.#host = host
    this.#context = context
    this.#response = response
    response.on('close', () => this.#handleDisconnect())
    response.on('drain', () => this.#resume())
  }

  /** Starts the exchange. Errors are sent to the caller, not thrown. */
  run (): void {
    void this.#startAttempt()
  }

  /** Ends the exchange as its box stops, with an error: not run if nothing of it was written to an engine. */
  stop (): void {
    if (this.#isEnded) return
    this.#cancelPlacement()
    for (const attempt of [...this.#attempts]) this.#cancelAttempt(attempt, 'cancelled')
    this.#fail(this.#hasWrittenBytes ? new RequestError('engine-timeout', 'the engine had not answered when this box stopped') : composeDrainError())
  }

  /** Refuses the request as its box begins to stop, if nothing of it was written to an engine. */
  refuseUnsent (): void {
    if (!this.#hasWrittenBytes && this.#unconnectedAttempts.length === this.#attempts.size) this.stop()
  }

  get #isBuffered (): boolean { return this.#context.chat.stream !== true }
  get #isResuming (): boolean { return this.#assembler.tokens > 0 }

  /** True if an attempt may still send an event within its time-out. */
  get #isAwaitingEngine (): boolean {
    return this.#pendingPlacement !== null || [...this.#attempts].some(attempt => !attempt.isSilent)
  }

  get #unconnectedAttempts (): ChatAttempt[] {
    return [...this.#attempts].filter(({ stream }) => !stream.hasWrittenBytes)
  }

  async #startAttempt (): Promise<void> {
    this.#attemptCount += 1
    const placement = this.#createPlacementId()
    this.#pendingPlacement = placement
    const placed = await this.#host.place(this.#composeSubmission(placement), this.#context.class.mayWait)
    // A grant may come after the caller has disconnected, or an earlier attempt has gone on.
    if (this.#pendingPlacement !== placement) return placed.type === 'granted' ? this.#host.end(placement, 'cancelled', 0) : undefined
    this.#pendingPlacement = null
    if (placed.type === 'refused') return this.#handleRefusal(placed)
    const engine = this.#host.findEngine(placed.engine)
    if (engine !== undefined) return this.#openStream(placement, engine, placed.priority)
    this.#host.end(placement, 'engine-unreachable', 0)
    this.#unreachableCount += 1
    this.#tryNext('unreachable', false)
  }

  #createPlacementId (): RequestId {
    this.#placementCount += 1
    const { requestId } = this.#context
    return this.#placementCount === 1 ? requestId : brandId<RequestId>(`${requestId}/${this.#placementCount}`)
  }

  #composeSubmission (placement: RequestId): Submission {
    const { workspace, class: requestClass, chat, promptTokens, prefix, arrivedAt } = this.#context
    const now = this.#host.now()
    const deadline = this.#placementCount === 1 ? arrivedAt + requestClass.firstTokenMs : now + requestClass.firstTokenMs
    return {
      request: placement,
      attempt: 1,
      box: this.#host.box,
      class: requestClass.name,
      workspace: workspace.name,
      model: brandId<ModelName>(chat.model),
      promptTokens: promptTokens + this.#assembler.tokens,
      prefix,
      deadline,
      exclude: this.#excludedEngines,
      resumed: this.#isResuming
    }
  }

  // While silent attempts are open, the next of their time-outs tries again.
  #handleRefusal (refusal: Extract<Placement, { type: 'refused' }>): void {
    if (this.#attempts.size > 0) {
      this.#attemptCount -= 1
      if (this.#hasTakenRetry) this.#host.putBackRetry(this.#context.class.name)
      return
    }
    const kind = refusal.reason === 'no-engine' ? 'no-engine' : 'overloaded'
    this.#fail(new RequestError(kind, describeRefusal(refusal.reason, this.#context), { retryAfterMs: refusal.retryAfterMs }))
  }

  #openStream (placement: RequestId, engine: EngineEntry, priority: number): void {
    this.#engine = engine
    const { class: requestClass, chat, requestId } = this.#context
    const progress = this.#isResuming ? { text: this.#assembler.text, tokens: this.#assembler.tokens } : null
    const body = composeEngineBody(chat, priority, progress)
    const call = { host: engine.host, port: engine.port, agent: this.#host.agent, body, requestId }
    const idleTimeoutMs = requestClass.mayWait ? deferrableIdleTimeoutMs : interactiveIdleTimeoutMs
    const firstEventTimeoutMs = requestClass.mayWait ? deferrableIdleTimeoutMs : Math.max(minFirstTokenTimeoutMs, requestClass.firstTokenMs * firstTokenTimeoutFactor)
    const stream = new EngineStream(call, {
      begin: () => {},
      receive: events => this.#receiveEvents(attempt, events),
      noteSilence: () => this.#handleSilence(attempt),
      finish: () => this.#finish(attempt),
      reject: (status, text) => this.#reject(attempt, status, text),
      fail: (failure, backoffMs) => this.#handleFailure(attempt, failure, backoffMs)
    }, firstEventTimeoutMs, idleTimeoutMs)
    const attempt: ChatAttempt = { placement, engine, stream, isSilent: false }
    // No byte of these was sent, so nothing is lost if they end.
    for (const other of this.#unconnectedAttempts) {
      this.#unreachableCount += 1
      this.#cancelAttempt(other, 'engine-unreachable')
    }
    this.#attempts.add(attempt)
  }

  #receiveEvents (attempt: ChatAttempt, events: readonly Buffer[]): boolean {
    if (attempt !== this.#writer && !events.every(event => this.#assembler.mayFollow(event))) return this.#failAttempt(attempt, 'other-version')
    this.#continueWith(attempt)
    const { tokens } = this.#assembler
    const relayed: Buffer[] = []
    for (const event of events) {
      const kind = this.#assembler.add(event)
      if (kind === 'broken') {
        this.#relay(relayed)
        return this.#failAttempt(attempt, 'broken-events')
      }
      if (kind === 'text' || (kind === 'usage' && this.#context.chat.stream_options?.include_usage === true)) relayed.push(event)
    }
    if (this.#assembler.tokens > tokens) this.#writer = attempt
    if (this.#firstTokenMs === null && this.#assembler.tokens > 0) this.#noteFirstToken(attempt)
    return this.#relay(relayed)
  }

  #failAttempt (attempt: ChatAttempt, failure: EngineFailure): false {
    attempt.stream.cancel()
    this.#handleFailure(attempt, failure)
    return false
  }

  // Ends all other attempts. An engine that was overtaken by a later attempt counts as failed.
  #continueWith (attempt: ChatAttempt): void {
    attempt.isSilent = false
    if (this.#attempts.size === 1 && this.#pendingPlacement === null) return
    this.#engine = attempt.engine
    this.#cancelPlacement()
    let isOlder = true
    for (const other of [...this.#attempts]) {
      if (other === attempt) isOlder = false
      else this.#cancelAttempt(other, isOlder ? 'engine-failed' : 'cancelled')
    }
  }

  #noteFirstToken (attempt: ChatAttempt): void {
    this.#firstTokenMs = this.#host.now() - this.#context.arrivedAt
    this.#host.noteFirstToken(attempt.placement)
  }

  // Relays events unchanged. The final event is held back until the response is complete.
  #relay (events: readonly Buffer[]): boolean {
    if (events.length === 0 || this.#isBuffered || this.#isEnded) return true
    if (!this.#response.headersSent) this.#response.writeHead(200, this.#formatHeaders('text/event-stream'))
    const isWritable = this.#response.write(events.length === 1 ? events[0] : Buffer.concat(events))
    if (!isWritable) this.#slowReaderTimer ??= setTimeout(() => this.#response.destroy(), slowReaderTimeoutMs)
    return isWritable
  }

  #resume (): void {
    if (this.#slowReaderTimer !== null) clearTimeout(this.#slowReaderTimer)
    this.#slowReaderTimer = null
    for (const { stream } of this.#attempts) stream.resume()
  }

  #formatHeaders (type: string): Record<string, string> {
    const headers: Record<string, string> = { 'content-type': type, [requestIdHeader]: this.#context.requestId, [outcomeHeader]: 'run' }
    if (type === 'text/event-stream') headers['cache-control'] = 'no-cache'
    return headers
  }

  // A stream that ends without `[DONE]` is incomplete.
  #finish (attempt: ChatAttempt): void {
    if (!this.#assembler.isDone) return this.#handleFailure(attempt, 'reset')
    this.#release(attempt, 'done')
    this.#isEnded = true
    if (this.#isBuffered) {
      this.#response.writeHead(200, this.#formatHeaders('application/json'))
      this.#response.end(this.#assembler.compose(this.#context.chat.model))
    } else {
      if (!this.#response.headersSent) this.#response.writeHead(200, this.#formatHeaders('text/event-stream'))
      this.#response.end('data: [DONE]\n\n')
    }
    this.#reportEnd('ok', 200, 0)
  }

  // The engine rejected the request as invalid; its error response is passed on, unless another engine may still answer, or the response has begun.
  #reject (attempt: ChatAttempt, status: number, text: string): void {
    if (this.#isResuming || this.#response.headersSent) return this.#handleFailure(attempt, 'denied')
    this.#release(attempt, 'done')
    if (this.#attempts.size > 0) return
    this.#cancelPlacement()
    this.#isEnded = true
    this.#response.writeHead(status, this.#formatHeaders('application/json'))
    this.#response.end(text)
    this.#reportEnd('bad-request', status, 0)
  }

  #handleSilence (attempt: ChatAttempt): void {
    if (!attempt.isSilent) {
      attempt.isSilent = true
      this.#excludedEngines.push(attempt.engine.id)
      this.#host.noteSilence(this.#context.requestId, attempt.engine.id)
    }
    if (!this.#isAwaitingEngine && this.#mayRetry(attempt.stream.hasWrittenBytes)) void this.#startAttempt()
  }

  #handleFailure (attempt: ChatAttempt, failure: EngineFailure, backoffMs = 0): void {
    if (this.#isEnded) return
    const hasWritten = attempt.stream.hasWrittenBytes
    if (!hasWritten) this.#unreachableCount += 1
    const failed = hasWritten ? 'engine-failed' : 'engine-unreachable'
    this.#release(attempt, failure === 'denied' || failure === 'other-version' ? 'cancelled' : failed, backoffMs)
    this.#excludedEngines.push(attempt.engine.id)
    this.#tryNext(failure, hasWritten)
  }

  #tryNext (failure: EngineFailure, hasReachedEngine: boolean): void {
    if (this.#isAwaitingEngine) return
    if (this.#mayRetry(hasReachedEngine)) return void this.#startAttempt()
    if (this.#attempts.size > 0) return
    const kind = !this.#hasWrittenBytes ? 'no-engine' : failure === 'silent' ? 'engine-timeout' : 'engine-failed'
    this.#fail(new RequestError(kind, `engine ${this.#engine?.id ?? 'unknown'} failed (${failure}) after ${this.#attemptCount} attempts`))
  }

  // Attempts that did not reach an engine cost no engine time: they have a separate, higher limit, and the next attempt takes nothing from the budget.
  #mayRetry (hasReachedEngine: boolean): boolean {
    this.#hasTakenRetry = false
    const unreachableCount = this.#unreachableCount + this.#unconnectedAttempts.length
    if (this.#attemptCount - unreachableCount >= maxAttempts || unreachableCount >= maxUnreachable) return false
    if (this.#isResuming) return this.#engine !== null && this.#host.canResume(this.#engine) && isTextOnly(this.#context.chat)
    if (!hasReachedEngine) return true
    this.#hasTakenRetry = this.#host.takeRetry(this.#context.class.name)
    return this.#hasTakenRetry
  }

  #release (attempt: ChatAttempt, how: StreamEnd, backoffMs = 0): void {
    this.#hasWrittenBytes ||= attempt.stream.hasWrittenBytes
    if (this.#attempts.delete(attempt)) this.#host.end(attempt.placement, how, this.#assembler.tokens, backoffMs)
  }

  #cancelAttempt (attempt: ChatAttempt, how: StreamEnd): void {
    attempt.stream.cancel()
    this.#release(attempt, how)
  }

  #cancelPlacement (): void {
    if (this.#pendingPlacement === null) return
    this.#host.cancel(this.#pendingPlacement)
    this.#pendingPlacement = null
  }

  #handleDisconnect (): void {
    if (this.#slowReaderTimer !== null) clearTimeout(this.#slowReaderTimer)
    if (this.#isEnded) return
    this.#isEnded = true
    this.#cancelPlacement()
    for (const attempt of [...this.#attempts]) this.#cancelAttempt(attempt, 'cancelled')
    this.#reportEnd('left', 499, this.#assembler.tokens)
  }

  #fail (error: RequestError): void {
    this.#isEnded = true
    sendError(this.#response, error, this.#context.requestId, this.#hasWrittenBytes)
    this.#reportEnd(error.kind, this.#response.statusCode, this.#assembler.tokens)
  }

  #reportEnd (kind: ChatSummary['kind'], status: number, wastedTokens: number): void {
    this.#host.noteEnd({
      context: this.#context,
      kind,
      status,
      attempts: this.#attemptCount,
      engine: this.#engine?.id ?? '',
      tokens: this.#assembler.tokens,
      firstTokenMs: this.#firstTokenMs,
      totalMs: this.#host.now() - this.#context.arrivedAt,
      wastedTokens
    })
  }
}
