/**
 * One chat request from arrival to end: placed, sent, relayed; tried again or
 * resumed where an engine fails; cancelled where the caller leaves.
 */
import type { Agent, ServerResponse } from 'node:http'
import type { ErrorKind, Placement, RequestClass, RequestId, StreamEnd, Submission } from '../core/index.js'
import { brandId } from '../core/index.js'
import type { BoxId, EngineId, ModelName } from '../core/index.js'
import type { EngineEntry, Workspace } from '../config/index.js'
import type { ChatRequest } from '../protocol/index.js'
import { AnswerParts } from './answer-parts.js'
import { outcomeHeader, requestIdHeader, sendFault } from './answers.js'
import { composeEngineBody, isTextOnly } from './chat-body.js'
import { EngineStream } from './engine-stream.js'
import type { EngineFailure } from './engine-stream.js'
import { Fault } from './fault.js'

/** What an exchange needs of its box. */
export interface ChatHost {
  readonly box: BoxId
  readonly agent: Agent
  now (): number
  findEngine (id: EngineId): EngineEntry | undefined
  /** True where engines of the pool can go on with an answer. */
  canResume (engine: EngineEntry): boolean
  place (submission: Submission, mayWait: boolean): Promise<Placement>
  noteFirstToken (request: RequestId): void
  /** `backoffMs`: how long the engine wants no work. */
  end (request: RequestId, how: StreamEnd, tokens: number, backoffMs?: number): void
  cancel (request: RequestId): void
  /** Takes a retry from the class's budget. */
  takeRetry (name: string): boolean
  noteEnd (summary: ChatSummary): void
}

/** A chat request as it was let in. */
export interface ChatOrder {
  readonly requestId: RequestId
  readonly workspace: Workspace
  readonly class: RequestClass
  readonly chat: ChatRequest
  readonly promptTokens: number
  readonly prefix: string | null
  /** When the request arrived, on the box's clock. */
  readonly arrivedAt: number
}

/** How a request went, for logs and measures. */
export interface ChatSummary {
  readonly order: ChatOrder
  readonly kind: ErrorKind | 'ok' | 'left'
  readonly status: number
  readonly attempts: number
  readonly engine: string
  readonly tokens: number
  /** From arrival to the first token, ms; null where none came. */
  readonly firstTokenMs: number | null
  readonly totalMs: number
  /** Tokens that engines made and nobody received. */
  readonly wastedTokens: number
}

const mostAttempts = 3
const mostUnreached = 8
// The placer counts one up each time that it asks another owner.
const attemptsApart = 100
const quickIdleMs = 10_000
const patientIdleMs = 300_000
const firstTokenGrace = 4
const leastFirstTokenMs = 2000
const stalledReaderMs = 30_000

export class ChatExchange {
  #host: ChatHost
  #order: ChatOrder
  #response: ServerResponse
  #parts = new AnswerParts()
  #stream: EngineStream | null = null
  #engine: EngineEntry | null = null
  #exclude: EngineId[] = []
  #attempts = 0
  #unreached = 0
  #wroteBytes = false
  #firstTokenMs: number | null = null
  #ended = false
  #isPlaced = false
  #stalled: NodeJS.Timeout | null = null

  constructor (host: ChatHost, order: ChatOrder, response: ServerResponse) {
    this.#host = host
    this.#order = order
    this.#response = response
    response.on('close', () => this.#leave())
    response.on('drain', () => this.#goOn())
  }

  /** Runs the request to its end; faults are answered, not thrown. */
  run (): void {
    void this.#attempt()
  }

  get #isWhole (): boolean { return this.#order.chat.stream !== true }
  get #isResuming (): boolean { return this.#parts.tokens > 0 }

  async #attempt (): Promise<void> {
    this.#attempts += 1
    const placement = await this.#host.place(this.#compose(), this.#order.class.mayWait)
    if (this.#ended) return this.#giveBack(placement)
    if (placement.type === 'refused') {
      const kind = placement.reason === 'no-engine' ? 'no-engine' : 'overloaded'
      return this.#fail(new Fault(kind, describeRefusal(placement.reason, this.#order), { retryAfterMs: placement.retryAfterMs }))
    }
    this.#isPlaced = true
    const engine = this.#host.findEngine(placement.engine)
    if (engine === undefined) return this.#retry('unreachable')
    this.#open(engine, placement.priority)
  }

  #compose (): Submission {
    const { requestId, workspace, class: wanted, chat, promptTokens, prefix, arrivedAt } = this.#order
    const now = this.#host.now()
    const deadline = this.#attempts === 1 ? arrivedAt + wanted.firstTokenMs : now + wanted.firstTokenMs
    return {
      request: requestId,
      attempt: this.#attempts * attemptsApart,
      box: this.#host.box,
      class: wanted.name,
      workspace: workspace.name,
      model: brandId<ModelName>(chat.model),
      promptTokens: promptTokens + this.#parts.tokens,
      prefix,
      deadline,
      exclude: this.#exclude,
      resumed: this.#isResuming
    }
  }

  // The caller left while the request was being placed.
  #giveBack (placement: Placement): void {
    if (placement.type === 'granted') this.#host.end(this.#order.requestId, 'cancelled', 0)
  }

  #open (engine: EngineEntry, priority: number): void {
    this.#engine = engine
    const { class: wanted, chat, requestId } = this.#order
    const progress = this.#isResuming ? { text: this.#parts.text, tokens: this.#parts.tokens } : null
    const body = composeEngineBody(chat, priority, progress)
    const call = { host: engine.host, port: engine.port, agent: this.#host.agent, body, requestId }
    const idleMs = wanted.mayWait ? patientIdleMs : quickIdleMs
    const firstMs = wanted.mayWait ? patientIdleMs : Math.max(leastFirstTokenMs, wanted.firstTokenMs * firstTokenGrace)
    this.#stream = new EngineStream(call, {
      begin: () => {},
      take: events => this.#take(events),
      finish: () => this.#finish(),
      reject: (status, text) => this.#reject(status, text),
      fail: (failure, backoffMs) => this.#retry(failure, backoffMs)
    }, firstMs, idleMs)
  }

  #take (events: readonly Buffer[]): boolean {
    const passed: Buffer[] = []
    for (const event of events) {
      const kind = this.#parts.take(event)
      if (kind === 'broken') {
        this.#relay(passed)
        this.#stream?.cancel()
        this.#retry('broken-events')
        return false
      }
      if (kind === 'text' || (kind === 'usage' && this.#order.chat.stream_options?.include_usage === true)) passed.push(event)
    }
    if (this.#firstTokenMs === null && this.#parts.tokens > 0) this.#noteFirstToken()
    return this.#relay(passed)
  }

  #noteFirstToken (): void {
    this.#firstTokenMs = this.#host.now() - this.#order.arrivedAt
    this.#host.noteFirstToken(this.#order.requestId)
  }

  // Events pass as they came; the end is withheld until the answer is whole.
  #relay (events: readonly Buffer[]): boolean {
    if (events.length === 0 || this.#isWhole || this.#ended) return true
    if (!this.#response.headersSent) this.#response.writeHead(200, this.#formatHeaders('text/event-stream'))
    const flows = this.#response.write(events.length === 1 ? events[0] : Buffer.concat(events))
    if (!flows) this.#stalled = setTimeout(() => this.#response.destroy(), stalledReaderMs)
    return flows
  }

  #goOn (): void {
    if (this.#stalled !== null) clearTimeout(this.#stalled)
    this.#stalled = null
    this.#stream?.resume()
  }

  #formatHeaders (type: string): Record<string, string> {
    const headers: Record<string, string> = { 'content-type': type, [requestIdHeader]: this.#order.requestId, [outcomeHeader]: 'run' }
    if (type === 'text/event-stream') headers['cache-control'] = 'no-cache'
    return headers
  }

  // A stream that ends without its last event is not a whole answer.
  #finish (): void {
    if (!this.#parts.isDone) return this.#retry('reset')
    this.#release('done')
    this.#ended = true
    if (this.#isWhole) {
      this.#response.writeHead(200, this.#formatHeaders('application/json'))
      this.#response.end(this.#parts.compose(this.#order.chat.model))
    } else {
      if (!this.#response.headersSent) this.#response.writeHead(200, this.#formatHeaders('text/event-stream'))
      this.#response.end('data: [DONE]\n\n')
    }
    this.#summarise('ok', 200, 0)
  }

  // The engine found fault with the request itself: its words are the answer.
  #reject (status: number, text: string): void {
    this.#release('done')
    this.#ended = true
    if (!this.#response.headersSent) {
      this.#response.writeHead(status, this.#formatHeaders('application/json'))
      this.#response.end(text)
    } else {
      this.#response.end()
    }
    this.#summarise('bad-request', status, 0)
  }

  #retry (failure: EngineFailure, backoffMs = 0): void {
    if (this.#ended) return
    const wrote = this.#stream?.wroteBytes === true
    this.#wroteBytes ||= wrote
    if (!wrote) this.#unreached += 1
    this.#release(wrote ? 'engine-failed' : 'engine-unreachable', backoffMs)
    const engine = this.#engine
    if (engine !== null) this.#exclude.push(engine.id)
    if (this.#mayTryAgain(engine)) return void this.#attempt()
    const kind = !this.#wroteBytes ? 'no-engine' : failure === 'silent' ? 'engine-timeout' : 'engine-failed'
    this.#fail(new Fault(kind, `engine ${engine?.id ?? 'unknown'} failed (${failure}) after ${this.#attempts} attempts`))
  }

  #mayTryAgain (engine: EngineEntry | null): boolean {
    // An engine that was never reached cost nothing, but the tries must end.
    if (this.#attempts - this.#unreached >= mostAttempts || this.#unreached >= mostUnreached) return false
    if (this.#isResuming) return engine !== null && this.#host.canResume(engine) && isTextOnly(this.#order.chat)
    return this.#host.takeRetry(this.#order.class.name)
  }

  #release (how: StreamEnd, backoffMs = 0): void {
    if (!this.#isPlaced) return
    this.#isPlaced = false
    this.#host.end(this.#order.requestId, how, this.#parts.tokens, backoffMs)
  }

  #leave (): void {
    if (this.#stalled !== null) clearTimeout(this.#stalled)
    if (this.#ended) return
    this.#ended = true
    this.#stream?.cancel()
    if (this.#isPlaced) this.#release('cancelled')
    else this.#host.cancel(this.#order.requestId)
    this.#summarise('left', 499, this.#parts.tokens)
  }

  #fail (fault: Fault): void {
    this.#ended = true
    sendFault(this.#response, fault, this.#order.requestId, this.#wroteBytes)
    this.#summarise(fault.kind, this.#response.statusCode, this.#parts.tokens)
  }

  #summarise (kind: ChatSummary['kind'], status: number, wastedTokens: number): void {
    this.#host.noteEnd({
      order: this.#order,
      kind,
      status,
      attempts: this.#attempts,
      engine: this.#engine?.id ?? '',
      tokens: this.#parts.tokens,
      firstTokenMs: this.#firstTokenMs,
      totalMs: this.#host.now() - this.#order.arrivedAt,
      wastedTokens
    })
  }
}

function describeRefusal (reason: string, order: ChatOrder): string {
  switch (reason) {
    case 'no-engine': return `no engine for model ${order.chat.model} can take the request`
    case 'queue-full': return `the queue of class ${order.class.name} is full`
    default: return `demand of class ${order.class.name} exceeds capacity; its target could not be met`
  }
}
