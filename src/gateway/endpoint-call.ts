/**
 * One send of a request to one endpoint. It tracks whether any byte may have
 * reached the endpoint, and rejects truncated answers and answers to other
 * requests.
 */
import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { isAnswerStatus } from '../core/index.js'
import { isBodiless, isUnframed, readRelayFailure, wasReset } from '../protocol/index.js'
import type { AnswerHeaders, Dialect, RelayFailure } from '../protocol/index.js'

/** The HTTP request to an endpoint and its address. */
export interface CallTarget {
  readonly host: string
  readonly port: number
  readonly agent: Agent
  readonly method: string
  readonly path: string
  /** Names and values alternately. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly requestId: string
  /** True if the address is that of a relay, which forwards the request to the endpoint. */
  readonly isRelayed: boolean
}

/** Status and headers of an answer to this request; the status can be passed on. */
export interface AnswerHead {
  readonly status: number
  readonly headers: AnswerHeaders
  readonly rawHeaders: readonly string[]
  /** True if the answer has a content encoding, which the gateway never requests. */
  readonly isEncoded: boolean
  /** Size of the body as the endpoint states it, bytes; null if it does not. */
  readonly length: number | null
  /** True if there is no body, whatever `length` is. */
  readonly isBodiless: boolean
  /** True if the body has neither a length nor chunks: if its connection ends in good order, a part of it looks complete. */
  readonly isUnframed: boolean
}

/** `unreachable`: no byte was written, so the request did not run there; `lost`: the connection ended early; `broken`: the answer was not valid. */
export type CallFailure = 'unreachable' | 'lost' | 'broken'

/** Where a call failed: at the endpoint, at the relay before any answer, or somewhere on the path to the endpoint. */
export type FailedPart = 'endpoint' | 'relay' | 'path'

/** Callbacks of a call. None but `handleError` is called after `finish` or `fail`, or after the call is cancelled. */
export interface CallSink {
  /** A new connection to the endpoint was established. */
  noteConnected (): void
  receiveHead (head: AnswerHead): void
  /** Returns false to pause the answer until `resume`. */
  receiveChunk (chunk: Buffer): boolean
  finish (): void
  fail (failure: CallFailure, reason: string, part: FailedPart): void
  /** Called, after the call was cancelled, with an error that one of the other callbacks threw. */
  handleError (error: Error): void
}

/** Connection time-out, ms. Zones are a few ms apart, so a slower connection is unlikely to succeed soon. */
const connectTimeoutMs = 300

export class EndpointCall {
  #sink: CallSink
  #request: ClientRequest
  #answer: IncomingMessage | null = null
  #isEnded = false
  #hasConnected = false
  #isRelayed: boolean
  #startedAt: number
  #requestId: string
  #dialect: Dialect

  constructor (target: CallTarget, dialect: Dialect, sink: CallSink, now: number) {
    this.#sink = sink
    this.#dialect = dialect
    this.#startedAt = now
    this.#requestId = target.requestId
    this.#isRelayed = target.isRelayed
    const { host, port, agent, method, path, body } = target
    const headers = body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH' ? [...target.headers, 'Content-Length', String(body.length)] : [...target.headers]
    this.#request = httpRequest({ host, port, agent, method, path, headers: headers as unknown as NodeJS.Dict<string> })
    this.#request.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => this.#run(() => this.#noteConnected()))
      else this.#hasConnected = true
    })
    this.#request.on('response', answer => this.#run(() => this.#receive(answer)))
    this.#request.on('error', error => this.#run(() => this.#handleFault(error)))
    this.#request.end(body.length > 0 ? body : undefined)
  }

  /** True once bytes may have reached the endpoint. */
  get mayHaveRun (): boolean { return this.#hasConnected }

  /** Fails the call if the connection is not established in time. */
  check (now: number): void {
    if (this.#isEnded || this.#hasConnected || now - this.#startedAt < connectTimeoutMs) return
    this.#fail('the connection was not established before the time-out')
  }

  /** Cancels the call by closing its connection. */
  cancel (): void {
    this.#isEnded = true
    this.#request.destroy()
  }

  /** True while the answer waits for `resume`. */
  get isPaused (): boolean { return this.#answer?.isPaused() ?? false }

  resume (): void { this.#answer?.resume() }

  #noteConnected (): void {
    this.#hasConnected = true
    if (!this.#isEnded && !this.#isRelayed) this.#sink.noteConnected()
  }

  #receive (answer: IncomingMessage): void {
    if (this.#isEnded) return
    const relayFailure = this.#isRelayed ? readRelayFailure(answer.headers) : null
    if (relayFailure !== null) return this.#failAtRelay(relayFailure, answer)
    this.#answer = answer
    answer.on('error', error => this.#run(() => this.#fail(error.message)))
    answer.on('close', () => this.#run(() => this.#fail('the answer was truncated')))
    const status = answer.statusCode ?? 0
    if (!isAnswerStatus(status)) return this.#fail(`the answer has the status ${status}`, 'broken', 'endpoint')
    const headers = this.#dialect.readAnswer(status, answer.headers, Date.now())
    // An answer without a request id is accepted only as a statement that the request did not run.
    if (headers.requestId !== this.#requestId && !(headers.requestId === '' && headers.isNotRun)) return this.#fail('the answer is for a different request', 'broken', 'endpoint')
    // The endpoint answered before it had read the whole request: the connection is not reused.
    if (!this.#request.writableFinished) this.#request.shouldKeepAlive = false
    this.#sink.receiveHead({ status, headers, rawHeaders: answer.rawHeaders, isEncoded: answer.headers['content-encoding'] !== undefined, length: readLength(answer), isBodiless: isBodiless(status, this.#request.method), isUnframed: isUnframed(answer, this.#request.method) })
    if (this.#isEnded) return
    answer.on('data', (chunk: Buffer) => this.#run(() => {
      if (!this.#isEnded && !this.#sink.receiveChunk(chunk) && !this.#isEnded) answer.pause()
    }))
    answer.on('end', () => this.#run(() => this.#handleAnswerEnd(answer)))
  }

  #handleAnswerEnd (answer: IncomingMessage): void {
    if (this.#isEnded) return
    if (!answer.complete || wasReset(answer.socket)) return this.#fail('the answer was truncated')
    this.#isEnded = true
    this.#sink.finish()
  }

  // Node's events come here: an error that a callback throws would end the process.
  #run (handle: () => void): void {
    try {
      handle()
    } catch (error) {
      this.cancel()
      this.#sink.handleError(error as Error)
    }
  }

  // Bytes after a whole answer belong to no request: the answer ends as it would without them, and Node has closed the connection.
  #handleFault (error: Error): void {
    if (this.#answer?.complete !== true) this.#fail(error.message)
  }

  #fail (reason: string, failure: CallFailure = 'lost', part: FailedPart = this.#findFailedPart()): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#request.destroy()
    this.#sink.fail(this.#hasConnected ? failure : 'unreachable', reason, part)
  }

  // A relay reports a failure of the endpoint before its answer, but not in the middle of it.
  #findFailedPart (): FailedPart {
    if (!this.#isRelayed) return 'endpoint'
    return this.#answer === null ? 'relay' : 'path'
  }

  #failAtRelay (failure: RelayFailure, answer: IncomingMessage): void {
    this.#isEnded = true
    answer.resume()
    if (!this.#request.writableFinished) this.#request.destroy()
    switch (failure) {
      case 'unavailable': return this.#sink.fail('unreachable', 'the relay does not forward', 'relay')
      case 'unreachable':
      case 'lost':
      case 'broken': return this.#sink.fail(failure, `${failure} from the relay`, 'endpoint')
    }
  }
}

function readLength ({ headers }: IncomingMessage): number | null {
  const text = headers['content-length']
  return text === undefined ? null : Number(text)
}
