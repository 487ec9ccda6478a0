/** The HTTP server that callers meet: reads requests, finds out who asks what. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { createHash } from 'node:crypto'
import type { Configuration, EntrySettings, Workspace } from '../config/index.js'
import { brandId, lookUpError } from '../core/index.js'
import type { ClassName, RequestClass, RequestId, ServiceName } from '../core/index.js'
import { digestPrefix, estimatePrompt, isBadChat, parseChat } from '../protocol/index.js'
import { listen } from '../runtime/index.js'
import { classHeader, formatError, requestIdHeader, sendFault } from './answers.js'
import type { ChatOrder } from './chat-exchange.js'
import { Fault, toFault } from './fault.js'
import type { ServiceOrder } from './service-exchange.js'

/** What the server needs of its box. */
export interface CallerHost {
  readonly settings: EntrySettings
  readonly configuration: Configuration
  readonly isReady: boolean
  readonly isLeaving: boolean
  now (): number
  nextRequestId (): RequestId
  /** Runs a chat; what it throws is answered. */
  startChat (order: ChatOrder, response: ServerResponse): void
  startService (order: ServiceOrder, response: ServerResponse): void
  noteRefused (requestId: string, fault: Fault): void
}

const maxHeaderBytes = 16 * 1024
const keepAliveMs = 65_000
const servicePath = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/

export class CallerServer {
  #host: CallerHost
  #server: Server

  constructor (host: CallerHost) {
    this.#host = host
    const { receiveMs, maxConnections } = host.settings
    this.#server = createServer({
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: receiveMs,
      headersTimeout: receiveMs,
      keepAliveTimeout: keepAliveMs,
      connectionsCheckingInterval: Math.min(1000, receiveMs)
    }, (request, response) => { void this.#serve(request, response) })
    this.#server.maxConnections = maxConnections
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.#refuseBroken(error, socket as Socket))
  }

  /** Listens; resolves with the port. */
  listen (): Promise<number> {
    const { host, port } = this.#host.settings.listen
    return listen(this.#server, { host, port })
  }

  /** Accepts no more connections; those that are idle are closed. */
  stopAccepting (): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  /** Closes every connection, whatever runs on it. */
  cut (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = this.#host.nextRequestId()
    if (this.#host.isLeaving) response.setHeader('connection', 'close')
    response.on('error', () => {})
    try {
      await this.#route(request, response, requestId)
    } catch (error) {
      const fault = toFault(error)
      if (response.destroyed) return
      if (!request.complete) this.#dropRest(request)
      sendFault(response, fault, requestId, false)
      this.#host.noteRefused(requestId, fault)
    }
  }

  // The rest of a body that is refused is read past for a moment, so that the
  // caller can read the answer, and then the connection is closed.
  #dropRest (request: IncomingMessage): void {
    request.resume()
    setTimeout(() => request.socket.destroy(), 1000).unref()
  }

  async #route (request: IncomingMessage, response: ServerResponse, requestId: RequestId): Promise<void> {
    const url = request.url ?? '/'
    const [path] = url.split('?')
    switch (`${request.method} ${path}`) {
      case 'GET /healthz': return sendText(response, 200, 'ok')
      case 'GET /readyz': return this.#host.isReady ? sendText(response, 200, 'ready') : sendText(response, 503, 'not ready')
      case 'GET /v1/models': return this.#listModels(request, response, requestId)
      case 'POST /v1/chat/completions': return await this.#chat(request, response, requestId)
    }
    const service = servicePath.exec(url)
    if (service !== null) return await this.#service(request, response, requestId, service)
    throw new Fault('unknown-path', `nothing is served at ${request.method} ${path}`)
  }

  #listModels (request: IncomingMessage, response: ServerResponse, requestId: RequestId): void {
    this.#authenticate(request)
    const models = new Set([...this.#host.configuration.pools.values()].flatMap(pool => pool.models))
    const data = [...models].map(id => ({ id, object: 'model', created: 0, owned_by: 'wrenlane' }))
    response.writeHead(200, { 'content-type': 'application/json', [requestIdHeader]: requestId })
    response.end(JSON.stringify({ object: 'list', data }))
  }

  async #chat (request: IncomingMessage, response: ServerResponse, requestId: RequestId): Promise<void> {
    const arrivedAt = this.#host.now()
    const workspace = this.#authenticate(request)
    const wanted = this.#findClass(request, workspace)
    const body = await this.#readBody(request)
    const chat = parseChat(body)
    if (isBadChat(chat)) throw new Fault('bad-request', chat.text, { param: chat.param })
    const { pools } = this.#host.configuration
    if (![...pools.values()].some(pool => pool.models.some(model => model === chat.model))) {
      throw new Fault('unknown-model', `no pool serves model ${JSON.stringify(chat.model)}`, { param: 'model' })
    }
    const prefix = digestPrefix(workspace.name, chat)
    this.#host.startChat({ requestId, workspace, class: wanted, chat, promptTokens: estimatePrompt(body), prefix, arrivedAt }, response)
  }

  async #service (request: IncomingMessage, response: ServerResponse, requestId: RequestId, match: RegExpExecArray): Promise<void> {
    const arrivedAt = this.#host.now()
    const workspace = this.#authenticate(request)
    const service = this.#host.configuration.services.get(brandId<ServiceName>(match[1]))
    if (service === undefined) throw new Fault('unknown-service', `no service ${JSON.stringify(match[1])} is configured`)
    const body = await this.#readBody(request)
    const path = `${match[2] ?? '/'}${match[3] ?? ''}`
    this.#host.startService({ requestId, workspace: workspace.name, service, method: request.method ?? 'POST', path, headers: request.headers, body, arrivedAt }, response)
  }

  #authenticate (request: IncomingMessage): Workspace {
    const header = request.headers.authorization ?? ''
    const key = /^Bearer\s+(\S+)$/i.exec(header)?.[1]
    if (key === undefined) throw new Fault('bad-key', 'send the workspace key as "Authorization: Bearer KEY"')
    const digest = createHash('sha256').update(key).digest('hex')
    const workspace = this.#host.configuration.keys.get(digest)
    if (workspace === undefined) throw new Fault('bad-key', 'the key opens no workspace')
    return workspace
  }

  #findClass (request: IncomingMessage, workspace: Workspace): RequestClass {
    const asked = request.headers[classHeader]
    const name = typeof asked === 'string' ? brandId<ClassName>(asked) : workspace.defaultClass
    const found = this.#host.configuration.classes.get(name)
    if (found === undefined) throw new Fault('unknown-class', `no class ${JSON.stringify(name)} is configured`, { param: classHeader })
    return found
  }

  async #readBody (request: IncomingMessage): Promise<Buffer> {
    const most = this.#host.settings.maxBodyBytes
    const stated = Number(request.headers['content-length'] ?? 0)
    if (stated > most) throw new Fault('body-too-large', `a body is at most ${most} bytes, this one has ${stated}`)
    return await gatherBody(request, most)
  }

  // What is too broken to be a request is answered in the same shape.
  #refuseBroken (error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || socket.bytesWritten > 0) return void socket.destroy()
    const requestId = this.#host.nextRequestId()
    const fault = describeBroken(error)
    const { type, retryAfter: _, ...answer } = lookUpError(fault.kind)
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : `${answer.status} ${type}`
    const body = formatError(fault, requestId, 'not-run')
    const head = [`HTTP/1.1 ${status}`, 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, `${requestIdHeader}: ${requestId}`, 'x-wrenlane-outcome: not-run', 'connection: close']
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
    this.#host.noteRefused(requestId, fault)
  }
}

function describeBroken (error: NodeJS.ErrnoException): Fault {
  if (error.code === 'HPE_HEADER_OVERFLOW') return new Fault('bad-request', `headers are at most ${maxHeaderBytes} bytes together`)
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return new Fault('slow-caller', 'the request was not received in time')
  return new Fault('bad-request', 'the request is not HTTP')
}

// Listeners rather than an iterator: ending an iteration early destroys the
// request, and the refusal could not be sent.
function gatherBody (request: IncomingMessage, most: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= most) chunks.push(chunk)
      else reject(new Fault('body-too-large', `a body is at most ${most} bytes`))
    })
    request.on('end', () => resolve(Buffer.concat(chunks)))
    request.on('error', reject)
    request.on('close', () => {
      if (!request.complete) reject(new Fault('bad-request', 'the caller left before the body was whole'))
    })
  })
}

function sendText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
