/**
 * Handles one call to a plain service. A non-repeatable call is claimed at the
 * keepers before its first byte is written, and its claim is settled before the
 * response is sent to the caller.
 *
 * The caller is answered within the time-out of the service. A non-repeatable call
 * that has not ended by then goes on, as it can't be sent again: a response that
 * comes later is stored for those who repeat the call with its key.
 */
import { createHash } from 'node:crypto'
import type { Agent, IncomingHttpHeaders, ServerResponse } from 'node:http'
import type { AttemptId, ClaimCommand, ClaimKey, ClaimResult, StoredAnswer } from '../coordination/index.js'
import type { Service, ServiceEndpoint } from '../config/index.js'
import { settleTimeoutMs } from '../core/index.js'
import type { BoxWork, ErrorKind } from '../core/index.js'
import { isBodiless } from '../protocol/index.js'
import { outcomeHeader, replayedHeader, requestIdHeader, sendError } from './error-response.js'
import { RequestError, composeDrainError, toRequestError } from './request-error.js'
import { ServiceAttempts } from './service-attempts.js'
import type { CallEnd } from './service-attempts.js'

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
  /** False if the box stops before the work is sure to have ended. */
  mayBegin (work: BoxWork): boolean
  /** The service's endpoints in the order in which to try them, those in the same zone first. */
  orderEndpoints (service: Service): readonly ServiceEndpoint[]
  /** Called when the caller has been answered. */
  noteEnd (summary: ServiceSummary): void
  /** Called when a call ended after its caller had been answered; `lateMs`: by how much. */
  noteLateEnd (context: ServiceContext, end: CallEnd['type'], lateMs: number): void
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
  /** True if the endpoint's response had neither a length nor chunks. */
  readonly isUnframed: boolean
}

/** The claim that allows this exchange alone to run the call. */
interface Claim {
  readonly key: ClaimKey
  readonly attempt: AttemptId
}

const claimTimeoutMs = 1500
/** Share of the time left that a claim may take. */
const claimShare = 1 / 2
/** A withdrawal is awaited for this time though the caller is late, as the call was not run. */
const minWithdrawMs = 500
/** How long commands on a claim are repeated after the caller has been answered. */
const backgroundTimeoutMs = 60_000
/** A claim expires this long after the time-out of the service. */
const claimMarginMs = 30_000
/** How long the end of a call is awaited after its caller has been answered; its claim has to be settled before it expires. */
const lateEndMs = 25_000
const noQuorumRetryMs = 2000
const maxKeyLength = 255
const forwardedHeaders = ['content-type', 'accept', 'idempotency-key', 'accept-language']

export class ServiceExchange {
  #host: ServiceHost
  #context: ServiceContext
  #response: ServerResponse
  #deadline: number
  #hasWrittenBytes = false
  #isAnswered = false
  #isUnframed = false

  constructor (host: ServiceHost, context: ServiceContext, response: ServerResponse) {
    this.#host = host
    this.#context = context
    this.#response = response
    this.#deadline = host.now() + context.service.timeoutMs
  }

  /** Runs the call to its end, which may come after the caller was answered. Errors are sent to the caller, not thrown. */
  async run (): Promise<void> {
    try {
      if (this.#isRepeatable) await this.#runRepeatable()
      else await this.#runOnce()
    } catch (error) {
      this.#fail(toRequestError(error))
    }
  }

  /** Answers the caller as its box stops: whether the call runs is unknown, as it may be written to an endpoint at any moment. */
  stop (): void { this.#fail(new RequestError('engine-timeout', 'the call had not ended when this box stopped')) }

  get #leftMs (): number { return Math.max(0, this.#deadline - this.#host.now()) }

  get #isRepeatable (): boolean { return isRepeatable(this.#context) }

  async #runRepeatable (): Promise<void> {
    const attempts = this.#openAttempts()
    const end = await waitAtMost(attempts.end, this.#leftMs)
    attempts.cancel()
    this.#hasWrittenBytes = attempts.hasWrittenBytes
    if (end?.type !== 'response') throw this.#describeFailure(end)
    this.#isUnframed = end.isUnframed
    this.#respond(end.response, 'ok')
  }

  async #runOnce (): Promise<void> {
    const key = this.#readKey()
    const attempt = this.#host.createAttemptId()
    const ttlMs = this.#context.service.timeoutMs + claimMarginMs
    const askedAt = this.#host.now()
    const outcome = await this.#host.sendClaim({ type: 'claim', key, digest: this.#computeDigest(), attempt, ttlMs }, Math.min(claimTimeoutMs, this.#leftMs * claimShare))
    if (outcome.type !== 'result') throw this.#abandonClaim(key, attempt, outcome.type)
    switch (outcome.result.type) {
      case 'granted': return await this.#runClaimed({ key, attempt }, Math.min(this.#deadline, askedAt + ttlMs / 2))
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
  #abandonClaim (key: ClaimKey, attempt: AttemptId, outcome: 'unsent' | 'unanswered'): RequestError {
    if (outcome === 'unanswered') void this.#host.sendClaim({ type: 'withdraw', key, attempt }, backgroundTimeoutMs)
    return new RequestError('no-quorum', 'no quorum of keepers is reachable; the call was not started', { retryAfterMs: noQuorumRetryMs })
  }

  async #runClaimed (claim: Claim, startDeadline: number): Promise<void> {
    // After a long pause of this process other boxes may already treat the claim as expired, so the call must not be started.
    if (this.#host.now() > startDeadline) {
      return await this.#withdraw(claim, new RequestError('no-quorum', 'the claim came too late; the call was not started', { retryAfterMs: noQuorumRetryMs }))
    }
    // The stop may have begun since the claim was sent.
    if (!this.#host.mayBegin({ type: 'claimed-call', deadline: this.#deadline })) return await this.#withdraw(claim, composeDrainError())
    const attempts = this.#openAttempts()
    const end = await waitAtMost(attempts.end, this.#leftMs)
    this.#hasWrittenBytes = attempts.hasWrittenBytes
    if (!this.#hasWrittenBytes) {
      attempts.cancel()
      return await this.#withdraw(claim, this.#describeFailure(end))
    }
    if (end === null) return await this.#awaitLateEnd(claim, attempts)
    if (end.type === 'response') this.#isUnframed = end.isUnframed
    const settled = this.#settle(claim, end)
    await waitAtMost(settled, Math.min(settleTimeoutMs, this.#leftMs))
    if (end.type === 'response') this.#respond(end.response, 'ok')
    else this.#fail(this.#describeFailure(end))
    await settled
  }

  // The call may still run, so its claim stays until its end is known.
  async #awaitLateEnd (claim: Claim, attempts: ServiceAttempts): Promise<void> {
    this.#fail(this.#describeFailure(null))
    const end: CallEnd = await waitAtMost(attempts.end, lateEndMs) ?? { type: 'failed', text: 'no response' }
    attempts.cancel()
    this.#host.noteLateEnd(this.#context, end.type, this.#host.now() - this.#deadline)
    await this.#settle(claim, end)
  }

  #settle ({ key, attempt }: Claim, end: CallEnd): Promise<ClaimOutcome> {
    const answer = end.type === 'response' ? end.response : null
    return this.#host.sendClaim({ type: 'settle', key, attempt, answer }, backgroundTimeoutMs)
  }

  // The caller is told "not-run" only after the withdrawal is committed.
  async #withdraw ({ key, attempt }: Claim, error: RequestError): Promise<void> {
    const withdrawn = this.#host.sendClaim({ type: 'withdraw', key, attempt }, backgroundTimeoutMs)
    const outcome = await waitAtMost(withdrawn, Math.min(settleTimeoutMs, Math.max(minWithdrawMs, this.#leftMs)))
    if (outcome?.type === 'result' && outcome.result.type === 'withdrawn') return this.#fail(error)
    this.#fail(new RequestError('claim-unknown', 'the call was not started, but its claim could not be withdrawn yet; its Idempotency-Key may stay in use'))
    await withdrawn
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

  #openAttempts (): ServiceAttempts {
    const { method, path, body, service } = this.#context
    const isRepeatable = this.#isRepeatable
    // The server may close a keep-alive connection while a call is being sent on it, so a non-repeatable call gets a new connection.
    const call = { method, path, headers: this.#composeHeaders(body), body, agent: isRepeatable ? this.#host.agent : false as const, isRepeatable }
    return new ServiceAttempts(call, this.#host.orderEndpoints(service), this.#deadline, () => this.#host.now())
  }

  // `end`: null if there was none before the deadline.
  #describeFailure (end: CallEnd | null): RequestError {
    const { name } = this.#context.service
    if (!this.#hasWrittenBytes) return new RequestError('service-unreachable', `no endpoint of service ${name} is reachable`)
    if (end?.type === 'failed') return new RequestError('engine-failed', `service ${name} failed: ${end.text}`)
    return new RequestError('engine-timeout', `service ${name} failed: no response before the time-out`)
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
    if (this.#isAnswered) return
    this.#isAnswered = true
    const headers: Record<string, string | number> = {
      'content-type': response.contentType,
      [requestIdHeader]: this.#context.requestId,
      [outcomeHeader]: 'run'
    }
    if (!isBodiless(response.status, this.#context.method)) headers['content-length'] = response.body.length
    if (kind === 'replayed') headers[replayedHeader] = 'true'
    this.#response.writeHead(response.status, headers)
    this.#response.end(response.body)
    this.#reportEnd(kind, response.status)
  }

  #fail (error: RequestError): void {
    if (this.#isAnswered) return
    this.#isAnswered = true
    sendError(this.#response, error, this.#context.requestId, this.#hasWrittenBytes)
    this.#reportEnd(error.kind, this.#response.statusCode)
  }

  #reportEnd (kind: ServiceSummary['kind'], status: number): void {
    this.#host.noteEnd({ context: this.#context, kind, status, totalMs: this.#host.now() - this.#context.arrivedAt, isUnframed: this.#isUnframed })
  }
}

/** True if a call may run more than once. */
export function isRepeatable ({ service, path, method }: Pick<ServiceContext, 'service' | 'path' | 'method'>): boolean {
  if (service.repeatable || method === 'GET' || method === 'HEAD') return true
  return service.repeatablePaths.some(prefix => path.startsWith(prefix))
}

/** What a box takes on with a call that begins at `now`. */
export function describeCall (call: Pick<ServiceContext, 'service' | 'path' | 'method'>, now: number): BoxWork {
  return { type: isRepeatable(call) ? 'repeatable-call' : 'claimed-call', deadline: now + call.service.timeoutMs }
}

/**
 * Waits for the promise; null once `ms` have passed before it was resolved. A box
 * that was held up runs its timers first, so sockets are read once more before that.
 */
async function waitAtMost<T> (promise: Promise<T>, ms: number): Promise<T | null> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<null>(resolve => { timer = setTimeout(() => setImmediate(() => resolve(null)), ms) })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    clearTimeout(timer)
  }
}
