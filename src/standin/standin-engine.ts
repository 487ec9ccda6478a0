/**
 * A stand-in engine: the published chat protocol over a model of continuous
 * batching. `docs/ENGINES.md` says what it does and what it leaves out.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { performance } from 'node:perf_hooks'
import type { StandinEngineSettings } from '../config/index.js'
import { digestPrefix, estimatePrompt, formatEventData, isBadChat, parseChat } from '../protocol/index.js'
import type { ChatRequest } from '../protocol/index.js'
import { composeAnswer } from './answer-text.js'
import { EngineLoop } from './engine-loop.js'
import { EngineModel } from './engine-model.js'
import { parseFault } from './fault-plan.js'
import type { Fault } from './fault-plan.js'
import { listenOn, readBody, sendJson } from './http-tools.js'
import { OrderDesk } from './order-desk.js'
import type { OrderBody } from './order-desk.js'

interface OpenStream {
  readonly chat: ChatRequest
  readonly response: ServerResponse
  readonly words: readonly string[]
  readonly first: number
  readonly promptTokens: number
  next: number
}

interface StampedReport {
  readonly at: number
  readonly report: unknown
}

const reportEveryMs = 100
const contextMs = 0.05
const prefixTokens = 256
const prefixEntries = 64

/** What an engine's record tells a checker: who asked, and how much was given. */
export interface RanRecord {
  readonly id: string
  given: number
  end: 'running' | 'whole' | 'cancelled' | 'crashed'
}

export class StandinEngine {
  readonly settings: StandinEngineSettings
  readonly ran = new Map<string, RanRecord>()
  port = 0
  #model: EngineModel
  #loop: EngineLoop
  #server = createServer((request, response) => { void this.#serve(request, response) })
  #streams = new Map<string, OpenStream>()
  #fault: Fault = { type: 'none' }
  #counter = 0
  #desk: OrderDesk
  #reports: StampedReport[] = []
  #cacheEvents: string[] = []
  #leaving = false
  #timer: NodeJS.Timeout

  constructor (settings: StandinEngineSettings) {
    this.settings = settings
    const { batch, baseMs, streamMs, prefillMs, kvTokens } = settings
    this.#model = new EngineModel({ batch, baseMs, streamMs, prefillMs, kvTokens, contextMs, prefixTokens, prefixEntries })
    this.#loop = new EngineLoop(this.#model, { give: id => this.#give(id), finish: id => this.#finish(id) })
    this.#desk = new OrderDesk(settings.checksFencing, settings.models)
    this.#timer = setInterval(() => this.#report(), reportEveryMs)
    this.#server.keepAliveTimeout = 60_000
  }

  async listen (): Promise<number> {
    this.port = await listenOn(this.#server, this.settings.host, this.settings.port)
    return this.port
  }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Brings a fault about, or ends it. */
  setFault (fault: Fault): void {
    this.#fault = fault
    this.#model.slowFactor = fault.type === 'slow' ? fault.factor : 1
  }

  /** Says in its reports that it is leaving. */
  leave (): void { this.#leaving = true }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#route(request, response)
    } catch {
      response.destroy()
    }
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path] = (request.url ?? '').split('?')
    switch (`${request.method} ${path}`) {
      case 'GET /health': return sendJson(response, 200, { ok: true })
      case 'GET /v1/models': return sendJson(response, 200, { object: 'list', data: [...this.#desk.models].map(id => ({ id, object: 'model' })) })
      case 'GET /v1/load': return sendJson(response, 200, this.#findReport())
      case 'GET /v1/cache/events': return sendJson(response, 200, { evicted: this.#cacheEvents.splice(0) })
      case 'GET /ran': return sendJson(response, 200, [...this.ran.values()])
      case 'POST /v1/orders': return this.#order(await readBody(request), response)
      case 'POST /fault': return this.#takeFault(await readBody(request), response)
      case 'POST /v1/chat/completions': return await this.#chat(request, response)
      default: return sendJson(response, 404, { error: { message: `no ${path}` } })
    }
  }

  #order (body: Buffer, response: ServerResponse): void {
    const answer = this.#desk.take(JSON.parse(body.toString()) as OrderBody)
    sendJson(response, answer.ok ? 200 : 409, answer)
  }

  #takeFault (body: Buffer, response: ServerResponse): void {
    const fault = parseFault(JSON.parse(body.toString()))
    if (fault === null) return sendJson(response, 400, { error: { message: 'not a fault' } })
    this.setFault(fault)
    sendJson(response, 200, { ok: true })
  }

  async #chat (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#fault.type === 'reset') return void request.socket.destroy()
    const body = await readBody(request)
    if (this.#fault.type === 'hang') return
    if (this.#fault.type === 'refuse') return sendJson(response, 503, { error: { message: 'refused' } })
    const chat = parseChat(body)
    if (isBadChat(chat)) return sendJson(response, 400, { error: { message: chat.text } })
    if (!this.#desk.models.has(chat.model)) return sendJson(response, 404, { error: { message: 'model not loaded' } })
    this.#open(chat, body, String(request.headers['x-request-id'] ?? ''), response)
  }

  #open (chat: ChatRequest, body: Buffer, asked: string, response: ServerResponse): void {
    this.#counter += 1
    const id = `${asked}/${this.#counter}`
    const { words, given } = composeAnswer(chat)
    const promptTokens = estimatePrompt(body)
    const stream: OpenStream = { chat, response, words, first: given, promptTokens, next: given }
    this.#streams.set(id, stream)
    this.ran.set(id, { id, given: 0, end: 'running' })
    const priority = typeof chat.priority === 'number' ? chat.priority : 0
    this.#model.add({ id, priority, promptTokens, prefix: digestPrefix('', chat), tokens: Math.max(1, words.length - given) })
    response.on('close', () => this.#leave(id))
    if (chat.stream === true) response.writeHead(200, { 'content-type': 'text/event-stream' })
    this.#loop.wake()
  }

  #leave (id: string): void {
    if (!this.#streams.delete(id)) return
    this.#model.remove(id)
    this.#note(id, 'cancelled')
  }

  #note (id: string, end: RanRecord['end']): void {
    const record = this.ran.get(id)
    if (record !== undefined) record.end = end
  }

  #give (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    const word = stream.words[stream.next]
    if (word === undefined) return
    stream.next += 1
    const record = this.ran.get(id)
    if (record !== undefined) record.given += 1
    if (stream.chat.stream === true) stream.response.write(formatEventData(formatChunk(id, stream.chat.model, { content: word }, null)))
    this.#breakAfter(id, stream)
  }

  #breakAfter (id: string, stream: OpenStream): void {
    const given = stream.next - stream.first
    const fault = this.#fault
    if ((fault.type === 'crash' || fault.type === 'short') && given === fault.afterTokens) {
      this.#streams.delete(id)
      this.#model.remove(id)
      this.#note(id, 'crashed')
      if (fault.type === 'short') stream.response.end()
      else stream.response.destroy()
    }
    if (fault.type === 'garble' && given === fault.afterTokens) stream.response.write('data: {"choices": [}\n\n')
  }

  #finish (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    this.#streams.delete(id)
    this.#note(id, 'whole')
    const { chat, response, promptTokens } = stream
    const completion = stream.next
    const usage = { prompt_tokens: promptTokens, completion_tokens: completion, total_tokens: promptTokens + completion }
    if (chat.stream !== true) {
      const message = { role: 'assistant', content: stream.words.slice(stream.first).join('') }
      return sendJson(response, 200, { id, object: 'chat.completion', model: chat.model, created: 0, choices: [{ index: 0, message, finish_reason: 'stop' }], usage })
    }
    response.write(formatEventData(formatChunk(id, chat.model, {}, 'stop')))
    if (chat.stream_options?.include_usage === true) {
      response.write(formatEventData(JSON.stringify({ id, object: 'chat.completion.chunk', model: chat.model, created: 0, choices: [], usage })))
    }
    response.end(formatEventData('[DONE]'))
  }

  // Reports and cache events are given late: what was true `reportLagMs` ago.
  #report (): void {
    const report = { running: this.#model.running, waiting: this.#model.waiting, kvUsed: this.#model.kvUsed, stepMs: this.#loop.lastStepMs, leaving: this.#leaving }
    this.#reports.push({ at: performance.now(), report })
    if (this.#reports.length > 1000) this.#reports.shift()
    for (const prefix of this.#model.takeEvicted()) this.#cacheEvents.push(prefix)
  }

  #findReport (): unknown {
    const until = performance.now() - this.settings.reportLagMs
    const found = this.#reports.findLast(one => one.at <= until) ?? this.#reports[0]
    return found?.report ?? { running: 0, waiting: 0, kvUsed: 0, stepMs: 0, leaving: false }
  }
}

function formatChunk (id: string, model: string, delta: unknown, finish: string | null): string {
  return JSON.stringify({ id, object: 'chat.completion.chunk', created: 0, model, choices: [{ index: 0, delta, finish_reason: finish }] })
}
