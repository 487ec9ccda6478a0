import { request as httpRequest } from 'node:http'
import type { IncomingMessage, RequestOptions } from 'node:http'
import { performance } from 'node:perf_hooks'

/** Result of an HTTP call. */
export interface HttpResult {
  /** 0 if no answer was received. */
  readonly status: number
  readonly body: string
  readonly isComplete: boolean
  /** Why no answer was received; empty otherwise. */
  readonly error: string
  /** When the first bytes of the body arrived, on the clock of `performance.now()`; null if none did. */
  readonly firstByteAt: number | null
  /** Delay named by the Retry-After header, ms; null without one. */
  readonly retryAfterMs: number | null
}

/** Called after each chunk of a body with its size; it may pause the response. */
export type ReadPacer = (response: IncomingMessage, bytes: number) => void

/** Makes one HTTP call; never rejects, even if the answer breaks off or none arrives. */
export function callHttp (options: RequestOptions, body: string, pacer: ReadPacer = () => {}): Promise<HttpResult> {
  return new Promise(resolve => {
    const request = httpRequest({ agent: false, ...options }, response => {
      let text = ''
      let firstByteAt: number | null = null
      response.on('data', (chunk: Buffer) => {
        firstByteAt ??= performance.now()
        text += chunk.toString()
        pacer(response, chunk.length)
      })
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode ?? 0, body: text, isComplete: response.complete, error: '', firstByteAt, retryAfterMs: readRetryAfter(response.headers['retry-after']) }))
    })
    request.on('timeout', () => request.destroy(new Error('no answer within the timeout')))
    request.on('error', (error: NodeJS.ErrnoException) => resolve({ status: 0, body: '', isComplete: false, error: error.code ?? error.message, firstByteAt: null, retryAfterMs: null }))
    request.end(body === '' ? undefined : body)
  })
}

function readRetryAfter (seconds: string | undefined): number | null {
  return seconds === undefined ? null : Number(seconds) * 1000
}
