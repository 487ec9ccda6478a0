/**
 * Handles one chat completion: requests a place, sends the request to the engine
 * and relays the response. Retries or resumes it if an engine fails, and cancels it
 * if the caller disconnects.
 */
import type { Agent, ServerResponse } from 'node:http'
import type { ErrorKind, Placement, RequestClass, RequestId, StreamEnd, Submission } from '../core/index.js'
import { brandId } from '../core/index.js'
import type { BoxId, EngineId, ModelName } from '../core/index.js'
import type { EngineEntry, Workspace } from '../config/index.js'
import type { ChatRequest } from '../protocol/index.js'
import { ResponseAssembler } from './response-assembler.js'
import { outcomeHeader, requestIdHeader, sendError } from './error-response.js'
import { composeEngineBody, isTextOnly } from './chat-body.js'
import { EngineStream } from './engine-stream.js'
import type { EngineFailure } from './engine-stream.js'
import { RequestError } from './request-error.js'

/** Functions of the box that an exchange depends on. */
export interface ChatHost {
  readonly box: BoxId
  readonly agent: Agent
  now (): number
  findEngine (id: EngineId): EngineEntry | undefined
  /** True if the engine's pool can resume a partial response. */
  canResume (engine: EngineEntry): boolean
  place (submission: Submission, mayWait: boolean): Promise<Placement>
  noteFirstToken (request: RequestId): void
  /** Reports the end of a granted stream. `backoffMs`: time for which the engine asked to get no further requests. */
  end (request: RequestId, how: StreamEnd, tokens: number, backoffMs?: number): void
  cancel (request: RequestId): void
  /** Takes a retry from the budget of the named class; false if it is used up. */
  takeRetry (name: string): boolean
  noteEnd (summary: ChatSummary): void
}

/** A validated chat request and what is known about it. */
export interface ChatContext {
  readonly requestId: RequestId
  readonly workspace: Workspace
  readonly class: RequestClass
  readonly chat: ChatRequest
  readonly promptTokens: number
  readonly prefix: string | null
  /** Arrival time on the box's monotonic clock, ms. */
  readonly arrivedAt: number
}

/** The outcome of a request, for logs and metrics. */
export interface ChatSummary {
  readonly context: ChatContext
  /** `left`: the caller disconnected. */
  readonly kind: ErrorKind | 'ok' | 'left'
  readonly status: number
  readonly attempts: number
  readonly engine: string
  readonly tokens: number
  /** Time from arrival to the first token; null if there was none. */
  readonly firstTokenMs: number | null
  readonly totalMs: number
  /** Tokens that engines generated for a response that was not completed. */
  readonly wastedTokens: number
}

const maxAttempts = 3
const maxUnreachable = 8
// Distance between the attempt numbers of successive attempts; the placer uses the numbers in between, one for each owner that it asks.
const attemptStride = 100
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
  #stream: EngineStream | null = null
  #engine: EngineEntry | null = null
  #excludedEngines: EngineId[] = []
  #attemptCount = 0
  #unreachableCount = 0
  #hasWrittenBytes = false
  #firstTokenMs: number | null = null
  #isEnded = false
  #isPlaced = false
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

  get #isBuffered (): boolean { return this.#context.chat.stream !== true }
  get #isResuming (): boolean { return this.#assembler.tokens > 0 }

  async #startAttempt (): Promise<void> {
    this.#attemptCount += 1
    const placement = await this.#host.place(this.#composeSubmission(), this.#context.class.mayWait)
    if (this.#isEnded) return this.#returnGrant(placement)
    if (placement.type === 'refused') {
      const kind = placement.reason === 'no-engine' ? 'no-engine' : 'overloaded'
      return this.#fail(new RequestError(kind, describeRefusal(placement.reason, this.#context), { retryAfterMs: placement.retryAfterMs }))
    }
    this.#isPlaced = true
    const engine = this.#host.findEngine(placement.engine)
    if (engine === undefined) return this.#retry('unreachable')
    this.#openStream(engine, placement.priority)
  }

  #composeSubmission (): Submission {
    const { requestId, workspace, class: requestClass, chat, promptTokens, prefix, arrivedAt } = this.#context
    const now = this.#host.now()
    const deadline = this.#attemptCount === 1 ? arrivedAt + requestClass.firstTokenMs : now + requestClass.firstTokenMs
    return {
      request: requestId,
      attempt: this.#attemptCount * attemptStride,
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

  // Returns a grant that arrived after the caller had disconnected.
  #returnGrant (placement: Placement): void {
    if (placement.type === 'granted') this.#host.end(this.#context.requestId, 'cancelled', 0)
  }

  #openStream (engine: EngineEntry, priority: number): void {
    this.#engine = engine
    const { class: requestClass, chat, requestId } = this.#context
    const progress = this.#isResuming ? { text: this.#assembler.text, tokens: this.#assembler.tokens } : null
    const body = composeEngineBody(chat, priority, progress)
    const call = { host: engine.host, port: engine.port, agent: this.#host.agent, body, requestId }
    const idleTimeoutMs = requestClass.mayWait ? deferrableIdleTimeoutMs : interactiveIdleTimeoutMs
    const firstEventTimeoutMs = requestClass.mayWait ? deferrableIdleTimeoutMs : Math.max(minFirstTokenTimeoutMs, requestClass.firstTokenMs * firstTokenTimeoutFactor)
    this.#stream = new EngineStream(call, {
      begin: () => {},
      receive: events => this.#receiveEvents(events),
      finish: () => this.#finish(),
      reject: (status, text) => this.#reject(status, text),
      fail: (failure, backoffMs) => this.#retry(failure, backoffMs)
    }, firstEventTimeoutMs, idleTimeoutMs)
  }

  #receiveEvents (events: readonly Buffer[]): boolean {
    const relayed: Buffer[] = []
    for (const event of events) {
      const kind = this.#assembler.add(event)
      if (kind === 'broken') {
        this.#relay(relayed)
        this.#stream?.cancel()
        this.#retry('broken-events')
        return false
      }
      if (kind === 'text' || (kind === 'usage' && this.#context.chat.stream_options?.include_usage === true)) relayed.push(event)
    }
    if (this.#firstTokenMs === null && this.#assembler.tokens > 0) this.#noteFirstToken()
    return this.#relay(relayed)
  }

  #noteFirstToken (): void {
    this.#firstTokenMs = this.#host.now() - this.#context.arrivedAt
    this.#host.noteFirstToken(this.#context.requestId)
  }

  // Relays events unchanged. The final event is held back until the response is complete.
  #relay (events: readonly Buffer[]): boolean {
    if (events.length === 0 || this.#isBuffered || this.#isEnded) return true
    if (!this.#response.headersSent) this.#response.writeHead(200, this.#formatHeaders('text/event-stream'))
    const isWritable = this.#response.write(events.length === 1 ? events[0] : Buffer.concat(events))
    if (!isWritable) this.#slowReaderTimer = setTimeout(() => this.#response.destroy(), slowReaderTimeoutMs)
    return isWritable
  }

  #resume (): void {
    if (this.#slowReaderTimer !== null) clearTimeout(this.#slowReaderTimer)
    this.#slowReaderTimer = null
    this.#stream?.resume()
  }

  #formatHeaders (type: string): Record<string, string> {
    const headers: Record<string, string> = { 'content-type': type, [requestIdHeader]: this.#context.requestId, [outcomeHeader]: 'run' }
    if (type === 'text/event-stream') headers['cache-control'] = 'no-cache'
    return headers
  }

  // A stream that ends without `[DONE]` is incomplete.
  #finish (): void {
    if (!this.#assembler.isDone) return this.#retry('reset')
    this.#release('done')
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

  // The engine rejected the request as invalid; its error response is passed on.
  #reject (status: number, text: string): void {
    this.#release('done')
    this.#isEnded = true
    if (!this.#response.headersSent) {
      this.#response.writeHead(status, this.#formatHeaders('application/json'))
      this.#response.end(text)
    } else {
      this.#response.end()
    }
    this.#reportEnd('bad-request', status, 0)
  }

  #retry (failure: EngineFailure, backoffMs = 0): void {
    if (this.#isEnded) return
    const hasWritten = this.#stream?.hasWrittenBytes === true
    this.#hasWrittenBytes ||= hasWritten
    if (!hasWritten) this.#unreachableCount += 1
    this.#release(hasWritten ? 'engine-failed' : 'engine-unreachable', backoffMs)
    const engine = this.#engine
    if (engine !== null) this.#excludedEngines.push(engine.id)
    if (this.#mayRetry(engine)) return void this.#startAttempt()
    const kind = !this.#hasWrittenBytes ? 'no-engine' : failure === 'silent' ? 'engine-timeout' : 'engine-failed'
    this.#fail(new RequestError(kind, `engine ${engine?.id ?? 'unknown'} failed (${failure}) after ${this.#attemptCount} attempts`))
  }

  #mayRetry (engine: EngineEntry | null): boolean {
    // Attempts that did not reach an engine cost no engine time and have a separate, higher limit.
    if (this.#attemptCount - this.#unreachableCount >= maxAttempts || this.#unreachableCount >= maxUnreachable) return false
    if (this.#isResuming) return engine !== null && this.#host.canResume(engine) && isTextOnly(this.#context.chat)
    return this.#host.takeRetry(this.#context.class.name)
  }

  #release (how: StreamEnd, backoffMs = 0): void {
    if (!this.#isPlaced) return
    this.#isPlaced = false
    this.#host.end(this.#context.requestId, how, this.#assembler.tokens, backoffMs)
  }

  #handleDisconnect (): void {
    if (this.#slowReaderTimer !== null) clearTimeout(this.#slowReaderTimer)
    if (this.#isEnded) return
    this.#isEnded = true
    this.#stream?.cancel()
    if (this.#isPlaced) this.#release('cancelled')
    else this.#host.cancel(this.#context.requestId)
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

function describeRefusal (reason: string, context: ChatContext): string {
  switch (reason) {
    case 'no-engine': return `no engine for model ${context.chat.model} can take the request`
    case 'queue-full': return `the queue of class ${context.class.name} is full`
    default: return `demand of class ${context.class.name} exceeds capacity; its target could not be met`
  }
}
