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
  readonly words: AnswerWords
  readonly rawHeaders: readonly string[]
  /** True where the answer is encoded, which nobody asked for. */
  readonly isEncoded: boolean
}

/** `unreachable`: no byte was written, so that the request did not run there; `lost`: the connection ended under it; `broken`: what came is no answer to it. */
export type CallFailure = 'unreachable' | 'lost' | 'broken'

/** Who hears of a call. Nothing is called after `finish` or `fail`, or after `cancel`. */
export interface CallSink {
  begin (head: AnswerHead): void
  /** Returns false to be paused until `resume`. */
  take (chunk: Buffer): boolean
  finish (): void
  fail (failure: CallFailure, reason: string): void
}

/** A connection that isn't up after this won't be soon: zones are a few ms apart, ms. */
const connectMs = 300

export class EndpointCall {
  #sink: CallSink
  #request: ClientRequest
  #answer: IncomingMessage | null = null
  #ended = false
  #wrote = false
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
      if (socket.connecting) socket.once('connect', () => { this.#wrote = true })
      else this.#wrote = true
    })
    this.#request.on('response', answer => this.#receive(answer))
    this.#request.on('error', error => this.#fail(error.message))
    this.#request.end(body.length > 0 ? body : undefined)
  }

  /** True once bytes may have reached the endpoint. */
  get mayHaveRun (): boolean { return this.#wrote }

  /** Gives up a connection that does not come about. */
  check (now: number): void {
    if (this.#ended || this.#wrote || now - this.#startedAt < connectMs) return
    this.#fail('no connection in time')
  }

  /** Ends the call; the endpoint sees its connection close. */
  cancel (): void {
    this.#ended = true
    this.#request.destroy()
  }

  resume (): void { this.#answer?.resume() }

  #receive (answer: IncomingMessage): void {
    if (this.#ended) return
    this.#answer = answer
    answer.on('error', error => this.#fail(error.message))
    answer.on('close', () => this.#fail('the answer broke off'))
    const status = answer.statusCode ?? 0
    const words = this.#dialect.readAnswer(status, answer.headers, Date.now())
    // An endpoint that doesn't name the request may only say that it did not run it.
    if (words.requestId !== this.#requestId && !(words.requestId === '' && words.isNotRun)) return this.#fail('an answer to another request', 'broken')
    // The endpoint answered before it had read the request: the connection is not used again.
    if (!this.#request.writableFinished) this.#request.shouldKeepAlive = false
    this.#sink.begin({ status, words, rawHeaders: answer.rawHeaders, isEncoded: answer.headers['content-encoding'] !== undefined })
    if (this.#ended) return
    answer.on('data', (chunk: Buffer) => {
      if (!this.#ended && !this.#sink.take(chunk) && !this.#ended) answer.pause()
    })
    answer.on('end', () => {
      if (this.#ended) return
      if (!answer.complete || wasReset(answer.socket)) return this.#fail('the answer broke off')
      this.#ended = true
      this.#sink.finish()
    })
  }

  #fail (reason: string, failure: CallFailure = 'lost'): void {
    if (this.#ended) return
    this.#ended = true
    this.#request.destroy()
    this.#sink.fail(this.#wrote ? failure : 'unreachable', reason)
  }
}
