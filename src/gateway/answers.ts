import type { ServerResponse } from 'node:http'
import { isRefusedByShare, lookUpError } from '../core/index.js'
import type { Admission, ErrorKind } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'

/** An error that the box itself answers with. */
export interface Refusal {
  readonly kind: ErrorKind
  readonly text: string
  /** `retry-after`, ms; only for error kinds that allow a retry. */
  readonly retryAfterMs?: number
}

/** `retry-after` where the refusal gives none, ms. */
const defaultRetryMs = 500
/** `retry-after` from a draining box, ms: short, because other boxes are available at once. */
const drainRetryMs = 50

/** The refusal of a request whose deadline is after the stop of its box. */
export const drainRefusal: Refusal = { kind: 'draining', text: 'this box is shutting down, and the answer may not be complete in time', retryAfterMs: drainRetryMs }

/** Explains a refusal on arrival to the caller. */
export function explainRefusal (admission: Admission | null): string {
  if (admission !== null && isRefusedByShare(admission)) return 'the workspace sends more than its share of the capacity that is left'
  return 'the backlog ahead of this request is too long'
}

/** Answers with an error of the box's own; `lookUpError` gives its status and outcome. */
export function sendRefusal (response: ServerResponse, refusal: Refusal, dialect: Dialect): void {
  const { status, outcome, retryAfter } = lookUpError(refusal.kind)
  const body = JSON.stringify({ error: refusal.kind, message: refusal.text, outcome })
  const headers: Record<string, string | number> = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  if (retryAfter) headers['retry-after'] = dialect.formatRetryAfter(refusal.retryAfterMs ?? defaultRetryMs)
  if (status === 413 || status === 408) headers.connection = 'close'
  // Headers of an endpoint's answer that could not be sent may have been set already.
  for (const name of response.getHeaderNames()) if (name !== 'connection') response.removeHeader(name)
  response.writeHead(status, headers)
  response.end(body)
}
