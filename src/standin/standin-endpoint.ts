/**
 * A stand-in endpoint of a routed service: it answers with a single body or a
 * stream of numbered events, records every request that it runs, and injects
 * faults. It supports any dialect, given its header names.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { resetSocket } from '../protocol/index.js'
import type { ClientIntake } from '../runtime/index.js'
import { createIntake, listenOn, readBody } from './http-tools.js'
import { composeBody, composeEvent } from './answer-bodies.js'
import { PacedEngine } from './paced-engine.js'
import { Silence } from './silence.js'
import type { PacedEngineShape } from './paced-engine.js'

/** Faults that can be injected. */
export type EndpointFault =
  | { readonly type: 'none' }
  /** Refuses requests with 503 without running them. */
  | { readonly type: 'full' }
  /** Runs requests and answers 500. */
  | { readonly type: 'error' }
  /** Runs requests and closes the connection instead of answering. */
  | { readonly type: 'lose' }
  /** Runs requests and never answers. */
  | { readonly type: 'hang' }
  /** Aborts answers halfway; streams in the middle of the event that follows `afterEvents`. */
  | { readonly type: 'break', readonly afterEvents: number }
  /** Answers with the id of another request. */
  | { readonly type: 'foreign' }
  /** Omits the mark header from answers. */
  | { readonly type: 'unmarked' }
  /** Sends a second response after each complete one. */
  | { readonly type: 'surplus' }
  /** Answers without a content length; closing the connection ends the body. */
  | { readonly type: 'unframed' }
  /** Likewise, but resets the connection halfway through the body. */
  | { readonly type: 'unframed-reset' }

/** How the endpoint crashes on a request whose body begins with `crashBodyPrefix`. */
export interface CrashShape {
  /** From the start of the run until the crash, ms. */
  readonly afterMs: number
  /** From the crash until it listens again on the same address, ms. */
  readonly downMs: number
}

/** Prefix of bodies that crash the endpoint that runs them, where it has a `CrashShape`. */
export const crashBodyPrefix = 'ends its endpoint'

/** Names of the headers that the endpoint reads and writes. */
export interface EndpointHeaders {
  readonly requestId: string
  readonly expectedEndpoint: string
  readonly notRun: string
  /** Mark that every complete answer must carry. Empty where the dialect has none. */
  readonly mark: string
  readonly lastEvent: string
  /** "PROMPT,MAX": tokens of the prompt and the maximum to generate. Only read with a paced engine. */
  readonly tokens?: string
  /** On answers: requests a second that the endpoint accepts from all boxes together. */
  readonly limit?: string
  /** On answers: "1" where the endpoint is about to leave. */
  readonly leaving?: string
  /** On answers: how many requests a brittle endpoint refuses within a second before it fails. */
  readonly brittle?: string
}

/** How an overloaded endpoint refuses requests. */
export interface BackoffShape {
  /** Probability that a request is refused, 0 to 1. */
  readonly share: number
  /** Value of `retry-after` on refusals, s. */
  readonly seconds: number
}

/** A request that reached the endpoint, whether it ran or not. */
export interface EndpointArrival {
  readonly requestId: string
  /** On this process's monotonic clock, ms. */
  readonly at: number
  /** Limit and leaving notice that applied when the request arrived. */
  readonly limit: number | null
  readonly isLeaving: boolean
  /** Back-off time sent with a refusal, ms; null where there was none. */
  backoffMs: number | null
}

/** A request that the endpoint ran. */
export interface EndpointRun {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
  /** True once the connection was closed before the response was complete. */
  isCancelled: boolean
}

interface EventPacing {
  awaitBeforeEvent (): Promise<void>
  awaitAfterEvent (): Promise<void>
}

/** How long a brittle endpoint is down after it failed, ms. */
const fallMs = 2000
/** Number of events of a stream, unless the path contains `events-N`. */
const defaultEvents = 6

export class StandinEndpoint {
  readonly id: string
  /** Version of its software, which writes its name into each event; empty for none. */
  software = ''
  readonly runs: EndpointRun[] = []
  /** Whether `runs` is kept. */
  keepsRuns = true
  fault: EndpointFault = { type: 'none' }
  readonly silence = new Silence()
  readonly arrivals: EndpointArrival[] = []
  /** Rate limit to announce on answers; null for none. */
  limit: number | null = null
  /** Whether answers announce that the endpoint is leaving. */
  isLeaving = false
  backoff: BackoffShape | null = null
  /** Fails if it refuses more requests than this within a second, and announces it on answers; null if it isn't brittle. */
  brittle: number | null = null
  /** Number of times that it failed for that reason. */
  falls = 0
  #refusedAt: number[] = []
  /** Requests that it runs at the same time; more are refused as full. */
  slots = Infinity
  #active = 0
  eventMs = 5
  /** From the start of a run to its answer or first event; `N` ms more if the path contains `wait-N`. */
  answerMs = 1
  port = 0
  /** Null where no request crashes it. */
  crash: CrashShape | null = null
  /** Bodies of the requests that crashed it, in order. */
  readonly crashBodies: string[] = []
  /** Time of each crash in `crashBodies`, on this process's monotonic clock, ms. */
  readonly crashedAt: number[] = []
  /** Time from `noteRegistered` to the next run after each restart, ms. */
  readonly recoveryMs: number[] = []
  /** Called when it crashes. */
  noteCrash: () => void = () => {}
  /** Called when it listens again after a crash. */
  noteRestart: () => void = () => {}
  #headers: EndpointHeaders
  #server: Server
  #host = ''
  #sockets = new Set<Socket>()
  #isDown = false
  /** Time of the last `noteRegistered`; null once a request has run since. */
  #registeredAt: number | null = null
  #isClosed = false
  #engine: PacedEngine | null
  #streamCount = 0
  #intake: ClientIntake

  /** `engine`: paces the events of streams; null sends them at intervals of `eventMs`. */
  constructor (id: string, headers: EndpointHeaders, engine: PacedEngineShape | null = null, intake = createIntake()) {
    this.#intake = intake
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

  /** Stops immediately and closes all connections. */
  close (): void {
    this.#isClosed = true
    this.#intake.close()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Simulates a crash of the process: resets all connections and stops listening; restarts after `downMs`. */
  simulateCrash (body: string, downMs: number): void {
    if (this.#isDown || this.#isClosed) return
    this.#isDown = true
    this.crashBodies.push(body)
    this.crashedAt.push(performance.now())
    this.noteCrash()
    this.#server.close()
    for (const socket of this.#sockets) resetSocket(socket)
    setTimeout(() => { if (!this.#isClosed) void this.#restart() }, downMs).unref()
  }

  /** To be called when a registry has accepted the registration that follows a restart. */
  noteRegistered (): void { this.#registeredAt = performance.now() }

  /** True from a crash until it listens again. */
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
    const body = (await readBody(request, this.#intake)).toString()
    await this.silence.awaitEnd()
    const expected = request.headers[names.expectedEndpoint.toLowerCase()]
    if (expected !== undefined && expected !== this.id) return this.#refuse(response, requestId, 421)
    if (this.fault.type === 'full' || this.#active >= this.slots) {
      this.#refuse(response, requestId, 503)
      return this.#noteRefused()
    }
    if (this.backoff !== null && Math.random() < this.backoff.share) {
      arrival.backoffMs = this.backoff.seconds * 1000
      return this.#refuse(response, requestId, 503, { 'retry-after': String(this.backoff.seconds) })
    }
    const run: EndpointRun = { requestId, method: request.method ?? '', path: request.url ?? '', headers: request.headers, body, isCancelled: false }
    if (this.keepsRuns) this.runs.push(run)
    if (this.#registeredAt !== null) this.recoveryMs.push(performance.now() - this.#registeredAt)
    this.#registeredAt = null
    this.#active += 1
    const noteClosed = (): void => {
      this.#active -= 1
      if (!response.writableFinished) run.isCancelled = true
    }
    // The client may have closed the connection during a silence.
    if (response.destroyed) noteClosed()
    else response.on('close', noteClosed)
    const { crash } = this
    const isCrash = crash !== null && body.startsWith(crashBodyPrefix)
    if (isCrash) setTimeout(() => this.simulateCrash(body, crash.downMs), crash.afterMs)
    // The fault that is active when the run starts applies to it, even if it is cleared meanwhile.
    const { fault } = this
    await sleep(this.answerMs + Number(/wait-(\d+)/.exec(run.path)?.[1] ?? 0))
    await this.silence.awaitEnd()
    // A stream may start before the crash; other requests get no answer.
    if (isCrash && !run.path.includes('/events')) return
    if (fault.type === 'lose') return void request.socket.destroy()
    if (fault.type === 'hang') return
    if (fault.type === 'error') return this.#sendAnswer(response, requestId, 500, 'failed')
    if (run.path.includes('/events')) return await this.#stream(run, request, response)
    this.#sendAnswer(response, requestId, 200, composeBody(run))
  }

  #noteRefused (): void {
    const now = performance.now()
    this.#refusedAt = [...this.#refusedAt.filter(at => now - at < 1000), now]
    if (this.brittle === null || this.#refusedAt.length <= this.brittle || this.#isDown) return
    this.falls += 1
    this.#refusedAt = []
    this.simulateCrash('', fallMs)
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
    const { limit, leaving, brittle } = this.#headers
    return {
      ...limit !== undefined && this.limit !== null ? { [limit]: String(this.limit) } : {},
      ...leaving !== undefined && this.isLeaving ? { [leaving]: '1' } : {},
      ...brittle !== undefined && this.brittle !== null ? { [brittle]: String(this.brittle) } : {}
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
      await this.silence.awaitEnd()
      if (response.destroyed) return
      const event = composeEvent(run.path, id, this.software)
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

  // Returns the waits before and after each event of a stream.
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
