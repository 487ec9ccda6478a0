/** The HTTP server of a registry, for operators and endpoints. */
import { isUtf8 } from 'node:buffer'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import type { Address } from '../config/index.js'
import type { SettledWindow, VersionedText } from '../coordination/index.js'
import { brandId, findDocumentMistakes } from '../core/index.js'
import type { EndpointRecord, Fingerprint, QuarantineEntry } from '../core/index.js'
import { DocumentError } from '../protocol/index.js'
import type { Dialect, LostPathStatus, NoticeStatus, RegistryCall } from '../protocol/index.js'
import { ClientServer, discardBody, readBody } from '../runtime/index.js'
import type { BodyOutcome, ClientIntake, EventLog, HttpExchange } from '../runtime/index.js'
import type { PutResult } from './leader-client.js'

/** What the server needs of its box. */
export interface OperatorServerHost {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly intake: ClientIntake
  /** Activates a document, whichever registry leads. */
  put (document: VersionedText): Promise<PutResult>
  /** The newest document; `isConfirmed` is false where a newer one may exist. */
  read (): Promise<{ readonly isConfirmed: boolean, readonly document: VersionedText | null }>
  /** Applies an endpoint's registration and broadcasts it. */
  registerEndpoint (record: EndpointRecord): void
  /** Requests in quarantine, and those whose quarantine was lifted recently. */
  listQuarantine (): readonly QuarantineEntry[]
  /** Lifts a quarantine; false where there is none for the fingerprint. */
  liftQuarantine (fingerprint: Fingerprint): boolean
  /** The usage of the retained windows, as applied on this box. */
  listUsage (): readonly SettledWindow[]
  /** The notices that endpoints attach to their responses. */
  listNotices (): readonly NoticeStatus[]
  /** Gateways that have lost paths to endpoints. */
  listLostPaths (): readonly LostPathStatus[]
  noteCall (call: string, status: number, ms: number): void
}

/** Retry-After of a 503, s: about the duration of an election. */
const retryAfterSeconds = '0.5'
/** Idle keep-alive connections are closed after this, ms. */
const idleTimeoutMs = 20_000
/** Limit for receiving a whole request, ms. */
const receiveTimeoutMs = 10_000

/** While a registry stops, it waits for a further call on each connection that was in use within this time, ms: longer than endpoints pause between heartbeats. */
const restMs = 2000
/** How often a stopping registry looks for calls, ms. */
const drainPollMs = 10
/** Part of the drain time reserved for the answers to the calls that are left, ms. */
const haltReserveMs = 300

/** Limits on what operators and endpoints send. */
export interface OperatorLimits {
  readonly maxBodyBytes: number
  readonly maxConnections: number
}

const emptyBody = Buffer.alloc(0)

interface Answer {
  readonly status: number
  readonly body: string
}

const haltedAnswer: Answer = { status: 503, body: 'this registry is stopping and has not executed the call; send it to another one' }

export class OperatorServer {
  #host: OperatorServerHost
  #server: ClientServer
  #maxBodyBytes: number
  /** Calls whose body is being read. */
  #arriving = new Set<HttpExchange>()
  #openCount = 0
  #isDraining = false
  #isHalted = false

  constructor (host: OperatorServerHost, { maxBodyBytes, maxConnections }: OperatorLimits) {
    this.#host = host
    this.#maxBodyBytes = Math.min(maxBodyBytes, host.intake.memory.largestRequestBytes)
    this.#server = new ClientServer({
      http: { keepAliveTimeout: idleTimeoutMs, requestTimeout: receiveTimeoutMs, headersTimeout: receiveTimeoutMs },
      maxConnections,
      listener: 'operators',
      intake: host.intake,
      serve: exchange => {
        this.#serve(exchange).catch((error: Error) => {
          this.#host.log.error('call-failed', { call: exchange.request.method, error: error.message })
          exchange.response.destroy()
        })
      },
      composeMalformed: () => ''
    })
  }

  /** Listens; resolves with the port. */
  listen (address: Address): Promise<number> {
    return this.#server.listen({ host: address.host, port: address.port })
  }

  get isListening (): boolean { return this.#server.http.listening }

  /** Number of calls that have no complete answer yet. */
  get openCount (): number { return this.#openCount }

  /**
   * Accepts no further connections, and resolves once there are no more calls to be answered and `isIdle` holds, or shortly
   * before `drainMs` have passed. Each connection is closed with its next answer, as a call may be on its way to this box.
   */
  async drain (drainMs: number, isIdle: () => boolean): Promise<void> {
    const stopsAt = performance.now() + drainMs - haltReserveMs
    this.#isDraining = true
    await this.#server.stopListening()
    await this.#poll(stopsAt, () => this.#isHalted || (isIdle() && this.#server.isQuiet(restMs)))
  }

  /** Refuses the calls that are still arriving, and all further ones; resolves once their answers, and those of the others, are written, or after the time reserved for it. */
  async halt (): Promise<void> {
    this.#isHalted = true
    for (const exchange of this.#arriving) this.#reply(exchange, haltedAnswer)
    await this.#poll(performance.now() + haltReserveMs / 2, () => this.#openCount === 0)
  }

  close (): void {
    this.#server.close()
    this.#host.intake.close()
  }

  // The condition is checked after the sockets of a turn were read, so that nothing has arrived before it holds.
  async #poll (until: number, isOver: () => boolean): Promise<void> {
    await nextTurn()
    while (!isOver() && performance.now() < until) {
      await sleep(drainPollMs)
      await nextTurn()
    }
  }

  async #serve (exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange
    const startedAt = performance.now()
    request.on('error', () => {})
    response.on('error', () => {})
    this.#openCount += 1
    response.on('close', () => { this.#openCount -= 1 })
    if (this.#isHalted) return this.#reply(exchange, haltedAnswer)
    let call: RegistryCall = { type: 'unknown' }
    let answer: Answer
    try {
      call = this.#host.dialect.readRegistryCall(request.method ?? '', request.url ?? '')
      const outcome = call.type === 'unknown' ? null : await this.#readBody(exchange)
      if (outcome?.type === 'aborted') return
      answer = await this.#answer(call, outcome, request.socket.remoteAddress ?? '')
    } catch (error) {
      answer = this.#composeError(call.type, error as Error)
    }
    this.#host.noteCall(call.type, answer.status, performance.now() - startedAt)
    this.#reply(exchange, answer)
  }

  async #readBody (exchange: HttpExchange): Promise<BodyOutcome> {
    this.#arriving.add(exchange)
    const outcome = await readBody(exchange.request, this.#maxBodyBytes, this.#host.intake.memory)
    this.#arriving.delete(exchange)
    if (!exchange.response.writableEnded) return outcome
    if (outcome.type === 'whole') outcome.hold.release()
    return { type: 'aborted' }
  }

  #reply ({ request, response }: HttpExchange, { status, body }: Answer): void {
    if (response.destroyed) return
    const headers: Record<string, string | number> = {
      'content-type': status === 200 ? 'application/json' : 'text/plain',
      'content-length': Buffer.byteLength(body)
    }
    if (status === 503) headers['retry-after'] = retryAfterSeconds
    if (!request.complete || (this.#isDraining && !this.#server.hasWaiting(request.socket))) headers.connection = 'close'
    discardBody(request)
    response.writeHead(status, headers)
    response.end(body)
  }

  // `outcome`: of reading the body; null if it was not read.
  async #answer (call: RegistryCall, outcome: BodyOutcome | null, address: string): Promise<Answer> {
    switch (outcome?.type) {
      case 'too-large': return { status: 413, body: `the request body is too large: the limit is ${this.#maxBodyBytes} bytes` }
      case 'no-room':
        this.#host.intake.noteRefused('operators', 'body', { address })
        return { status: 503, body: 'this registry has no memory left for the request body' }
      case 'whole':
        try {
          return await this.#execute(call, outcome.body)
        } finally {
          outcome.hold.release()
        }
      default: return await this.#execute(call, emptyBody)
    }
  }

  async #execute (call: RegistryCall, body: Buffer): Promise<Answer> {
    const { dialect } = this.#host
    switch (call.type) {
      case 'put-document': return await this.#put(body)
      case 'read-document': return await this.#read()
      case 'register':
        this.#host.registerEndpoint(dialect.decodeRegistration(call.endpoint, decodeText(body)))
        return { status: 200, body: '{}' }
      case 'deregister':
        this.#host.registerEndpoint(dialect.composeDeregistration(call.endpoint, 'gone'))
        return { status: 200, body: '{}' }
      case 'list-quarantine': return { status: 200, body: JSON.stringify(this.#host.listQuarantine()) }
      case 'lift-quarantine':
        return this.#host.liftQuarantine(brandId(call.fingerprint)) ? { status: 200, body: '{}' } : { status: 404, body: 'no quarantined request has this fingerprint' }
      case 'list-notices': return { status: 200, body: JSON.stringify(this.#host.listNotices()) }
      case 'list-lost-paths': return { status: 200, body: JSON.stringify(this.#host.listLostPaths()) }
      case 'list-usage': return { status: 200, body: JSON.stringify(this.#host.listUsage()) }
      case 'invalid': throw new DocumentError([call.mistake])
      case 'unknown': return { status: 404, body: 'unknown path or method' }
    }
  }

  async #put (body: Buffer): Promise<Answer> {
    const text = decodeText(body)
    const document = this.#host.dialect.decodeDocument(text)
    const mistakes = findDocumentMistakes(document)
    if (mistakes.length > 0) throw new DocumentError(mistakes)
    const startedAt = performance.now()
    const outcome = await this.#host.put({ version: document.version, text })
    this.#host.log.info('document-put', { version: document.version, end: outcome, routes: document.routes.length, ms: Math.round(performance.now() - startedAt) })
    switch (outcome) {
      case 'taken': return { status: 200, body: '{}' }
      case 'held': return { status: 200, body: '{}' }
      case 'unknown': return { status: 503, body: 'the document may or may not have been committed; send it again' }
      case 'not-sent': return { status: 503, body: 'the document was not committed, as no leader could be reached; send it again' }
    }
  }

  async #read (): Promise<Answer> {
    const { isConfirmed, document } = await this.#host.read()
    if (!isConfirmed || document === null) return { status: 503, body: isConfirmed ? 'there is no document yet' : 'could not confirm with a quorum that the document is the newest' }
    return { status: 200, body: document.text }
  }

  #composeError (call: string, error: Error): Answer {
    if (error instanceof DocumentError) {
      this.#host.log.warn('call-refused', { call, mistakes: error.mistakes.length, first: error.mistakes[0] })
      return { status: 400, body: error.mistakes.join('\n') }
    }
    this.#host.log.error('call-failed', { call, error: error.message })
    return { status: 500, body: 'internal error in the registry' }
  }
}

// Decoding puts a replacement in place of bytes that aren't UTF-8: other content than was sent would be stored.
function decodeText (body: Buffer): string {
  if (!isUtf8(body)) throw new DocumentError(['the body is not valid UTF-8'])
  return body.toString()
}
