import { request as httpRequest } from 'node:http'
import type { RequestOptions } from 'node:http'

/** The end of a call over HTTP; status 0 where no answer began. */
export interface HttpEnd {
  readonly status: number
  readonly body: string
  readonly isWhole: boolean
  /** Why no answer began. */
  readonly error: string
}

/** One HTTP exchange; resolves also where the answer breaks off or none comes. */
export function callHttp (options: RequestOptions, body: string): Promise<HttpEnd> {
  return new Promise(resolve => {
    const request = httpRequest({ agent: false, ...options }, response => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode ?? 0, body: text, isWhole: response.complete, error: '' }))
    })
    request.on('timeout', () => request.destroy(new Error('no answer in time')))
    request.on('error', (error: NodeJS.ErrnoException) => resolve({ status: 0, body: '', isWhole: false, error: error.code ?? error.message }))
    request.end(body === '' ? undefined : body)
  })
}
