/**
 * The attempts of one call at the endpoints of a plain service. An endpoint that
 * does not connect is replaced by the next; in a repeatable call also one that
 * fails. One that is silent has not failed: a repeatable call gets a further
 * attempt beside it, and the first complete response counts.
 */
import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { isAnswerStatus } from '../core/index.js'
import type { StoredAnswer } from '../coordination/index.js'
import type { ServiceEndpoint } from '../config/index.js'
import { isUnframed, wasTruncated, watchReset } from '../protocol/index.js'

/** The request that is sent to each endpoint. */
export interface EndpointCall {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | number>>
  readonly body: Buffer
  /** False for a new connection. */
  readonly agent: Agent | false
  readonly isRepeatable: boolean
}

/** How all attempts together ended. `text` describes the last failure; `isUnframed`: the response had neither a length nor chunks. */
export type CallEnd =
  | { readonly type: 'response', readonly response: StoredAnswer, readonly isUnframed: boolean }
  | { readonly type: 'failed', readonly text: string }

/** Time in which an endpoint has to connect while there is another one to try, ms. */
const connectTimeoutMs = 1000
/** The same as a share of the time left, and that of the last endpoint. */
const connectShare = 1 / 3
const lastConnectShare = 2 / 3
/** Share of the time left after which a silent attempt of a repeatable call gets another beside it. */
const silenceShare = 1 / 2
const maxResponseBytes = 16 * 2 ** 20

class EndpointAttempt {
  hasWrittenBytes = false
  #request: ClientRequest
  #connectTimer: NodeJS.Timeout
  #handleEnd: (end: CallEnd) => void
  #isEnded = false

  constructor (call: EndpointCall, { host, port }: ServiceEndpoint, connectMs: number, handleEnd: (end: CallEnd) => void) {
    const { method, path, agent, headers, body } = call
    this.#handleEnd = handleEnd
    this.#request = httpRequest({ host, port, method, path, agent, headers })
    this.#connectTimer = setTimeout(() => this.#end({ type: 'failed', text: 'no connection before the time-out' }), connectMs)
    this.#request.on('socket', socket => {
      watchReset(socket)
      if (socket.connecting) socket.once('connect', () => this.#noteConnected())
      else this.#noteConnected()
    })
    this.#request.on('error', error => this.#end({ type: 'failed', text: error.message }))
    this.#request.on('response', response => {
      readResponse(response, method).then(answer => this.#end({ type: 'response', response: answer, isUnframed: isUnframed(response, method) }), (error: Error) => this.#end({ type: 'failed', text: error.message }))
    })
    this.#request.end(body)
  }

  cancel (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    clearTimeout(this.#connectTimer)
    this.#request.destroy()
  }

  #noteConnected (): void {
    this.hasWrittenBytes = true
    clearTimeout(this.#connectTimer)
  }

  #end (end: CallEnd): void {
    if (this.#isEnded) return
    this.#isEnded = true
    clearTimeout(this.#connectTimer)
    if (end.type === 'failed') this.#request.destroy()
    this.#handleEnd(end)
  }
}

export class ServiceAttempts {
  /** Resolves once there is a complete response, or no attempt is left; never after `cancel`. */
  readonly end: Promise<CallEnd>
  #call: EndpointCall
  #endpoints: readonly ServiceEndpoint[]
  #deadline: number
  #now: () => number
  #resolve: (end: CallEnd) => void = () => {}
  #open = new Set<EndpointAttempt>()
  #startedCount = 0
  #hasWrittenBytes = false
  #silenceTimer: NodeJS.Timeout
  /** An error status, kept while another attempt may still bring a better response. */
  #errorResponse: CallEnd | null = null

  /** `deadline`: when the caller is answered. Attempts that are open then go on until `cancel`. */
  constructor (call: EndpointCall, endpoints: readonly ServiceEndpoint[], deadline: number, now: () => number) {
    this.#call = call
    this.#endpoints = endpoints
    this.#deadline = deadline
    this.#now = now
    this.end = new Promise(resolve => { this.#resolve = resolve })
    this.#silenceTimer = setTimeout(() => this.#handleSilence(), this.#leftMs * silenceShare)
    this.#startNext('the service has no endpoint')
  }

  /** True if a connection was established, so the call may have run. */
  get hasWrittenBytes (): boolean { return this.#hasWrittenBytes || [...this.#open].some(attempt => attempt.hasWrittenBytes) }

  cancel (): void {
    clearTimeout(this.#silenceTimer)
    for (const attempt of this.#open) this.#close(attempt)
  }

  get #leftMs (): number { return Math.max(0, this.#deadline - this.#now()) }

  #startNext (lastFailure: string): void {
    if (this.#startedCount === this.#endpoints.length) {
      if (this.#open.size === 0) this.#finish(this.#errorResponse ?? { type: 'failed', text: lastFailure })
      return
    }
    const endpoint = this.#endpoints[this.#startedCount]
    this.#startedCount += 1
    const isLast = this.#startedCount === this.#endpoints.length
    const connectMs = isLast ? this.#leftMs * lastConnectShare : Math.min(connectTimeoutMs, this.#leftMs * connectShare)
    try {
      const attempt: EndpointAttempt = new EndpointAttempt(this.#call, endpoint, connectMs, end => this.#handleEnd(attempt, end))
      this.#open.add(attempt)
    } catch (error) {
      // Node throws for a path or header that it can't send.
      this.#finish({ type: 'failed', text: (error as Error).message })
    }
  }

  #handleEnd (attempt: EndpointAttempt, end: CallEnd): void {
    this.#close(attempt)
    if (end.type === 'response') {
      if (end.response.status < 500 || this.#open.size === 0) return this.#finish(end)
      this.#errorResponse = end
      return
    }
    if (this.#errorResponse !== null && this.#open.size === 0) return this.#finish(this.#errorResponse)
    if (this.#call.isRepeatable || !this.#hasWrittenBytes) this.#startNext(end.text)
    else this.#finish(end)
  }

  #handleSilence (): void {
    if (this.#call.isRepeatable && this.#open.size === 1) this.#startNext('')
  }

  #close (attempt: EndpointAttempt): void {
    this.#hasWrittenBytes ||= attempt.hasWrittenBytes
    this.#open.delete(attempt)
    attempt.cancel()
  }

  #finish (end: CallEnd): void {
    this.cancel()
    this.#resolve(end)
  }
}

async function readResponse (response: IncomingMessage, method: string): Promise<StoredAnswer> {
  const status = response.statusCode ?? 0
  if (!isAnswerStatus(status)) throw new Error(`the response has the status ${status}`)
  const chunks: Buffer[] = []
  let receivedBytes = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    receivedBytes += chunk.length
    if (receivedBytes > maxResponseBytes) throw new Error('the response is too large')
    chunks.push(chunk)
  }
  if (wasTruncated(response, method)) throw new Error('the response was truncated')
  return { status, contentType: response.headers['content-type'] ?? 'application/octet-stream', body: Buffer.concat(chunks) }
}
