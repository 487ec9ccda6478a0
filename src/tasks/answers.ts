/** How callers are answered: headers, errors in the published shape. */
import type { ServerResponse } from 'node:http'
import { lookUpError } from '../core/index.js'
import type { Outcome } from '../core/index.js'
import type { Fault } from './fault.js'

export const requestIdHeader = 'x-wrenlane-request-id'
export const outcomeHeader = 'x-wrenlane-outcome'
export const classHeader = 'x-wrenlane-class'
export const replayedHeader = 'x-wrenlane-replayed'

/** The body of an error in the published shape. */
export function formatError (fault: Fault, requestId: string, outcome: Outcome): string {
  const { type } = lookUpError(fault.kind)
  return JSON.stringify({
    error: { message: fault.message, type, param: fault.param, code: fault.kind, outcome, request_id: requestId }
  })
}

/**
 * What can be said of a refused request: "not run" only where no byte of it was
 * written towards an endpoint.
 */
export function decideOutcome (fault: Fault, wroteBytes: boolean): Outcome {
  const { outcome } = lookUpError(fault.kind)
  return wroteBytes && outcome === 'not-run' ? 'unknown' : outcome
}

/** Answers with an error, or ends a stream that has begun with one. */
export function sendFault (response: ServerResponse, fault: Fault, requestId: string, wroteBytes: boolean): Outcome {
  const outcome = decideOutcome(fault, wroteBytes)
  const body = formatError(fault, requestId, outcome)
  if (response.headersSent) {
    response.end(`data: ${body}\n\n`)
    return outcome
  }
  const { status, retryAfter } = lookUpError(fault.kind)
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [requestIdHeader]: requestId,
    [outcomeHeader]: outcome
  }
  if (retryAfter) Object.assign(headers, formatRetryAfter(fault.retryAfterMs ?? 1000))
  if (status === 413 || status === 408) headers.connection = 'close'
  response.writeHead(status, headers)
  response.end(body)
  return outcome
}

// The header counts whole seconds; many clients also read the finer one.
function formatRetryAfter (ms: number): Record<string, string> {
  return { 'retry-after': String(Math.max(1, Math.ceil(ms / 1000))), 'retry-after-ms': String(Math.round(ms)) }
}
