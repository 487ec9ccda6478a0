import { request as httpRequest } from 'node:http'
import type { RequestOptions } from 'node:http'
import { performance } from 'node:perf_hooks'

/** The end of a call over HTTP; status 0 where no answer began. */
export interface HttpResult {
  readonly status: number
  readonly body: string
  readonly isComplete: boolean
  /** Why no answer began. */
  readonly error: string
  /** When its body began; null where none came. */
  readonly firstByteAt: number | null
  /** When the caller was told to come back, ms; null where it wasn't. */
  readonly retryAfterMs: number | null
}

/** One HTTP exchange; resolves also where the answer breaks off or none comes. */
export function callHttp (options: RequestOptions, body: string): Promise<HttpResult> {
  return new Promise(resolve => {
    const request = httpRequest({ agent: false, ...options }, response => {
      let text = ''
      let firstByteAt: number | null = null
      response.on('data', (chunk: Buffer) => {
        firstByteAt ??= performance.now()
        text += chunk.toString()
      })
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode ?? 0, body: text, isComplete: response.complete, error: '', firstByteAt, retryAfterMs: readRetryAfter(response.headers['retry-after']) }))
    })
    request.on('timeout', () => request.destroy(new Error('no answer in time')))
    request.on('error', (error: NodeJS.ErrnoException) => resolve({ status: 0, body: '', isComplete: false, error: error.code ?? error.message, firstByteAt: null, retryAfterMs: null }))
    request.end(body === '' ? undefined : body)
  })
}

function readRetryAfter (seconds: string | undefined): number | null {
  return seconds === undefined ? null : Number(seconds) * 1000
}
