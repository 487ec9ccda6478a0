/**
 * Handles one call to a plain service. A non-repeatable call is claimed at the
 * keepers before its first byte is written, and its claim is settled before the
 * response is sent to the caller.
 */
import { createHash } from 'node:crypto'
import { request as httpRequest } from 'node:http'
import type { Agent, IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { ClaimCommand, ClaimKey, ClaimResult, StoredAnswer } from '../coordination/index.js'
import type { Service, ServiceEndpoint } from '../config/index.js'
import type { ErrorKind } from '../core/index.js'
import { outcomeHeader, replayedHeader, requestIdHeader, sendError } from './error-response.js'
import { RequestError, toRequestError } from './request-error.js'

/** The outcome of a claim command at the keepers. */
export type ClaimOutcome =
  | { readonly type: 'result', readonly result: ClaimResult }
  | { readonly type: 'unsent' }
  | { readonly type: 'unanswered' }

/** Functions of the box that an exchange depends on. */
export interface ServiceHost {
  readonly agent: Agent
  now (): number
  createAttemptId (): string
  sendClaim (command: ClaimCommand, timeoutMs: number): Promise<ClaimOutcome>
  /** The service's endpoints in the order in which to try them, those in the same zone first. */
  orderEndpoints (service: Service): readonly ServiceEndpoint[]
  noteEnd (summary: ServiceSummary): void
}

/** A validated service call. */
export interface ServiceContext {
  readonly requestId: string
  readonly workspace: string
  readonly service: Service
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  readonly arrivedAt: number
}

/** The outcome of a call, for logs and metrics. */
export interface ServiceSummary {
  readonly context: ServiceContext
  readonly kind: ErrorKind | 'ok' | 'replayed'
  readonly status: number
  readonly totalMs: number
}

/** A complete response of an endpoint. */
interface EndpointResponse extends StoredAnswer {
  readonly status: number
}

/** A failed attempt at an endpoint. `hasWrittenBytes`: a connection was established, so the call may have run. */
class EndpointError extends Error {
  readonly hasWrittenBytes: boolean
  readonly isTimeout: boolean

  constructor (text: string, hasWrittenBytes: boolean, isTimeout: boolean) {
    super(text)
    this.hasWrittenBytes = hasWrittenBytes
    this.isTimeout = isTimeout
  }
}

const claimTimeoutMs = 1500
const settleTimeoutMs = 3000
/** A claim expires this long after the time-out of the service. */
const claimMarginMs = 30_000
const maxResponseBytes = 16 * 2 ** 20
const maxKeyLength = 255
const forwardedHeaders = ['content-type', 'accept', 'idempotency-key', 'accept-language']

export class ServiceExchange {
  #host: ServiceHost
  #context: ServiceContext
  #response: ServerResponse
  #hasWrittenBytes = false

  constructor (host: ServiceHost, context: ServiceContext, response: ServerResponse) {
    this.#host = host
    this.#context = context
    this.#response = response
  }

  /** Runs the call to completion. Errors are sent to the caller, not thrown. */
  async run (): Promise<void> {
    try {
      if (this.#isRepeatable) this.#respond(await this.#send(), 'ok')
      else await this.#runOnce()
    } catch (error) {
      const requestError = toRequestError(error)
      sendError(this.#response, requestError, this.#context.requestId, this.#hasWrittenBytes)
      this.#reportEnd(requestError.kind, this.#response.statusCode)
    }
  }

  get #isRepeatable (): boolean {
    const { service, path, method } = this.#context
    if (service.repeatable || method === 'GET' || method === 'HEAD') return true
    return service.repeatablePaths.some(prefix => path.startsWith(prefix))
  }

  async #runOnce (): Promise<void> {
    const key = this.#readKey()
    const attempt = this.#host.createAttemptId()
    const ttlMs = this.#context.service.timeoutMs + claimMarginMs
    const askedAt = this.#host.now()
    const outcome = await this.#host.sendClaim({ type: 'claim', key, digest: this.#computeDigest(), attempt, ttlMs }, claimTimeoutMs)
    if (outcome.type !== 'result') throw this.#abandonClaim(key, attempt, outcome.type)
    switch (outcome.result.type) {
      case 'granted': return await this.#runClaimed(key, attempt, askedAt + ttlMs / 2)
      case 'answered': return this.#respond(outcome.result.answer, 'replayed')
      case 'answer-dropped': throw new RequestError('answer-not-kept', 'the call has already run, but its response is no longer stored')
      case 'in-progress': throw new RequestError('in-progress', 'a call with this Idempotency-Key is still running', { retryAfterMs: Math.min(1000, outcome.result.untilMs) })
      case 'other-body': throw new RequestError('key-conflict', 'this Idempotency-Key was already used with a different call', { param: 'Idempotency-Key' })
      case 'unknown': throw new RequestError('claim-unknown', 'it is unknown whether the call with this Idempotency-Key ran')
      default: throw new RequestError('internal', `unexpected result of a claim: ${outcome.result.type}`)
    }
  }

  // This attempt writes nothing to an endpoint, whether or not its claim is granted
  // later. The withdrawal only makes the key available sooner.
  #abandonClaim (key: ClaimKey, attempt: string, outcome: 'unsent' | 'unanswered'): RequestError {
    if (outcome === 'unanswered') void this.#host.sendClaim({ type: 'withdraw', key, attempt }, 60_000)
    return new RequestError('no-quorum', 'no quorum of keepers is reachable; the call was not started', { retryAfterMs: 2000 })
  }

  async #runClaimed (key: ClaimKey, attempt: string, startDeadline: number): Promise<void> {
    let response
    try {
      // After a long pause of this process other boxes may already treat the claim as expired, so the call must not be started.
      if (this.#host.now() > startDeadline) throw new EndpointError('the claim is too old to start the call', false, false)
      response = await this.#send()
    } catch (error) {
      if (!this.#hasWrittenBytes) return await this.#withdraw(key, attempt, toRequestError(error))
      await this.#host.sendClaim({ type: 'settle', key, attempt, answer: null }, settleTimeoutMs)
      throw error
    }
    await this.#host.sendClaim({ type: 'settle', key, attempt, answer: response }, settleTimeoutMs)
    this.#respond(response, 'ok')
  }

  // The caller is told "not-run" only after the withdrawal is committed.
  async #withdraw (key: ClaimKey, attempt: string, error: RequestError): Promise<never> {
    const outcome = await this.#host.sendClaim({ type: 'withdraw', key, attempt }, settleTimeoutMs)
    if (outcome.type === 'result' && outcome.result.type === 'withdrawn') throw error
    throw new RequestError('claim-unknown', 'the call was not started, but its claim could not be withdrawn; its Idempotency-Key stays in use')
  }

  #readKey (): ClaimKey {
    const key = this.#context.headers['idempotency-key']
    if (typeof key !== 'string' || key === '') throw new RequestError('key-required', 'this call is not repeatable and requires an Idempotency-Key', { param: 'Idempotency-Key' })
    if (key.length > maxKeyLength) throw new RequestError('bad-request', `the Idempotency-Key is too long: the limit is ${maxKeyLength} characters`, { param: 'Idempotency-Key' })
    return { workspace: this.#context.workspace, service: this.#context.service.name, key }
  }

  #computeDigest (): string {
    const { method, path, body } = this.#context
    return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url')
  }

  // A non-repeatable call is tried at another endpoint only if no byte was written.
  async #send (): Promise<EndpointResponse> {
    let lastError: EndpointError | null = null
    for (const endpoint of this.#host.orderEndpoints(this.#context.service)) {
      try {
        return await this.#sendTo(endpoint)
      } catch (error) {
        lastError = error as EndpointError
        this.#hasWrittenBytes ||= lastError.hasWrittenBytes
        if (this.#hasWrittenBytes && !this.#isRepeatable) break
      }
    }
    if (!this.#hasWrittenBytes) throw new RequestError('service-unreachable', `no endpoint of service ${this.#context.service.name} is reachable`)
    const kind = lastError?.isTimeout === true ? 'engine-timeout' : 'engine-failed'
    throw new RequestError(kind, `service ${this.#context.service.name} failed: ${lastError?.message ?? 'unknown'}`)
  }

  #sendTo (endpoint: ServiceEndpoint): Promise<EndpointResponse> {
    const { method, path, body, service } = this.#context
    // The server may close a keep-alive connection while a call is being sent on it, so a non-repeatable call gets a new connection.
    const agent = this.#isRepeatable ? this.#host.agent : undefined
    return new Promise((resolve, reject) => {
      let hasWritten = false
      const request = httpRequest({ host: endpoint.host, port: endpoint.port, method, path, agent, headers: this.#composeHeaders(body) })
      const fail = (text: string, isTimeout: boolean): void => {
        clearTimeout(timer)
        request.destroy()
        reject(new EndpointError(text, hasWritten, isTimeout))
      }
      const timer = setTimeout(() => fail('no response before the time-out', true), service.timeoutMs)
      request.on('socket', socket => {
        if (socket.connecting) socket.once('connect', () => { hasWritten = true })
        else hasWritten = true
      })
      request.on('error', error => fail(error.message, false))
      request.on('response', response => {
        readResponse(response).then(endpointResponse => {
          clearTimeout(timer)
          resolve(endpointResponse)
        }, (error: Error) => fail(error.message, false))
      })
      request.end(body)
    })
  }

  #composeHeaders (body: Buffer): Record<string, string | number> {
    const headers: Record<string, string | number> = { 'content-length': body.length, 'x-request-id': this.#context.requestId }
    for (const name of forwardedHeaders) {
      const value = this.#context.headers[name]
      if (typeof value === 'string') headers[name] = value
    }
    return headers
  }

  #respond (response: StoredAnswer, kind: 'ok' | 'replayed'): void {
    const headers: Record<string, string | number> = {
      'content-type': response.contentType,
      'content-length': response.body.length,
      [requestIdHeader]: this.#context.requestId,
      [outcomeHeader]: 'run'
    }
    if (kind === 'replayed') headers[replayedHeader] = 'true'
    this.#response.writeHead(response.status, headers)
    this.#response.end(response.body)
    this.#reportEnd(kind, response.status)
  }

  #reportEnd (kind: ServiceSummary['kind'], status: number): void {
    this.#host.noteEnd({ context: this.#context, kind, status, totalMs: this.#host.now() - this.#context.arrivedAt })
  }
}

async function readResponse (response: IncomingMessage): Promise<EndpointResponse> {
  const chunks: Buffer[] = []
  let receivedBytes = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length
    if (receivedBytes > maxResponseBytes) throw new Error('the response is too large')
    chunks.push(chunk)
  }
  if (!response.complete) throw new Error('the response was truncated')
  return { status: response.statusCode ?? 502, contentType: response.headers['content-type'] ?? 'application/octet-stream', body: Buffer.concat(chunks) }
}
