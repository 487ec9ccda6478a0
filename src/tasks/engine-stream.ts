/**
 * One attempt at an engine: the request in the published protocol, the answer
 * as events. Bytes count as written from the moment a socket is connected.
 */
import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { SseSplitter, readBackoffMs } from '../protocol/index.js'

/** Where and what to ask. */
export interface EngineCall {
  readonly host: string
  readonly port: number
  readonly agent: Agent
  readonly body: string
  readonly requestId: string
}

/** How an attempt failed. */
export type EngineFailure =
  | 'unreachable'
  | 'reset'
  | 'silent'
  | 'broken-events'
  | 'status'

/** What an attempt does as its answer comes in. */
export interface EngineSink {
  /** The engine has begun to answer. */
  begin (): void
  /** Whole events; returns false to be paused until `resume`. */
  take (events: readonly Buffer[]): boolean
  /** The stream has ended by the engine's will. */
  finish (): void
  /** The engine answered with an error of its own: the request is at fault. */
  reject (status: number, body: string): void
  /** `backoffMs`: how long the engine wants no work, where it says so. */
  fail (failure: EngineFailure, backoffMs?: number): void
}

const largestErrorBody = 64 * 1024
const engineBusyStatuses = new Set([429, 500, 502, 503, 504])

export class EngineStream {
  #sink: EngineSink
  #request: ClientRequest
  #response: IncomingMessage | null = null
  #splitter = new SseSplitter()
  #ended = false
  #idle: NodeJS.Timeout | null = null
  #idleMs: number
  #armedMs = 0
  wroteBytes = false

  /** `firstMs`: time for the first event; `idleMs`: time between events after it. */
  constructor (call: EngineCall, sink: EngineSink, firstMs: number, idleMs: number) {
    this.#sink = sink
    this.#idleMs = idleMs
    this.#request = httpRequest({
      host: call.host,
      port: call.port,
      agent: call.agent,
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(call.body),
        'x-request-id': call.requestId
      }
    })
    this.#request.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { this.wroteBytes = true })
      else this.wroteBytes = true
    })
    this.#request.on('response', response => this.#receive(response))
    this.#request.on('error', () => this.#fail(this.wroteBytes ? 'reset' : 'unreachable'))
    this.#request.end(call.body)
    this.#arm(firstMs)
  }

  /** Ends the attempt; the engine sees its connection close and stops. */
  cancel (): void {
    this.#end()
    this.#request.destroy()
  }

  /** Goes on after `take` returned false. */
  resume (): void {
    if (this.#ended) return
    this.#arm(this.#idleMs)
    this.#response?.resume()
  }

  #receive (response: IncomingMessage): void {
    if (this.#ended) return
    this.#response = response
    response.on('error', () => this.#fail('reset'))
    response.on('close', () => this.#fail('reset'))
    const status = response.statusCode ?? 0
    if (status !== 200) return this.#readError(status, response)
    this.#sink.begin()
    response.on('data', (chunk: Buffer) => this.#read(chunk))
    response.on('end', () => this.#finish())
  }

  #read (chunk: Buffer): void {
    if (this.#ended) return
    let events
    try {
      events = this.#splitter.push(chunk)
    } catch {
      return this.#fail('broken-events')
    }
    if (events.length === 0) return
    this.#arm(this.#idleMs)
    if (this.#sink.take(events) || this.#ended) return
    this.#disarm()
    this.#response?.pause()
  }

  #finish (): void {
    if (this.#ended) return
    this.#end()
    this.#sink.finish()
  }

  #readError (status: number, response: IncomingMessage): void {
    if (engineBusyStatuses.has(status)) {
      response.resume()
      return this.#fail('status', readBackoffMs(status, response.headers, Date.now()) ?? 0)
    }
    let body = ''
    response.on('data', (chunk: Buffer) => { if (body.length < largestErrorBody) body += chunk.toString() })
    response.on('end', () => {
      if (this.#ended) return
      this.#end()
      this.#sink.reject(status, body)
    })
  }

  #fail (failure: EngineFailure, backoffMs = 0): void {
    if (this.#ended) return
    this.#end()
    this.#request.destroy()
    this.#sink.fail(failure, backoffMs)
  }

  #end (): void {
    this.#ended = true
    this.#disarm()
  }

  // The timer of the first event gives way to one that each event refreshes.
  #arm (ms: number): void {
    if (this.#idle !== null && this.#armedMs === ms) {
      this.#idle.refresh()
      return
    }
    this.#disarm()
    this.#armedMs = ms
    this.#idle = setTimeout(() => this.#fail('silent'), ms)
  }

  #disarm (): void {
    if (this.#idle !== null) clearTimeout(this.#idle)
    this.#idle = null
  }
}
