/**
 * Forwards requests of other boxes to endpoints that they don't reach themselves. The other box has decided everything about
 * the request: this one only carries it over its own connection to the endpoint, and never through a further relay.
 */
import type { ServerResponse } from 'node:http'
import type { EndpointView } from '../core/index.js'
import { composeRelayFailure, copyHeaders, isRelayHeader, readRelayHeaders } from '../protocol/index.js'
import type { Dialect, RelayFailure } from '../protocol/index.js'
import { ClientServer, discardBody, readBody } from '../runtime/index.js'
import type { ClientIntake, EventLog, HttpExchange, MemoryHold, Metrics } from '../runtime/index.js'
import type { EndpointAgent } from './endpoint-agent.js'
import { EndpointCall } from './endpoint-call.js'
import type { AnswerHead } from './endpoint-call.js'
import { reportError } from './error-report.js'

/** What the server needs from its box. */
export interface RelayServerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly dialect: Dialect
  readonly secret: string | null
  readonly intake: ClientIntake
  readonly agent: EndpointAgent
  /** False if the box doesn't forward now: it drains, or has lost paths itself. */
  readonly isAvailable: boolean
  /** Largest request body, bytes. */
  readonly maxBodyBytes: number
  now (): number
  findView (endpoint: string): EndpointView | undefined
  /** Connects to an endpoint; `report` is called once. */
  connect (view: EndpointView, report: (isReached: boolean) => void): void
  noteConnected (view: EndpointView): void
  /** Notes that the endpoint could not be connected to; `report` gets true if this box reaches another one, so that it is this endpoint which is down. */
  noteUnreachable (view: EndpointView, reason: string, report: (isEndpointDown: boolean) => void): void
}

/** Requests that are forwarded at the same time; more are refused, so that relaying leaves room for this box's own callers. */
const maxForwarded = 400
/** A request is cancelled this long after its deadline, ms: the path back to the other box may be lost silently. */
const deadlineGraceMs = 500
/** Time-out of a forwarded request without a deadline, ms. */
const defaultDeadlineMs = 600_000
/** Idle connections are closed after this, ms; longer than other boxes keep them. */
const idleMs = 15_000
/** Connections of other boxes: one request at a time runs on each. */
const maxConnections = maxForwarded

export class RelayServer {
  #host: RelayServerHost
  #server: ClientServer
  #calls = new Map<EndpointCall, { readonly response: ServerResponse, readonly until: number }>()
  port = 0

  constructor (host: RelayServerHost) {
    this.#host = host
    this.#server = new ClientServer({
      http: { keepAliveTimeout: idleMs },
      maxConnections,
      listener: 'relay',
      intake: host.intake,
      serve: exchange => { this.#serve(exchange).catch((error: Error) => this.#handleError('', error, exchange.response)) },
      composeMalformed: () => ''
    })
  }

  /** Number of requests that are forwarded now. */
  get inFlight (): number { return this.#calls.size }

  /** Starts listening; resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    this.port = await this.#server.listen({ host, port })
    return this.port
  }

  /** Applies the time-outs of connections and requests. */
  check (now: number): void {
    for (const [call, { response, until }] of this.#calls) {
      call.check(now)
      if (now >= until) response.destroy()
    }
  }

  close (): void { this.#server.close() }

  async #serve (exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange
    request.on('error', () => {})
    response.on('error', () => {})
    if (!this.#host.isAvailable) response.setHeader('connection', 'close')
    const asked = readRelayHeaders(request.headers, this.#host.secret, Date.now())
    const view = asked === null ? undefined : this.#host.findView(asked.endpoint)
    if (asked === null || view === undefined || !this.#mayForward) return this.#refuseUnread(exchange)
    const outcome = await readBody(request, this.#host.maxBodyBytes, this.#host.intake.memory)
    switch (outcome.type) {
      case 'aborted': return
      case 'too-large': return this.#refuseUnread(exchange)
      case 'no-room':
        this.#host.intake.noteRefused('relay', 'body', { address: request.socket.remoteAddress ?? '' })
        return this.#refuseUnread(exchange)
      case 'whole':
        if (asked.task === 'forward' && this.#mayForward) return this.#forward(view, exchange, outcome.body, outcome.hold)
        outcome.hold.release()
        return asked.task === 'check' ? this.#checkEndpoint(view, response) : this.#refuse(response, 'unavailable')
    }
  }

  get #mayForward (): boolean { return this.#host.isAvailable && this.#calls.size < maxForwarded }

  #refuseUnread ({ request, response }: HttpExchange): void {
    discardBody(request)
    this.#refuse(response, 'unavailable')
  }

  #checkEndpoint (view: EndpointView, response: ServerResponse): void {
    this.#host.connect(view, isReached => {
      if (!isReached) return this.#refuseUnreachable(view, 'check', response)
      this.#host.noteConnected(view)
      response.writeHead(204)
      response.end()
    })
  }

  #forward (view: EndpointView, { request, response }: HttpExchange, body: Buffer, hold: MemoryHold): void {
    const { dialect, agent } = this.#host
    const startedAt = this.#host.now()
    const { requestId, deadlineMs } = dialect.readCaller(request.headers)
    const { host, port } = view.record
    let isUnframed = false
    const end = (outcome: string): void => {
      hold.release()
      this.#calls.delete(call)
      if (isUnframed && outcome === 'ok') this.#host.metrics.count('unframed-answers', { service: view.record.service })
      this.#host.metrics.count('forwarded', { service: view.record.service, outcome })
      this.#host.log.info('forwarded', { request: requestId, endpoint: view.id, service: view.record.service, outcome, unframed: isUnframed || undefined, totalMs: Math.round(this.#host.now() - startedAt) })
    }
    const headers = copyHeaders(request.rawHeaders, name => isRelayHeader(name) || name === 'content-length')
    const call: EndpointCall = new EndpointCall({ host, port, agent, method: request.method ?? 'GET', path: request.url ?? '/', headers, body, requestId, isRelayed: false }, dialect, {
      noteConnected: () => this.#host.noteConnected(view),
      receiveHead: head => {
        isUnframed = head.isUnframed
        response.writeHead(head.status, composeAnswerHeaders(head))
        response.flushHeaders()
      },
      receiveChunk: chunk => {
        this.#host.intake.memory.noteRead(chunk.length)
        return response.write(chunk)
      },
      finish: () => {
        response.end()
        end('ok')
      },
      fail: (failure, reason) => {
        end(failure)
        if (response.headersSent) return void response.destroy()
        if (failure === 'unreachable') this.#refuseUnreachable(view, reason, response)
        else this.#refuse(response, failure)
      },
      handleError: error => {
        end('broken')
        this.#handleError(requestId, error, response)
      }
    }, startedAt)
    this.#calls.set(call, { response, until: startedAt + (deadlineMs ?? defaultDeadlineMs) + deadlineGraceMs })
    response.on('drain', () => call.resume())
    // The other box has given up the request, or is gone.
    response.on('close', () => {
      if (!this.#calls.has(call)) return
      call.cancel()
      end('cancelled')
    })
    if (request.socket.destroyed) response.destroy()
  }

  #handleError (requestId: string, error: Error, response: ServerResponse): void {
    reportError('relay', requestId, error, this.#host)
    response.destroy()
  }

  // If this box reaches no other endpoint either, it can't tell whether this one is down.
  #refuseUnreachable (view: EndpointView, reason: string, response: ServerResponse): void {
    this.#host.noteUnreachable(view, reason, isEndpointDown => this.#refuse(response, isEndpointDown ? 'unreachable' : 'unavailable'))
  }

  #refuse (response: ServerResponse, failure: RelayFailure): void {
    if (response.destroyed) return
    response.writeHead(502, { ...composeRelayFailure(failure), 'content-length': 0 })
    response.end()
  }
}

// The endpoint's headers, without those of its connection and any that only relays send.
function composeAnswerHeaders ({ rawHeaders, length }: AnswerHead): string[] {
  const headers = copyHeaders(rawHeaders, name => name === 'content-length' || isRelayHeader(name))
  if (length !== null) headers.push('Content-Length', String(length))
  return headers
}
