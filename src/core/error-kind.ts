/**
 * The closed list of error kinds and the one table from kind to answer.
 * Everything that a caller or operator can be told stands here.
 */

/** Whether a refused request ran at its endpoint. */
export type Outcome = 'not-run' | 'unknown' | 'run'

/** What a caller is answered for one kind of error. */
export interface ErrorAnswer {
  /** HTTP status. */
  readonly status: number
  /** The `type` field of an OpenAI-shaped error. */
  readonly type: string
  readonly outcome: Outcome
  /** True where a `Retry-After` header belongs to the answer. */
  readonly retryAfter: boolean
  /** What the kind means, for people. */
  readonly meaning: string
}

/** Every error kind with its answer. `docs/ERRORS.md` is made from this table. */
export const errorTable = {
  'bad-request': { status: 400, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The request is not well formed.' },
  'bad-key': { status: 401, type: 'authentication_error', outcome: 'not-run', retryAfter: false, meaning: 'The key is missing or opens no workspace.' },
  'unknown-class': { status: 400, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The class is not configured.' },
  'unknown-model': { status: 404, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'No pool serves the model.' },
  'unknown-service': { status: 404, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The service is not configured.' },
  'unknown-path': { status: 404, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The path is not one that wrenlane serves.' },
  'body-too-large': { status: 413, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The body exceeds the limit.' },
  'slow-caller': { status: 408, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The request was not received within the time for it.' },
  'workspace-limit': { status: 429, type: 'rate_limit_error', outcome: 'not-run', retryAfter: true, meaning: 'The workspace has used up its limit.' },
  overloaded: { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'Demand of this class exceeds capacity; its target could not be met.' },
  'no-engine': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'No engine for the model can be reached.' },
  quarantined: { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'Endpoints ended under this very request; it is not sent for a while.' },
  'no-document': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'This box has no routing document yet.' },
  draining: { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'This box is stopping.' },
  'no-quorum': { status: 503, type: 'overloaded_error', outcome: 'not-run', retryAfter: true, meaning: 'The keepers cannot be reached, so a call that may not be repeated is not begun.' },
  'engine-failed': { status: 502, type: 'api_error', outcome: 'unknown', retryAfter: false, meaning: 'The endpoint failed after the request was sent to it.' },
  'engine-timeout': { status: 504, type: 'api_error', outcome: 'unknown', retryAfter: false, meaning: 'The endpoint did not answer in time.' },
  'service-unreachable': { status: 502, type: 'api_error', outcome: 'not-run', retryAfter: true, meaning: 'No connection to the service could be made.' },
  'key-required': { status: 400, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'This call may not be repeated and needs an Idempotency-Key.' },
  'key-conflict': { status: 422, type: 'invalid_request_error', outcome: 'not-run', retryAfter: false, meaning: 'The Idempotency-Key was used with another body.' },
  'in-progress': { status: 409, type: 'conflict_error', outcome: 'unknown', retryAfter: true, meaning: 'The call with this Idempotency-Key is being run.' },
  'claim-unknown': { status: 409, type: 'conflict_error', outcome: 'unknown', retryAfter: false, meaning: 'Whether the call with this Idempotency-Key ran is not known; it will not be run again.' },
  'answer-not-kept': { status: 409, type: 'conflict_error', outcome: 'run', retryAfter: false, meaning: 'The call ran; its answer is no longer kept.' },
  internal: { status: 500, type: 'api_error', outcome: 'unknown', retryAfter: false, meaning: 'A fault of wrenlane itself.' }
} as const satisfies Record<string, ErrorAnswer>

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorTable

/** The answer for a kind. */
export function lookUpError (kind: ErrorKind): ErrorAnswer {
  return errorTable[kind]
}
