/**
 * A stand-in engine that serves the published chat protocol from a model of
 * continuous batching. `docs/ENGINES.md` lists what it implements and omits.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { performance } from 'node:perf_hooks'
import type { StandinEngineSettings } from '../config/index.js'
import { digestPrefix, estimatePrompt, formatEventData, isBadChat, parseChat } from '../protocol/index.js'
import type { ChatRequest } from '../protocol/index.js'
import { ClientServer } from '../runtime/index.js'
import type { ClientIntake } from '../runtime/index.js'
import { composeAnswer } from './answer-text.js'
import { EngineLoop } from './engine-loop.js'
import { EngineModel } from './engine-model.js'
import { parseFault } from './engine-fault.js'
import type { EngineFault } from './engine-fault.js'
import { createIntake, readBody, sendJson } from './http-tools.js'
import { FencedOrderHandler } from './fenced-order-handler.js'
import type { OrderBody } from './fenced-order-handler.js'
import { Silence } from './silence.js'

interface OpenStream {
  readonly chat: ChatRequest
  readonly response: ServerResponse
  readonly words: readonly string[]
  readonly firstWord: number
  readonly promptTokens: number
  nextWord: number
}

interface TimestampedReport {
  readonly at: number
  readonly report: unknown
}

const reportEveryMs = 100
const maxConnections = 4000
const keepAliveMs = 60_000
const contextMs = 0.05
const prefixTokens = 256
const prefixEntries = 64
const maxCacheEvents = 4096

/** Record of a stream for checks: request id, words sent and how it ended. */
export interface RunRecord {
  readonly id: string
  given: number
  end: 'running' | 'whole' | 'cancelled' | 'crashed'
}

export class StandinEngine {
  readonly settings: StandinEngineSettings
  readonly runRecords = new Map<string, RunRecord>()
  readonly silence = new Silence()
  port = 0
  #model: EngineModel
  #loop: EngineLoop
  #server: ClientServer
  #intake: ClientIntake
  #streams = new Map<string, OpenStream>()
  #fault: EngineFault = { type: 'none' }
  #counter = 0
  #orders: FencedOrderHandler
  #reports: TimestampedReport[] = []
  #cacheEvents: string[] = []
  #discardedEvents = 0
  #incarnation = Date.now()
  #isLeaving = false
  #timer: NodeJS.Timeout

  constructor (settings: StandinEngineSettings, intake = createIntake()) {
    this.settings = settings
    this.#intake = intake
    this.#server = new ClientServer({ http: { keepAliveTimeout: keepAliveMs }, listener: 'engine', intake, maxConnections, serve: ({ request, response }) => { void this.#serve(request, response) }, composeMalformed: () => '' })
    const { batch, baseMs, streamMs, prefillMs, kvTokens } = settings
    this.#model = new EngineModel({ batch, baseMs, streamMs, prefillMs, kvTokens, contextMs, prefixTokens, prefixEntries })
    this.#loop = new EngineLoop(this.#model, { noteToken: id => this.#sendToken(id), noteFinished: id => this.#finishStream(id) }, this.silence)
    this.#orders = new FencedOrderHandler(settings.checksFencing, settings.models)
    this.#timer = setInterval(() => this.#recordReport(), reportEveryMs)
  }

  async listen (): Promise<number> {
    this.port = await this.#server.listen({ host: this.settings.host, port: this.settings.port })
    return this.port
  }

  close (): void {
    clearInterval(this.#timer)
    this.#intake.close()
    this.#server.close()
  }

  /** Injects a fault; `none` clears it. */
  setFault (fault: EngineFault): void {
    this.#fault = fault
    this.#model.slowFactor = fault.type === 'slow' ? fault.factor : 1
  }

  /** Announces in load reports that the engine is leaving. */
  announceLeaving (): void { this.#isLeaving = true }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#route(request, response)
    } catch {
      response.destroy()
    }
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path, query] = (request.url ?? '').split('?')
    await this.silence.awaitEnd()
    switch (`${request.method} ${path}`) {
      case 'GET /health': return sendJson(response, 200, { ok: true })
      case 'GET /v1/models': return sendJson(response, 200, { object: 'list', data: [...this.#orders.models].map(id => ({ id, object: 'model' })) })
      case 'GET /v1/load': return sendJson(response, 200, this.#findDelayedReport())
      case 'GET /v1/cache/events': return sendJson(response, 200, this.#listCacheEvents(Number(new URLSearchParams(query).get('after') ?? 0)))
      case 'GET /ran': return sendJson(response, 200, [...this.runRecords.values()])
      case 'POST /v1/orders': return this.#handleOrder(await readBody(request, this.#intake), response)
      case 'POST /fault': return this.#handleFault(await readBody(request, this.#intake), response)
      case 'POST /v1/chat/completions': return await this.#handleChat(request, response)
      default: return sendJson(response, 404, { error: { message: `no ${path}` } })
    }
  }

  #handleOrder (body: Buffer, response: ServerResponse): void {
    const answer = this.#orders.handle(JSON.parse(body.toString()) as OrderBody)
    sendJson(response, answer.ok ? 200 : 409, answer)
  }

  #handleFault (body: Buffer, response: ServerResponse): void {
    const fault = parseFault(JSON.parse(body.toString()))
    if (fault === null) return sendJson(response, 400, { error: { message: 'not a fault' } })
    this.setFault(fault)
    sendJson(response, 200, { ok: true })
  }

  async #handleChat (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#fault.type === 'reset') return void request.socket.destroy()
    const body = await readBody(request, this.#intake)
    if (this.#fault.type === 'hang') return
    if (this.#fault.type === 'refuse') return sendJson(response, 503, { error: { message: 'refused' } })
    const chat = parseChat(body)
    if (isBadChat(chat)) return sendJson(response, 400, { error: { message: chat.text } })
    if (!this.#orders.models.has(chat.model)) return sendJson(response, 404, { error: { message: 'model not loaded' } })
    this.#startStream(chat, body, String(request.headers['x-request-id'] ?? ''), response)
  }

  #startStream (chat: ChatRequest, body: Buffer, requestId: string, response: ServerResponse): void {
    this.#counter += 1
    const id = `${requestId}/${this.#counter}`
    const { words, given } = composeAnswer(chat)
    const promptTokens = estimatePrompt(body)
    const stream: OpenStream = { chat, response, words, firstWord: given, promptTokens, nextWord: given }
    this.#streams.set(id, stream)
    this.runRecords.set(id, { id, given: 0, end: 'running' })
    const priority = typeof chat.priority === 'number' ? chat.priority : 0
    this.#model.add({ id, priority, promptTokens, prefix: digestPrefix('', chat), tokens: Math.max(1, words.length - given) })
    response.on('close', () => this.#cancelStream(id))
    if (chat.stream === true) response.writeHead(200, { 'content-type': 'text/event-stream' })
    this.#loop.runNextStep()
  }

  #cancelStream (id: string): void {
    if (!this.#streams.delete(id)) return
    this.#model.remove(id)
    this.#recordEnd(id, 'cancelled')
  }

  #recordEnd (id: string, end: RunRecord['end']): void {
    const record = this.runRecords.get(id)
    if (record !== undefined) record.end = end
  }

  #sendToken (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    const word = stream.words[stream.nextWord]
    if (word === undefined) return
    stream.nextWord += 1
    const record = this.runRecords.get(id)
    if (record !== undefined) record.given += 1
    if (stream.chat.stream === true) stream.response.write(formatEventData(formatChunk(id, stream.chat.model, { content: word }, null)))
    this.#injectFault(id, stream)
  }

  #injectFault (id: string, stream: OpenStream): void {
    const given = stream.nextWord - stream.firstWord
    const fault = this.#fault
    if ((fault.type === 'crash' || fault.type === 'short') && given === fault.afterTokens) {
      this.#streams.delete(id)
      this.#model.remove(id)
      this.#recordEnd(id, 'crashed')
      if (fault.type === 'short') stream.response.end()
      else stream.response.destroy()
    }
    if (fault.type === 'garble' && given === fault.afterTokens) stream.response.write(`data: ${fault.data ?? '{"choices": [}'}\n\n`)
  }

  #finishStream (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    this.#streams.delete(id)
    this.#recordEnd(id, 'whole')
    const { chat, response, promptTokens } = stream
    const completion = stream.nextWord
    const usage = { prompt_tokens: promptTokens, completion_tokens: completion, total_tokens: promptTokens + completion }
    if (chat.stream !== true) {
      const message = { role: 'assistant', content: stream.words.slice(stream.firstWord).join('') }
      return sendJson(response, 200, { id, object: 'chat.completion', model: chat.model, created: 0, choices: [{ index: 0, message, finish_reason: 'stop' }], usage })
    }
    response.write(formatEventData(formatChunk(id, chat.model, {}, 'stop')))
    if (chat.stream_options?.include_usage === true) {
      response.write(formatEventData(JSON.stringify({ id, object: 'chat.completion.chunk', model: chat.model, created: 0, choices: [], usage })))
    }
    response.end(formatEventData('[DONE]'))
  }

  // Load reports are served with a delay of `reportLagMs`; cache events as soon as they are collected here.
  #recordReport (): void {
    const report = { running: this.#model.running, waiting: this.#model.waiting, kvUsed: this.#model.kvUsed, stepMs: this.#loop.lastStepMs, leaving: this.#isLeaving }
    this.#reports.push({ at: performance.now(), report })
    if (this.#reports.length > 1000) this.#reports.shift()
    for (const prefix of this.#model.drainEvicted()) this.#cacheEvents.push(prefix)
    while (this.#cacheEvents.length > maxCacheEvents) {
      this.#cacheEvents.shift()
      this.#discardedEvents += 1
    }
  }

  #listCacheEvents (after: number): unknown {
    const next = this.#discardedEvents + this.#cacheEvents.length
    return { evicted: this.#cacheEvents.slice(Math.max(0, after - this.#discardedEvents)), incarnation: this.#incarnation, next, missed: after < this.#discardedEvents || after > next }
  }

  #findDelayedReport (): unknown {
    const until = performance.now() - this.settings.reportLagMs
    const found = this.#reports.findLast(one => one.at <= until) ?? this.#reports[0]
    return found?.report ?? { running: 0, waiting: 0, kvUsed: 0, stepMs: 0, leaving: false }
  }
}

function formatChunk (id: string, model: string, delta: unknown, finish: string | null): string {
  return JSON.stringify({ id, object: 'chat.completion.chunk', created: 0, model, choices: [{ index: 0, delta, finish_reason: finish }] })
}
