/**
 * A stand-in endpoint of a routed service: it answers whole or with numbered
 * events, records every run, and misbehaves on command. It speaks any dialect
 * whose header names it is given.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { resetSocket } from '../protocol/index.js'
import { listenOn, readBody } from './http-tools.js'
import { PacedEngine } from './paced-engine.js'
import type { PacedEngineShape } from './paced-engine.js'

/** How the endpoint misbehaves. */
export type EndpointFault =
  | { readonly type: 'none' }
  /** Turns requests away without running them. */
  | { readonly type: 'full' }
  /** Runs requests and answers 500. */
  | { readonly type: 'error' }
  /** Runs requests and resets the connection in place of an answer. */
  | { readonly type: 'lose' }
  /** Runs requests and never answers. */
  | { readonly type: 'hang' }
  /** Ends answers in the middle; streams in the middle of the event after so many. */
  | { readonly type: 'break', readonly afterEvents: number }
  /** Names another request in its answers. */
  | { readonly type: 'foreign' }
  /** Leaves out its mark. */
  | { readonly type: 'unmarked' }
  /** Sends a second answer after each whole one. */
  | { readonly type: 'surplus' }
  /** Answers without a length, ended by the connection's end. */
  | { readonly type: 'unframed' }
  /** The same, but in the middle the connection is reset. */
  | { readonly type: 'unframed-reset' }

/** What the endpoint does with a request whose body begins with `crashMark`. */
export interface CrashShape {
  /** From the start of such a run until the endpoint ends, ms. */
  readonly afterMs: number
  /** Until it listens again at its address, ms. */
  readonly downMs: number
}

/** Requests with such a body end the endpoint that runs them, where it has a `CrashShape`. */
export const crashMark = 'ends its endpoint'

/** The headers that the endpoint reads and writes. */
export interface EndpointHeaders {
  readonly requestId: string
  readonly expectedEndpoint: string
  readonly notRun: string
  /** Empty where the dialect has no mark. */
  readonly mark: string
  readonly lastEvent: string
  /** "PROMPT,MOST": tokens of the prompt and the most that may be generated; only engines look at it. */
  readonly tokens?: string
  /** On answers: requests a second that the endpoint takes from all boxes together. */
  readonly limit?: string
  /** On answers: "1" where the endpoint leaves. */
  readonly leaving?: string
}

/** How an endpoint under load turns requests away. */
export interface BackoffShape {
  /** Part of the requests that are turned away, 0 to 1. */
  readonly share: number
  /** For how long it then wants nothing from the box that sent it, s. */
  readonly seconds: number
}

/** One request that reached the endpoint, whether it ran or not. */
export interface EndpointArrival {
  readonly requestId: string
  /** On this process's rising clock, ms. */
  readonly at: number
  /** What its answer was to say, as it stood then. */
  readonly limit: number | null
  readonly isLeaving: boolean
  /** For how long the endpoint asked the box to back off, ms; null where it didn't. */
  backoffMs: number | null
}

/** One request that the endpoint ran. */
export interface EndpointRun {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
  /** True once the caller's side closed the connection before the end. */
  isCalledOff: boolean
}

interface EventPacing {
  awaitBeforeEvent (): Promise<void>
  awaitAfterEvent (): Promise<void>
}

/** Number of a stream's events; a path ending in `/events-N` asks for N. */
const defaultEvents = 6

export class StandinEndpoint {
  readonly id: string
  readonly runs: EndpointRun[] = []
  fault: EndpointFault = { type: 'none' }
  readonly arrivals: EndpointArrival[] = []
  /** The limit that it names on its answers; null for none. */
  limit: number | null = null
  /** True where its answers say that it leaves. */
  isLeaving = false
  backoff: BackoffShape | null = null
  eventMs = 5
  answerMs = 1
  port = 0
  /** Null where no request ends it. */
  crash: CrashShape | null = null
  /** The bodies under which it has ended, one for each time. */
  readonly ends: string[] = []
  /** When each of these was, on this process's rising clock, ms. */
  readonly endedAt: number[] = []
  /** After each restart, from `noteKnown` to its first run, ms. */
  readonly backMs: number[] = []
  /** Called as it ends under a request. */
  noteEnd: () => void = () => {}
  /** Called once it listens again after it has ended. */
  noteRestart: () => void = () => {}
  #headers: EndpointHeaders
  #server: Server
  #host = ''
  #sockets = new Set<Socket>()
  #isDown = false
  /** When its new life's first word was taken; null once it has had work since. */
  #registeredAt: number | null = null
  #isClosed = false
  #engine: PacedEngine | null
  #streamCount = 0

  /** `engine`: how an engine reads and writes; null where events come by the clock. */
  constructor (id: string, headers: EndpointHeaders, engine: PacedEngineShape | null = null) {
    this.id = id
    this.#headers = headers
    this.#engine = engine === null ? null : new PacedEngine(engine)
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
      socket.on('error', () => {})
    })
  }

  async listen (host: string, port = 0): Promise<number> {
    this.#host = host
    this.port = await listenOn(this.#server, host, port)
    return this.port
  }

  /** Ends at once, as a crash does. */
  close (): void {
    this.#isClosed = true
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Resets all connections and listens no more, as a process that dies does; it is back after `downMs`. */
  end (body: string, downMs: number): void {
    if (this.#isDown || this.#isClosed) return
    this.#isDown = true
    this.ends.push(body)
    this.endedAt.push(performance.now())
    this.noteEnd()
    this.#server.close()
    for (const socket of this.#sockets) resetSocket(socket)
    setTimeout(() => { if (!this.#isClosed) void this.#restart() }, downMs)
  }

  /** Takes word that a box has taken the first word of its new life. */
  noteKnown (): void { this.#registeredAt = performance.now() }

  /** True from its end under a request until it listens again. */
  get isDown (): boolean { return this.#isDown }

  async #restart (): Promise<void> {
    await listenOn(this.#server, this.#host, this.port)
    this.#isDown = false
    this.noteRestart()
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const names = this.#headers
    const requestId = String(request.headers[names.requestId.toLowerCase()] ?? '')
    const arrival: EndpointArrival = { requestId, at: performance.now(), limit: this.limit, isLeaving: this.isLeaving, backoffMs: null }
    this.arrivals.push(arrival)
    const body = (await readBody(request)).toString()
    const expected = request.headers[names.expectedEndpoint.toLowerCase()]
    if (expected !== undefined && expected !== this.id) return this.#refuse(response, requestId, 421)
    if (this.fault.type === 'full') return this.#refuse(response, requestId, 503)
    if (this.backoff !== null && Math.random() < this.backoff.share) {
      arrival.backoffMs = this.backoff.seconds * 1000
      return this.#refuse(response, requestId, 503, { 'retry-after': String(this.backoff.seconds) })
    }
    const run: EndpointRun = { requestId, method: request.method ?? '', path: request.url ?? '', headers: request.headers, body, isCalledOff: false }
    this.runs.push(run)
    if (this.#registeredAt !== null) this.backMs.push(performance.now() - this.#registeredAt)
    this.#registeredAt = null
    response.on('close', () => { if (!response.writableFinished) run.isCalledOff = true })
    const { crash } = this
    const isCrash = crash !== null && body.startsWith(crashMark)
    if (isCrash) setTimeout(() => this.end(body, crash.downMs), crash.afterMs)
    // As it was when the run began: a fault that is lifted meanwhile is not lifted for it.
    const { fault } = this
    await sleep(this.answerMs)
    // A stream may begin before; nothing else is ever answered.
    if (isCrash && !run.path.includes('/events')) return
    if (fault.type === 'lose') return void request.socket.destroy()
    if (fault.type === 'hang') return
    if (fault.type === 'error') return this.#sendAnswer(response, requestId, 500, 'failed')
    if (run.path.includes('/events')) return await this.#stream(run, request, response)
    this.#sendAnswer(response, requestId, 200, composeWhole(run))
  }

  #refuse (response: ServerResponse, requestId: string, status: number, extraHeaders: Record<string, string> = {}): void {
    response.writeHead(status, { ...this.#composeNoticeHeaders(), ...extraHeaders, [this.#headers.requestId]: requestId, [this.#headers.notRun]: '1', 'content-length': 0 })
    response.end()
  }

  #composeHeaders (requestId: string): Record<string, string> {
    const { mark } = this.#headers
    const headers: Record<string, string> = { ...this.#composeNoticeHeaders(), [this.#headers.requestId]: this.fault.type === 'foreign' ? 'another' : requestId }
    if (mark !== '' && this.fault.type !== 'unmarked') headers[mark] = `mark of ${this.id}`
    return headers
  }

  #composeNoticeHeaders (): Record<string, string> {
    const { limit, leaving } = this.#headers
    return {
      ...limit !== undefined && this.limit !== null ? { [limit]: String(this.limit) } : {},
      ...leaving !== undefined && this.isLeaving ? { [leaving]: '1' } : {}
    }
  }

  #sendAnswer (response: ServerResponse, requestId: string, status: number, body: string): void {
    const headers = this.#composeHeaders(requestId)
    if (this.fault.type === 'unframed-reset') {
      const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      const { socket } = response
      return void socket?.write(`HTTP/1.1 ${status} OK\r\n${head}\r\n${body.slice(0, body.length >> 1)}`, () => resetSocket(socket))
    }
    if (this.fault.type === 'unframed') {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
      response.writeHead(status, headers)
      return void response.end(body)
    }
    response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) })
    if (this.fault.type === 'break') {
      response.write(body.slice(0, body.length >> 1))
      return void setTimeout(() => response.destroy(), 5)
    }
    response.end(body)
    if (this.fault.type === 'surplus') response.socket?.write(`HTTP/1.1 200 OK\r\n${this.#headers.requestId}: ${requestId}\r\ncontent-length: 5\r\n\r\nagain`)
  }

  async #stream (run: EndpointRun, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const last = Number(request.headers[this.#headers.lastEvent.toLowerCase()] ?? 0)
    const count = Number(/events-(\d+)/.exec(run.path)?.[1] ?? defaultEvents)
    const pacing = this.#createPacing(request, response, count - last)
    response.writeHead(200, { ...this.#composeHeaders(run.requestId), 'content-type': 'text/event-stream' })
    for (let id = last + 1; id <= count; id++) {
      await pacing.awaitBeforeEvent()
      if (response.destroyed) return
      const event = composeEvent(run.path, id)
      if (this.fault.type === 'break' && id > this.fault.afterEvents) {
        response.write(event.slice(0, event.length >> 1))
        await sleep(2)
        return void response.destroy()
      }
      response.write(event)
      await pacing.awaitAfterEvent()
    }
    response.end()
  }

  // What a stream waits for before and after each of its events.
  #createPacing (request: IncomingMessage, response: ServerResponse, events: number): EventPacing {
    const engine = this.#engine
    if (engine === null) return { awaitBeforeEvent: async () => {}, awaitAfterEvent: () => sleep(this.eventMs) }
    this.#streamCount += 1
    const stream = String(this.#streamCount)
    const tokens = String(request.headers[this.#headers.tokens?.toLowerCase() ?? ''] ?? '')
    engine.startStream(stream, parseInt(tokens) || 1, events)
    response.on('close', () => engine.cancelStream(stream))
    return { awaitBeforeEvent: () => engine.awaitEvent(stream), awaitAfterEvent: async () => {} }
  }
}

/** The whole answer to a run: a function of the request, so that a test can tell whose it is. */
export function composeWhole (run: Pick<EndpointRun, 'requestId' | 'method' | 'path' | 'body'>): string {
  return JSON.stringify({ answers: run.requestId, method: run.method, path: run.path, body: run.body })
}

/** One event of a stream, the same at every endpoint. */
export function composeEvent (path: string, id: number): string {
  return `id: ${id}\ndata: ${path} ${id}\n\n`
}
