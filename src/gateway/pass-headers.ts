import { copyHeaders } from '../protocol/index.js'
import type { AnswerHead } from './endpoint-call.js'

/** The endpoint's headers without those of its connection and framing; `length`: size of the body in bytes, null for a stream. */
export function passHeaders (head: AnswerHead, length: number | null): string[] {
  const headers = copyHeaders(head.rawHeaders, name => name === 'content-length')
  if (length !== null && head.status !== 204 && head.status !== 304) headers.push('Content-Length', String(length))
  return headers
}
