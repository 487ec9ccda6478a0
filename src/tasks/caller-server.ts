/** The public HTTP server: authenticates callers, reads and validates requests, and starts their exchanges. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createHash } from 'node:crypto'
import type { Configuration, EntrySettings, Workspace } from '../config/index.js'
import { brandId, lookUpError } from '../core/index.js'
import type { BoxWork, ClassName, PlannedStop, RequestClass, RequestId, ServiceName } from '../core/index.js'
import { digestPrefix, estimateParsed, estimatePrompt, isBadChat, parseChat } from '../protocol/index.js'
import { ClientServer, discardBody, readBody } from '../runtime/index.js'
import type { BodyOutcome, ClientIntake, HttpExchange } from '../runtime/index.js'
import { classHeader, formatError, requestIdHeader, sendError } from './error-response.js'
import type { ChatContext } from './chat-host.js'
import { RequestError, composeDrainError, toRequestError } from './request-error.js'
import { describeCall } from './service-exchange.js'
import type { ServiceContext } from './service-exchange.js'

/** Functions and state of the box that the server depends on. */
export interface CallerServerHost {
  readonly settings: EntrySettings
  readonly intake: ClientIntake
  readonly configuration: Configuration
  readonly isReady: boolean
  readonly plannedStop: PlannedStop
  now (): number
  createRequestId (): RequestId
  /** Starts a chat completion. Errors thrown synchronously are sent to the caller. */
  startChat (context: ChatContext, response: ServerResponse): void
  /** Resolves once the call has ended, which may be after its caller was answered. */
  startService (context: ServiceContext, response: ServerResponse): Promise<void>
  noteRefused (requestId: string, error: RequestError): void
}

/** A request whose body is being read. */
interface ArrivingRequest {
  readonly requestId: RequestId
  readonly request: IncomingMessage
  /** What the box takes on if it begins at the given time. */
  describe (now: number): BoxWork
}

type WholeBody = Extract<BodyOutcome, { readonly type: 'whole' }>

const maxHeaderBytes = 16 * 1024
const keepAliveMs = 65_000
/** Memory of a chat request for each byte of its body, about: it is parsed, and composed anew for the engine. */
const chatByteCost = 4
const servicePath = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/

export class CallerServer {
  #host: CallerServerHost
  #server: ClientServer
  /** Responses that have not ended. */
  #open = new Set<ServerResponse>()
  /** Requests that have no exchange and no answer yet: their bodies are being read. */
  #arriving = new Map<ServerResponse, ArrivingRequest>()

  constructor (host: CallerServerHost) {
    this.#host = host
    const { receiveMs, maxConnections } = host.settings
    this.#server = new ClientServer({
      http: {
        maxHeaderSize: maxHeaderBytes,
        requestTimeout: receiveMs,
        headersTimeout: receiveMs,
        keepAliveTimeout: keepAliveMs,
        connectionsCheckingInterval: Math.min(1000, receiveMs)
      },
      maxConnections,
      listener: 'callers',
      intake: host.intake,
      serve: exchange => { void this.#serve(exchange) },
      composeMalformed: error => this.#composeMalformed(error)
    })
  }

  /** Starts listening; resolves with the port. */
  listen (): Promise<number> {
    const { host, port } = this.#host.settings.listen
    return this.#server.listen({ host, port })
  }

  /** Tells callers that their connections close with the responses that they wait for, as the box begins to stop. */
  announceClose (): void {
    for (const response of this.#open) if (!response.headersSent) response.setHeader('connection', 'close')
  }

  /** Stops accepting connections; those that are open stay, idle ones too, as a request may be on its way on any of them. */
  stopAccepting (): void { void this.#server.stopListening() }

  /** Refuses the requests that are being read and that the box may not begin any more. */
  refuseArriving (): void {
    for (const [response, { requestId, request, describe }] of this.#arriving) {
      if (!this.#mayBegin(describe)) this.#refuse({ request, response }, requestId, composeDrainError())
    }
  }

  /** Closes all connections, including those with requests in flight. */
  closeAllConnections (): void {
    this.#server.close()
    this.#host.intake.close()
  }

  async #serve (exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange
    const requestId = this.#host.createRequestId()
    this.#open.add(response)
    if (this.#host.plannedStop.isBegun) response.setHeader('connection', 'close')
    response.on('error', () => {})
    response.on('close', () => {
      this.#open.delete(response)
      this.#arriving.delete(response)
    })
    try {
      await this.#route(request, response, requestId)
    } catch (error) {
      this.#refuse(exchange, requestId, toRequestError(error))
    }
    this.#arriving.delete(response)
  }

  #mayBegin (describe: ArrivingRequest['describe']): boolean { return this.#host.plannedStop.mayBegin(describe(this.#host.now())) }

  // A stop may begin, and time passes, while the body is read: it is asked before and after.
  async #readAdmitted (response: ServerResponse, arriving: ArrivingRequest, byteCost: number): Promise<WholeBody> {
    if (!this.#mayBegin(arriving.describe)) throw composeDrainError()
    this.#arriving.set(response, arriving)
    const body = await this.#readBody(arriving.request, byteCost)
    if (response.writableEnded || this.#mayBegin(arriving.describe)) return body
    body.hold.release()
    throw composeDrainError()
  }

  // One that was refused as the box stops may fail again once its body has been read.
  #refuse ({ request, response }: HttpExchange, requestId: RequestId, error: RequestError): void {
    if (response.destroyed || response.writableEnded) return
    discardBody(request)
    sendError(response, error, requestId, false)
    this.#host.noteRefused(requestId, error)
  }

  async #route (request: IncomingMessage, response: ServerResponse, requestId: RequestId): Promise<void> {
    const url = request.url ?? '/'
    const [path] = url.split('?')
    switch (`${request.method} ${path}`) {
      case 'GET /healthz': return sendText(response, 200, 'ok')
      case 'GET /readyz': return this.#host.isReady ? sendText(response, 200, 'ready') : sendText(response, 503, 'not ready')
      case 'GET /v1/models': return this.#listModels(request, response, requestId)
      case 'POST /v1/chat/completions': return await this.#handleChat(request, response, requestId)
    }
    const service = servicePath.exec(url)
    if (service !== null) return await this.#handleServiceCall(request, response, requestId, service)
    throw new RequestError('unknown-path', `unknown path: ${request.method} ${path}`)
  }

  #listModels (request: IncomingMessage, response: ServerResponse, requestId: RequestId): void {
    this.#authenticate(request)
    const models = new Set([...this.#host.configuration.pools.values()].flatMap(pool => pool.models))
    const data = [...models].map(id => ({ id, object: 'model', created: 0, owned_by: 'wrenlane' }))
    response.writeHead(200, { 'content-type': 'application/json', [requestIdHeader]: requestId })
    response.end(JSON.stringify({ object: 'list', data }))
  }

  async #handleChat (request: IncomingMessage, response: ServerResponse, requestId: RequestId): Promise<void> {
    const arrivedAt = this.#host.now()
    const workspace = this.#authenticate(request)
    const requestClass = this.#findClass(request, workspace)
    const { body, hold } = await this.#readAdmitted(response, { requestId, request, describe: () => ({ type: 'chat' }) }, chatByteCost)
    response.on('close', () => hold.release())
    if (response.writableEnded) return hold.release()
    if (!hold.grow(Math.max(0, estimateParsed(body) - chatByteCost * body.length))) throw this.#refuseBody(request, workspace)
    const chat = parseChat(body)
    if (isBadChat(chat)) throw new RequestError('bad-request', chat.text, { param: chat.param })
    const { pools } = this.#host.configuration
    if (![...pools.values()].some(pool => pool.models.some(model => model === chat.model))) {
      throw new RequestError('unknown-model', `no pool serves model ${JSON.stringify(chat.model)}`, { param: 'model' })
    }
    const prefix = digestPrefix(workspace.name, chat)
    this.#host.startChat({ requestId, workspace, class: requestClass, chat, promptTokens: estimatePrompt(body), prefix, arrivedAt }, response)
  }

  async #handleServiceCall (request: IncomingMessage, response: ServerResponse, requestId: RequestId, match: RegExpExecArray): Promise<void> {
    const arrivedAt = this.#host.now()
    const workspace = this.#authenticate(request)
    const service = this.#host.configuration.services.get(brandId<ServiceName>(match[1]))
    if (service === undefined) throw new RequestError('unknown-service', `no service ${JSON.stringify(match[1])} is configured`)
    const call = { service, method: request.method ?? 'POST', path: `${match[2] ?? '/'}${match[3] ?? ''}` }
    const { body, hold } = await this.#readAdmitted(response, { requestId, request, describe: now => describeCall(call, now) }, 1)
    if (response.writableEnded) return hold.release()
    void this.#host.startService({ ...call, requestId, workspace: workspace.name, headers: request.headers, body, arrivedAt }, response).finally(() => hold.release())
  }

  #authenticate (request: IncomingMessage): Workspace {
    const header = request.headers.authorization ?? ''
    const key = /^Bearer\s+(\S+)$/i.exec(header)?.[1]
    if (key === undefined) throw new RequestError('bad-key', 'send the workspace key as "Authorization: Bearer KEY"')
    const digest = createHash('sha256').update(key).digest('hex')
    const workspace = this.#host.configuration.keys.get(digest)
    if (workspace === undefined) throw new RequestError('bad-key', 'the key does not belong to a workspace')
    return workspace
  }

  #findClass (request: IncomingMessage, workspace: Workspace): RequestClass {
    const requestedName = request.headers[classHeader]
    const name = typeof requestedName === 'string' ? brandId<ClassName>(requestedName) : workspace.defaultClass
    const requestClass = this.#host.configuration.classes.get(name)
    if (requestClass === undefined) throw new RequestError('unknown-class', `no class ${JSON.stringify(name)} is configured`, { param: classHeader })
    return requestClass
  }

  async #readBody (request: IncomingMessage, byteCost: number): Promise<WholeBody> {
    const { settings, intake } = this.#host
    const maxBytes = Math.min(settings.maxBodyBytes, Math.floor(intake.memory.largestRequestBytes / byteCost))
    const declaredBytes = Number(request.headers['content-length'] ?? 0)
    if (declaredBytes > maxBytes) throw new RequestError('body-too-large', `request body too large: ${declaredBytes} bytes; the limit is ${maxBytes} bytes`)
    const outcome = await readBody(request, maxBytes, intake.memory, byteCost)
    switch (outcome.type) {
      case 'whole': return outcome
      case 'no-room': throw this.#refuseBody(request, this.#authenticate(request))
      case 'too-large': throw new RequestError('body-too-large', `request body too large: the limit is ${maxBytes} bytes`)
      case 'aborted': throw new RequestError('bad-request', 'the connection was closed before the request body was complete')
    }
  }

  #refuseBody (request: IncomingMessage, { name }: Workspace): RequestError {
    this.#host.intake.noteRefused('callers', 'body', { address: request.socket.remoteAddress ?? '', workspace: name })
    return new RequestError('no-memory', 'this box has no memory left for the request body')
  }

  // Responds to input that cannot be parsed as HTTP with an error of the usual format.
  #composeMalformed (error: NodeJS.ErrnoException): string {
    const requestId = this.#host.createRequestId()
    const requestError = describeClientError(error)
    const { type, retryAfter: _, ...errorResponse } = lookUpError(requestError.kind)
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : `${errorResponse.status} ${type}`
    const body = formatError(requestError, requestId, 'not-run')
    const head = [`HTTP/1.1 ${status}`, 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, `${requestIdHeader}: ${requestId}`, 'x-wrenlane-outcome: not-run', 'connection: close']
    this.#host.noteRefused(requestId, requestError)
    return `${head.join('\r\n')}\r\n\r\n${body}`
  }
}

function describeClientError (error: NodeJS.ErrnoException): RequestError {
  if (error.code === 'HPE_HEADER_OVERFLOW') return new RequestError('bad-request', `request headers too large: the limit is ${maxHeaderBytes} bytes in total`)
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return new RequestError('slow-caller', 'the request was not received completely before the time-out')
  return new RequestError('bad-request', 'the request is not valid HTTP')
}

function sendText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
