/**
 * One send of a request to one endpoint. It tells whether any byte can have
 * reached the endpoint, and never mistakes an answer that broke off for a whole
 * one, nor one of another request for its own.
 */
import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { AnswerWords, Dialect } from '../protocol/index.js'
import { wasReset } from './endpoint-agent.js'

/** Where a request goes and what is sent. */
export interface CallTarget {
  readonly host: string
  readonly port: number
  readonly agent: Agent
  readonly method: string
  readonly path: string
  /** Names and values by turns. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly requestId: string
}

/** The head of an answer that is this request's own. */
export interface AnswerHead {
  readonly status: number
  readonly headers: AnswerWords
  readonly rawHeaders: readonly string[]
  /** True where the answer is encoded, which nobody asked for. */
  readonly isEncoded: boolean
}

/** `unreachable`: no byte was written, so that the request did not run there; `lost`: the connection ended under it; `broken`: what came is no answer to it. */
export type CallFailure = 'unreachable' | 'lost' | 'broken'

/** Who hears of a call. Nothing is called after `finish` or `fail`, or after `cancel`. */
export interface CallSink {
  receiveHead (head: AnswerHead): void
  /** Returns false to be paused until `resume`. */
  receiveChunk (chunk: Buffer): boolean
  finish (): void
  fail (failure: CallFailure, reason: string): void
}

/** A connection that isn't up after this won't be soon: zones are a few ms apart, ms. */
const connectTimeoutMs = 300

export class EndpointCall {
  #sink: CallSink
  #request: ClientRequest
  #answer: IncomingMessage | null = null
  #isEnded = false
  #hasConnected = false
  #startedAt: number
  #requestId: string
  #dialect: Dialect

  constructor (target: CallTarget, dialect: Dialect, sink: CallSink, now: number) {
    this.#sink = sink
    this.#dialect = dialect
    this.#startedAt = now
    this.#requestId = target.requestId
    const { host, port, agent, method, path, body } = target
    const headers = body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH' ? [...target.headers, 'Content-Length', String(body.length)] : [...target.headers]
    this.#request = httpRequest({ host, port, agent, method, path, headers: headers as unknown as NodeJS.Dict<string> })
    this.#request.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { this.#hasConnected = true })
      else this.#hasConnected = true
    })
    this.#request.on('response', answer => this.#receive(answer))
    this.#request.on('error', error => this.#fail(error.message))
    this.#request.end(body.length > 0 ? body : undefined)
  }

  /** True once bytes may have reached the endpoint. */
  get mayHaveRun (): boolean { return this.#hasConnected }

  /** Gives up a connection that does not come about. */
  check (now: number): void {
    if (this.#isEnded || this.#hasConnected || now - this.#startedAt < connectTimeoutMs) return
    this.#fail('no connection in time')
  }

  /** Ends the call; the endpoint sees its connection close. */
  cancel (): void {
    this.#isEnded = true
    this.#request.destroy()
  }

  resume (): void { this.#answer?.resume() }

  #receive (answer: IncomingMessage): void {
    if (this.#isEnded) return
    this.#answer = answer
    answer.on('error', error => this.#fail(error.message))
    answer.on('close', () => this.#fail('the answer broke off'))
    const status = answer.statusCode ?? 0
    const headers = this.#dialect.readAnswer(status, answer.headers, Date.now())
    // An endpoint that doesn't name the request may only say that it did not run it.
    if (headers.requestId !== this.#requestId && !(headers.requestId === '' && headers.isNotRun)) return this.#fail('an answer to another request', 'broken')
    // The endpoint answered before it had read the request: the connection is not used again.
    if (!this.#request.writableFinished) this.#request.shouldKeepAlive = false
    this.#sink.receiveHead({ status, headers, rawHeaders: answer.rawHeaders, isEncoded: answer.headers['content-encoding'] !== undefined })
    if (this.#isEnded) return
    answer.on('data', (chunk: Buffer) => {
      if (!this.#isEnded && !this.#sink.receiveChunk(chunk) && !this.#isEnded) answer.pause()
    })
    answer.on('end', () => {
      if (this.#isEnded) return
      if (!answer.complete || wasReset(answer.socket)) return this.#fail('the answer broke off')
      this.#isEnded = true
      this.#sink.finish()
    })
  }

  #fail (reason: string, failure: CallFailure = 'lost'): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#request.destroy()
    this.#sink.fail(this.#hasConnected ? failure : 'unreachable', reason)
  }
}
