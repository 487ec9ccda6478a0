/**
 * All error kinds and the responses they map to. No other error reaches a
 * caller or operator.
 */

/** Whether a refused request ran at its endpoint. */
export type Outcome = 'not-run' | 'unknown' | 'run'

/** The response to a caller for one kind of error. */
export interface ErrorResponse {
  /** HTTP status. */
  readonly status: number
  /** The `type` field of an OpenAI-compatible error. */
  readonly type: string
  readonly outcome: Outcome
  /** True if the response has a `Retry-After` header. */
  readonly retryAfter: boolean
  /** Explanation for the generated documentation. */
  readonly meaning: string
}

/** Every error kind with its response. `docs/ERRORS.md` is generated from this table. */
export const errorTable = {
  'bad-request': { status: 400, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The request is malformed.' },
  'bad-key': { status: 401, type: 'authentication_error', outcome: 'not-run', retryAfter: false, meaning: 'The key is missing or does not belong to a workspace.' },
  'unknown-class': { status: 400, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The class is not configured.' },
  'unknown-model': { status: 404, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'No pool serves the model.' },
  'unknown-service': { status: 404, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The service is not configured.' },
  'unknown-path': { status: 404, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'wrenlane does not serve this path.' },
  'body-too-large': { status: 413, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The body exceeds the size limit.' },
  'slow-caller': { status: 408, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The request was not received completely before the time-out.' },
  'workspace-limit': { status: 429, type: 'rate_limit_error', outcome: 'not-run', retryAfter: true, meaning: 'The workspace has exceeded a limit.' },
  overloaded: { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'Demand of this class exceeds capacity; the latency target cannot be met.' },
  'no-engine': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'No engine for the model is available.' },
  quarantined: { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'Endpoints crashed while running this request; it is quarantined for some time.' },
  'stream-unknown': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'It is unknown which software version began the stream that is to be resumed, or no endpoint of that version is known here yet.' },
  'stream-version-gone': { status: 410, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'No endpoint serves the software version that began the stream any more: it can only be started anew.' },
  'no-memory': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'The box has no memory left for the body of the request.' },
  'no-document': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'This box has not received a routing document yet.' },
  draining: { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'This box is shutting down.' },
  'no-quorum': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'No quorum of keepers is reachable, so a non-repeatable call is not started.' },
  'engine-failed': { status: 502, type: 'api_error', outcome: 'unknown', retryAfter: false, meaning: 'The endpoint failed after the request was sent to it.' },
  'engine-timeout': { status: 504, type: 'api_error', outcome: 'unknown', retryAfter: false, meaning: 'The endpoint did not respond in time.' },
  'service-unreachable': { status: 502, type: 'api_error', outcome: 'not-run', retryAfter: true, meaning: 'No connection to the service could be established.' },
  'key-required': { status: 400, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'This call is not repeatable and requires an Idempotency-Key.' },
  'key-conflict': { status: 422, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The Idempotency-Key was already used with a different body.' },
  'in-progress': { status: 409, type: 'conflict_error', outcome: 'unknown', retryAfter: true, meaning: 'The call with this Idempotency-Key is still running.' },
  'claim-unknown': { status: 409, type: 'conflict_error', outcome: 'unknown', retryAfter: false, meaning: 'It is unknown whether the call with this Idempotency-Key ran; it will not be run again.' },
  'answer-not-kept': { status: 409, type: 'conflict_error', outcome: 'run', retryAfter: false, meaning: 'The call ran, but its response is no longer stored.' },
  internal: { status: 500, type: 'api_error', outcome: 'unknown', retryAfter: false, meaning: 'An internal error of wrenlane.' }
} as const satisfies Record<string, ErrorResponse>

export type ErrorKind = keyof typeof errorTable

export function lookUpError (kind: ErrorKind): ErrorResponse {
  return errorTable[kind]
}
