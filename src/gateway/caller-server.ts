/** The HTTP server that callers meet: reads requests whole, finds their route and whose they are. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Address } from '../config/index.js'
import { pickService, rankRequest } from '../core/index.js'
import type { CallerLimits, KeyedWorkspace, Route, RouteTable, Work } from '../core/index.js'
import type { CallerWords, Dialect } from '../protocol/index.js'
import { listen } from '../runtime/index.js'
import { sendRefusal } from './answers.js'
import type { Refusal } from './answers.js'
import type { Exchange } from './exchange.js'
import type { Order } from './order.js'

/** What the door needs of its box. */
export interface CallerServerHost {
  readonly dialect: Dialect
  /** The routes in force; null before the first document. */
  readonly table: RouteTable | null
  /** Resolves once there are routes. */
  readonly routed: Promise<void>
  readonly isLeaving: boolean
  /** Time until a box that is leaving must have ended, ms; null for one that stays. */
  readonly leavesInMs: number | null
  now (): number
  draw (): number
  makeRequestId (): string
  begin (order: Order, response: ServerResponse): Exchange
  noteRefused (headers: CallerWords | null, refusal: Refusal): void
}

/** What a request was let in on: its route, whose it is, and the routes in force when it came. */
interface RouteMatch {
  readonly table: RouteTable
  readonly route: Route
  readonly workspace: KeyedWorkspace | null
}

/** Connections that may wait to be accepted: what Node asks for by itself. */
const acceptBacklog = 511
/**
 * A request that comes before the first document waits for it up to this, ms: a
 * box that starts beside running registries has it within 100 ms, one that
 * starts with them within 600.
 */
const noDocumentHoldMs = 700
/** What has waited so long may come back after this, ms. */
const noDocumentRetryMs = 300
/** A caller that meets a stopping box finds another at once, ms. */
const drainRetryMs = 50
/** A stopping box takes a stream only where so much time is left, ms: most of the users' streams end within it. */
const minStreamMs = 5000
/** Headers larger than this are refused whatever a document allows, bytes. */
const maxHeaderBytes = 64 * 1024
/** How long a caller may take over a whole request, ms. */
const requestTimeoutMs = 60_000
/** How often connections are checked against that, ms. */
const connectionCheckMs = 1000
/** After a body is refused, what still comes is read past for so long, ms, so that the caller can read the answer. */
const refusedBodyMs = 500
/** Longest a request is held where a caller names a longer time than any route should, ms. */
const maxHoldMs = 3_600_000

export class CallerServer {
  #host: CallerServerHost
  #server: Server
  #exchanges = new WeakMap<Socket, Set<Exchange>>()
  #sockets = new WeakMap<Exchange, Socket>()
  /** Connections on which bytes that are no request were answered: nothing more is read from them. */
  #brokenSockets = new WeakSet<Socket>()

  constructor (host: CallerServerHost, maxConnections: number) {
    this.#host = host
    this.#server = createServer({ maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionCheckMs }, (request, response) => {
      void this.#serve(request, response)
    })
    this.#server.maxConnections = maxConnections
    this.#server.on('connection', socket => this.#trackSocket(socket))
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.#refuseMalformed(error, socket as Socket))
  }

  /** Listens; resolves with the port. */
  listen (address: Address): Promise<number> {
    return listen(this.#server, { ...address, backlog: acceptBacklog })
  }

  /** Puts the limits of a new document in force. */
  setLimits (limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleMs
    this.#server.headersTimeout = limits.headerMs
  }

  /** Takes word that the exchange that ran on a connection is over. */
  release (exchange: Exchange): void {
    const socket = this.#sockets.get(exchange)
    if (socket !== undefined) this.#exchanges.get(socket)?.delete(exchange)
  }

  /** Ends the server and whatever connections are left. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  // A caller that closes its side has left: its answer would reach nobody.
  #trackSocket (socket: Socket): void {
    const exchanges = new Set<Exchange>()
    this.#exchanges.set(socket, exchanges)
    const abandon = (): void => {
      for (const exchange of [...exchanges]) exchange.abandon()
    }
    socket.on('end', abandon)
    socket.on('close', abandon)
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    // The rest of a request that was refused as too slow may still come.
    if (this.#brokenSockets.has(request.socket)) return
    const arrivedAt = this.#host.now()
    request.on('error', () => {})
    response.on('error', () => {})
    if (this.#host.isLeaving) response.setHeader('connection', 'close')
    const headers = this.#host.dialect.readCaller(request.headers)
    if (this.#host.table === null) await Promise.race([this.#host.routed, sleep(noDocumentHoldMs, undefined, { ref: false })])
    if (request.destroyed) return
    const match = this.#matchRoute(request, headers)
    if ('kind' in match) return this.#refuse(request, response, headers, match)
    const { bodyBytes } = match.table.document.limits
    const body = await readBody(request, bodyBytes)
    if (body === null) return
    if (body === 'too-large') return this.#refuse(request, response, headers, { kind: 'body-too-large', text: `a body has at most ${bodyBytes} bytes` })
    if (request.socket.destroyed) return
    this.#begin(request, response, this.#composeOrder(request, body, headers, match, arrivedAt))
  }

  #begin (request: IncomingMessage, response: ServerResponse, order: Order): void {
    const exchange = this.#host.begin(order, response)
    if (exchange.isEnded) return
    this.#sockets.set(exchange, request.socket)
    this.#exchanges.get(request.socket)?.add(exchange)
  }

  // The route and the workspace, or why there is none.
  #matchRoute (request: IncomingMessage, headers: CallerWords): RouteMatch | Refusal {
    const { table } = this.#host
    if (table === null) return { kind: 'no-document', text: 'this box has no routes yet', retryAfterMs: noDocumentRetryMs }
    const route = table.findRoute(request.headers.host ?? '', request.url ?? '/')
    if (route === undefined) return { kind: 'unknown-path', text: 'no route leads there' }
    if (!this.#canFinish(route)) return { kind: 'draining', text: 'this box is stopping', retryAfterMs: drainRetryMs }
    const workspace = headers.key === null ? undefined : table.findWorkspace(headers.key)
    if (workspace === undefined && table.needsKeys && !route.isPublic) return { kind: 'bad-key', text: 'the key is missing or opens no workspace' }
    return { table, route, workspace: workspace ?? null }
  }

  // A box that is leaving takes only what it will surely finish.
  #canFinish (route: Route): boolean {
    const left = this.#host.leavesInMs
    if (left === null) return true
    return left > (route.kind === 'events' ? Math.min(route.timeoutMs, minStreamMs) : route.timeoutMs)
  }

  #composeOrder (request: IncomingMessage, body: Buffer, headers: CallerWords, { table, route, workspace }: RouteMatch, arrivedAt: number): Order {
    const service = pickService(route, this.#host.draw())
    const priority = rankRequest(route, workspace, table.ranksPerRoute)
    const work: Work = { service, level: route.priority, priority, cost: headers.cost, pauseMs: route.pauseMs, targetMs: route.targetMs }
    const holdMs = Math.min(route.timeoutMs, headers.deadlineMs ?? maxHoldMs)
    return {
      words: headers.requestId === '' ? { ...headers, requestId: this.#host.makeRequestId() } : headers,
      route,
      service,
      workspace,
      work,
      version: table.version,
      method: request.method ?? 'GET',
      host: request.headers.host ?? '',
      url: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      body,
      arrivedAt,
      holdUntil: arrivedAt + holdMs
    }
  }

  // Answers at once; of a body that still comes, the rest is read past for a while.
  #refuse (request: IncomingMessage, response: ServerResponse, headers: CallerWords, refusal: Refusal): void {
    if (!request.complete) {
      request.resume()
      setTimeout(() => { if (!request.complete) request.socket.destroy() }, refusedBodyMs).unref()
    }
    sendRefusal(response, refusal, this.#host.dialect)
    this.#host.noteRefused(headers, refusal)
  }

  // Bytes that are no request are answered once, and their connection is closed.
  // An answer that is under way there is not written into.
  #refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    this.#brokenSockets.add(socket)
    const isBusy = (this.#exchanges.get(socket)?.size ?? 0) > 0
    if (!socket.writable || isBusy || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    socket.write(`HTTP/1.1 ${pickMalformedStatus(error.code)}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
    socket.destroySoon()
  }
}

function pickMalformedStatus (code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': return '431 Request Header Fields Too Large'
    case 'ERR_HTTP_REQUEST_TIMEOUT': return '408 Request Timeout'
    default: return '400 Bad Request'
  }
}

// Null where the caller left before its body was whole.
function readBody (request: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | null> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve('too-large')
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) resolve('too-large')
      else chunks.push(chunk)
    })
    request.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)))
    request.on('close', () => { if (!request.complete) resolve(null) })
  })
}
