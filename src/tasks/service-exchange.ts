/**
 * One call to a plain service. A call that may not be repeated is claimed
 * before its first byte, and settled before its answer is given.
 */
import { createHash } from 'node:crypto'
import { request as httpRequest } from 'node:http'
import type { Agent, IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { ClaimCommand, ClaimKey, ClaimResult, StoredAnswer } from '../coordination/index.js'
import type { Service, ServiceEndpoint } from '../config/index.js'
import type { ErrorKind } from '../core/index.js'
import { outcomeHeader, replayedHeader, requestIdHeader, sendFault } from './answers.js'
import { Fault, toFault } from './fault.js'

/** How a command on claims ended at the keepers. */
export type ClaimEnd =
  | { readonly type: 'result', readonly result: ClaimResult }
  | { readonly type: 'unsent' }
  | { readonly type: 'unanswered' }

/** What an exchange needs of its box. */
export interface ServiceHost {
  readonly agent: Agent
  now (): number
  nextAttempt (): string
  sendClaim (command: ClaimCommand, timeoutMs: number): Promise<ClaimEnd>
  /** The service's endpoints, the nearest first. */
  orderEndpoints (service: Service): readonly ServiceEndpoint[]
  noteEnd (summary: ServiceSummary): void
}

/** A call as it was let in. */
export interface ServiceOrder {
  readonly requestId: string
  readonly workspace: string
  readonly service: Service
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  readonly arrivedAt: number
}

/** How a call went. */
export interface ServiceSummary {
  readonly order: ServiceOrder
  readonly kind: ErrorKind | 'ok' | 'replayed'
  readonly status: number
  readonly totalMs: number
}

/** An endpoint's answer, whole. */
interface EndpointAnswer extends StoredAnswer {
  readonly status: number
}

/** A call that failed at an endpoint. */
class EndpointError extends Error {
  readonly wroteBytes: boolean
  readonly isTimeout: boolean

  constructor (text: string, wroteBytes: boolean, isTimeout: boolean) {
    super(text)
    this.wroteBytes = wroteBytes
    this.isTimeout = isTimeout
  }
}

const claimMs = 1500
const settleMs = 3000
const claimMarginMs = 30_000
const largestAnswer = 16 * 2 ** 20
const longestKey = 255
const passedHeaders = ['content-type', 'accept', 'idempotency-key', 'accept-language']

export class ServiceExchange {
  #host: ServiceHost
  #order: ServiceOrder
  #response: ServerResponse
  #wroteBytes = false

  constructor (host: ServiceHost, order: ServiceOrder, response: ServerResponse) {
    this.#host = host
    this.#order = order
    this.#response = response
  }

  /** Runs the call to its end; faults are answered, not thrown. */
  async run (): Promise<void> {
    try {
      if (this.#isRepeatable) this.#answer(await this.#send(), 'ok')
      else await this.#runOnce()
    } catch (error) {
      const fault = toFault(error)
      sendFault(this.#response, fault, this.#order.requestId, this.#wroteBytes)
      this.#summarise(fault.kind, this.#response.statusCode)
    }
  }

  get #isRepeatable (): boolean {
    const { service, path, method } = this.#order
    if (service.repeatable || method === 'GET' || method === 'HEAD') return true
    return service.repeatablePaths.some(start => path.startsWith(start))
  }

  async #runOnce (): Promise<void> {
    const key = this.#readKey()
    const attempt = this.#host.nextAttempt()
    const ttlMs = this.#order.service.timeoutMs + claimMarginMs
    const askedAt = this.#host.now()
    const end = await this.#host.sendClaim({ type: 'claim', key, digest: this.#digest(), attempt, ttlMs }, claimMs)
    if (end.type !== 'result') throw this.#refuseUnclaimed(key, attempt, end.type)
    switch (end.result.type) {
      case 'granted': return await this.#runClaimed(key, attempt, askedAt + ttlMs / 2)
      case 'answered': return this.#answer(end.result.answer, 'replayed')
      case 'answer-dropped': throw new Fault('answer-not-kept', 'the call ran before; its answer is no longer kept')
      case 'in-progress': throw new Fault('in-progress', 'a call with this Idempotency-Key is being run', { retryAfterMs: Math.min(1000, end.result.untilMs) })
      case 'other-body': throw new Fault('key-conflict', 'this Idempotency-Key was used with another call', { param: 'Idempotency-Key' })
      case 'unknown': throw new Fault('claim-unknown', 'whether the call with this Idempotency-Key ran is not known')
      default: throw new Fault('internal', `a claim was answered with ${end.result.type}`)
    }
  }

  // This attempt never writes a byte now, whatever becomes of its claim; the
  // withdrawal only frees the key sooner.
  #refuseUnclaimed (key: ClaimKey, attempt: string, how: 'unsent' | 'unanswered'): Fault {
    if (how === 'unanswered') void this.#host.sendClaim({ type: 'withdraw', key, attempt }, 60_000)
    return new Fault('no-quorum', 'the keepers cannot be reached; the call was not begun', { retryAfterMs: 2000 })
  }

  async #runClaimed (key: ClaimKey, attempt: string, startBy: number): Promise<void> {
    let answer
    try {
      // A box that was paused in between must not begin a call that others may have given up on.
      if (this.#host.now() > startBy) throw new EndpointError('the claim is too old to begin', false, false)
      answer = await this.#send()
    } catch (error) {
      if (!this.#wroteBytes) return await this.#withdraw(key, attempt, toFault(error))
      await this.#host.sendClaim({ type: 'settle', key, attempt, answer: null }, settleMs)
      throw error
    }
    await this.#host.sendClaim({ type: 'settle', key, attempt, answer }, settleMs)
    this.#answer(answer, 'ok')
  }

  // "Not run" is said only after the withdrawal is committed.
  async #withdraw (key: ClaimKey, attempt: string, fault: Fault): Promise<never> {
    const end = await this.#host.sendClaim({ type: 'withdraw', key, attempt }, settleMs)
    if (end.type === 'result' && end.result.type === 'withdrawn') throw fault
    throw new Fault('claim-unknown', 'the call was not begun, but its claim could not be withdrawn; its Idempotency-Key stays taken')
  }

  #readKey (): ClaimKey {
    const key = this.#order.headers['idempotency-key']
    if (typeof key !== 'string' || key === '') throw new Fault('key-required', 'this call may not be repeated and needs an Idempotency-Key', { param: 'Idempotency-Key' })
    if (key.length > longestKey) throw new Fault('bad-request', `an Idempotency-Key is at most ${longestKey} long`, { param: 'Idempotency-Key' })
    return { workspace: this.#order.workspace, service: this.#order.service.name, key }
  }

  #digest (): string {
    const { method, path, body } = this.#order
    return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url')
  }

  // Another endpoint is tried only while nothing was written.
  async #send (): Promise<EndpointAnswer> {
    let last: EndpointError | null = null
    for (const endpoint of this.#host.orderEndpoints(this.#order.service)) {
      try {
        return await this.#sendTo(endpoint)
      } catch (error) {
        last = error as EndpointError
        this.#wroteBytes ||= last.wroteBytes
        if (this.#wroteBytes && !this.#isRepeatable) break
      }
    }
    if (!this.#wroteBytes) throw new Fault('service-unreachable', `no endpoint of ${this.#order.service.name} can be reached`)
    const kind = last?.isTimeout === true ? 'engine-timeout' : 'engine-failed'
    throw new Fault(kind, `${this.#order.service.name} failed: ${last?.message ?? 'unknown'}`)
  }

  #sendTo (endpoint: ServiceEndpoint): Promise<EndpointAnswer> {
    const { method, path, body, service } = this.#order
    // A kept connection may be closed under a call; one that may not be repeated gets its own.
    const agent = this.#isRepeatable ? this.#host.agent : undefined
    return new Promise((resolve, reject) => {
      let wrote = false
      const request = httpRequest({ host: endpoint.host, port: endpoint.port, method, path, agent, headers: this.#composeHeaders(body) })
      const fail = (text: string, isTimeout: boolean): void => {
        clearTimeout(timer)
        request.destroy()
        reject(new EndpointError(text, wrote, isTimeout))
      }
      const timer = setTimeout(() => fail('no answer in time', true), service.timeoutMs)
      request.on('socket', socket => {
        if (socket.connecting) socket.once('connect', () => { wrote = true })
        else wrote = true
      })
      request.on('error', error => fail(error.message, false))
      request.on('response', response => {
        readAnswer(response).then(answer => {
          clearTimeout(timer)
          resolve(answer)
        }, (error: Error) => fail(error.message, false))
      })
      request.end(body)
    })
  }

  #composeHeaders (body: Buffer): Record<string, string | number> {
    const headers: Record<string, string | number> = { 'content-length': body.length, 'x-request-id': this.#order.requestId }
    for (const name of passedHeaders) {
      const value = this.#order.headers[name]
      if (typeof value === 'string') headers[name] = value
    }
    return headers
  }

  #answer (answer: StoredAnswer, kind: 'ok' | 'replayed'): void {
    const headers: Record<string, string | number> = {
      'content-type': answer.contentType,
      'content-length': answer.body.length,
      [requestIdHeader]: this.#order.requestId,
      [outcomeHeader]: 'run'
    }
    if (kind === 'replayed') headers[replayedHeader] = 'true'
    this.#response.writeHead(answer.status, headers)
    this.#response.end(answer.body)
    this.#summarise(kind, answer.status)
  }

  #summarise (kind: ServiceSummary['kind'], status: number): void {
    this.#host.noteEnd({ order: this.#order, kind, status, totalMs: this.#host.now() - this.#order.arrivedAt })
  }
}

async function readAnswer (response: IncomingMessage): Promise<EndpointAnswer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > largestAnswer) throw new Error('the answer is too large')
    chunks.push(chunk)
  }
  if (!response.complete) throw new Error('the answer was cut short')
  return { status: response.statusCode ?? 502, contentType: response.headers['content-type'] ?? 'application/octet-stream', body: Buffer.concat(chunks) }
}
