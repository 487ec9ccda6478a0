/**
 * One attempt at an engine: sends the chat completion request and reads the
 * response as server-sent events. Bytes count as written as soon as a socket is
 * connected.
 */
import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { isAnswerStatus } from '../core/index.js'
import { SseSplitter, readBackoffMs, wasTruncated, watchReset } from '../protocol/index.js'

/** An engine address and the request to send to it. */
export interface EngineCall {
  readonly host: string
  readonly port: number
  readonly agent: Agent
  readonly body: string
  readonly requestId: string
}

/** How an attempt failed. `silent`: no event for `maxSilenceMs`; `status`: an error status that isn't due to the request; `denied`: one that may be; `other-version`: the rest of a response came from other software than its beginning. */
export type EngineFailure =
  | 'unreachable'
  | 'reset'
  | 'silent'
  | 'broken-events'
  | 'other-version'
  | 'status'
  | 'denied'

/** Callbacks for the response. Exactly one of `finish`, `reject` and `fail` is called, unless the attempt is cancelled. */
export interface EngineStreamHandler {
  /** Called when a response with status 200 begins. */
  begin (): void
  /** Receives complete events. Returns false to pause the stream until `resume` is called. */
  receive (events: readonly Buffer[]): boolean
  /** Called each time the engine has sent no event for a time-out. The attempt goes on, as a silent engine may have been suspended for a moment. */
  noteSilence (): void
  /** Called when the engine has ended the stream. */
  finish (): void
  /** Called for an error status by which the engine rejects the request as invalid. */
  reject (status: number, body: string): void
  /** `backoffMs`: time for which the engine asked to get no further requests; 0 if it did not ask. */
  fail (failure: EngineFailure, backoffMs?: number): void
}

const maxErrorBodyLength = 64 * 1024
/** An attempt fails if its engine sends no event for this time. */
const maxSilenceMs = 300_000
/** Statuses for which another engine is tried. */
const retryableStatuses = new Set([429, 500, 502, 503, 504])
/** The same, but these say nothing about the engine's health: they concern the router's access to it, a model that it has not loaded, or something that the request names. */
const denyingStatuses = new Set([401, 403, 404])

export class EngineStream {
  #handler: EngineStreamHandler
  #request: ClientRequest
  #response: IncomingMessage | null = null
  #splitter = new SseSplitter()
  #isEnded = false
  #timer: NodeJS.Timeout | null = null
  #idleTimeoutMs: number
  #timerMs = 0
  #silentMs = 0
  hasWrittenBytes = false

  /** `firstEventTimeoutMs` applies until the first event, `idleTimeoutMs` between later events. */
  constructor (call: EngineCall, handler: EngineStreamHandler, firstEventTimeoutMs: number, idleTimeoutMs: number) {
    this.#handler = handler
    this.#idleTimeoutMs = idleTimeoutMs
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
      watchReset(socket)
      if (socket.connecting) socket.once('connect', () => { this.hasWrittenBytes = true })
      else this.hasWrittenBytes = true
    })
    this.#request.on('response', response => this.#receive(response))
    this.#request.on('error', () => this.#fail(this.hasWrittenBytes ? 'reset' : 'unreachable'))
    this.#request.end(call.body)
    this.#startTimer(firstEventTimeoutMs)
  }

  /** Ends the attempt by closing the connection, which makes the engine stop generating. */
  cancel (): void {
    this.#end()
    this.#request.destroy()
  }

  /** Resumes the stream after `receive` has returned false. */
  resume (): void {
    if (this.#isEnded) return
    this.#startTimer(this.#idleTimeoutMs)
    this.#response?.resume()
  }

  #receive (response: IncomingMessage): void {
    if (this.#isEnded) return
    this.#response = response
    response.on('error', () => this.#fail('reset'))
    response.on('close', () => this.#fail('reset'))
    const status = response.statusCode ?? 0
    if (!isAnswerStatus(status)) return this.#fail('status')
    if (status !== 200) return this.#readError(status, response)
    this.#handler.begin()
    response.on('data', (chunk: Buffer) => this.#read(chunk))
    response.on('end', () => this.#finish())
  }

  #read (chunk: Buffer): void {
    if (this.#isEnded) return
    let events
    try {
      events = this.#splitter.push(chunk)
    } catch {
      return this.#fail('broken-events')
    }
    if (events.length === 0) return
    this.#silentMs = 0
    this.#startTimer(this.#idleTimeoutMs)
    if (this.#handler.receive(events) || this.#isEnded) return
    this.#stopTimer()
    this.#response?.pause()
  }

  #finish (): void {
    if (this.#isEnded) return
    this.#end()
    this.#handler.finish()
  }

  #readError (status: number, response: IncomingMessage): void {
    if (retryableStatuses.has(status) || denyingStatuses.has(status)) {
      response.resume()
      return this.#fail(denyingStatuses.has(status) ? 'denied' : 'status', readBackoffMs(status, response.headers, Date.now()) ?? 0)
    }
    let body = ''
    response.on('data', (chunk: Buffer) => { if (body.length < maxErrorBodyLength) body += chunk.toString() })
    response.on('end', () => {
      if (this.#isEnded) return
      if (wasTruncated(response, 'POST')) return this.#fail('reset')
      this.#end()
      this.#handler.reject(status, body)
    })
  }

  #fail (failure: EngineFailure, backoffMs = 0): void {
    if (this.#isEnded) return
    this.#end()
    this.#request.destroy()
    this.#handler.fail(failure, backoffMs)
  }

  #end (): void {
    this.#isEnded = true
    this.#stopTimer()
  }

  // Reuses the running timer if it has the same duration, so that events only refresh it.
  #startTimer (ms: number): void {
    if (this.#timer !== null && this.#timerMs === ms) {
      this.#timer.refresh()
      return
    }
    this.#stopTimer()
    this.#timerMs = ms
    this.#timer = setTimeout(() => this.#handleTimeout(), ms)
  }

  #handleTimeout (): void {
    this.#silentMs += this.#timerMs
    if (this.#silentMs >= maxSilenceMs) return this.#fail('silent')
    this.#startTimer(this.#timerMs)
    this.#handler.noteSilence()
  }

  #stopTimer (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
  }
}
