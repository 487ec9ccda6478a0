import type { IncomingMessage } from 'node:http'
import { wasReset } from './reset-socket.js'

/** True if an answer has no body whatever its headers say, as they describe that of another answer. `method`: of the request. */
export function isBodiless (status: number | undefined, method: string): boolean {
  return method === 'HEAD' || status === 204 || status === 304
}

/** True if the body of an answer has neither a length nor chunks, so that it ends with its connection. `method`: of the request. */
export function isUnframed ({ headers, statusCode }: IncomingMessage, method: string): boolean {
  return !isBodiless(statusCode, method) && headers['content-length'] === undefined && !/\bchunked\b/i.test(headers['transfer-encoding'] ?? '')
}

/** True if an answer is known to be incomplete after its end. Its connection must be watched by `watchReset`. */
export function wasTruncated (answer: IncomingMessage, method: string): boolean {
  return !answer.complete || (isUnframed(answer, method) && wasReset(answer.socket))
}
