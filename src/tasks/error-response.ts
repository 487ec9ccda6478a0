/** Error responses in the OpenAI-compatible format, and the names of response headers. */
import type { ServerResponse } from 'node:http'
import { lookUpError } from '../core/index.js'
import type { Outcome } from '../core/index.js'
import type { RequestError } from './request-error.js'

export const requestIdHeader = 'x-wrenlane-request-id'
export const outcomeHeader = 'x-wrenlane-outcome'
export const classHeader = 'x-wrenlane-class'
export const replayedHeader = 'x-wrenlane-replayed'

/** The JSON body of an error. */
export function formatError (error: RequestError, requestId: string, outcome: Outcome): string {
  const { type } = lookUpError(error.kind)
  return JSON.stringify({
    error: { message: error.message, type, param: error.param, code: error.kind, outcome, request_id: requestId }
  })
}

/**
 * The outcome reported for a failed request: "not-run" only if no byte of it was
 * written to an endpoint.
 */
export function determineOutcome (error: RequestError, hasWrittenBytes: boolean): Outcome {
  const { outcome } = lookUpError(error.kind)
  return hasWrittenBytes && outcome === 'not-run' ? 'unknown' : outcome
}

/** Sends an error response, or ends an event stream that has already started with an error event. Returns the reported outcome. */
export function sendError (response: ServerResponse, error: RequestError, requestId: string, hasWrittenBytes: boolean): Outcome {
  const outcome = determineOutcome(error, hasWrittenBytes)
  const body = formatError(error, requestId, outcome)
  if (response.headersSent) {
    response.end(`data: ${body}\n\n`)
    return outcome
  }
  const { status, retryAfter } = lookUpError(error.kind)
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [requestIdHeader]: requestId,
    [outcomeHeader]: outcome
  }
  if (retryAfter) Object.assign(headers, formatRetryAfter(error.retryAfterMs ?? 1000))
  if (status === 413 || status === 408) headers.connection = 'close'
  response.writeHead(status, headers)
  response.end(body)
  return outcome
}

// `retry-after` is in whole seconds; many clients also read `retry-after-ms`.
function formatRetryAfter (ms: number): Record<string, string> {
  return { 'retry-after': String(Math.max(1, Math.ceil(ms / 1000))), 'retry-after-ms': String(Math.round(ms)) }
}
