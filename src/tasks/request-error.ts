import VError from 'verror'
import type { ErrorKind } from '../core/index.js'

/** An error that is reported to the caller. Its kind determines the response. */
export class RequestError extends VError {
  readonly kind: ErrorKind
  /** Delay after which the caller may retry; null for the default. Used only by kinds with a `Retry-After` header. */
  readonly retryAfterMs: number | null
  /** The request parameter that caused the error, if any. */
  readonly param: string | null

  constructor (kind: ErrorKind, text: string, options: { retryAfterMs?: number, param?: string | null, cause?: Error } = {}) {
    super({ name: kind, cause: options.cause }, '%s', text)
    this.kind = kind
    this.retryAfterMs = options.retryAfterMs ?? null
    this.param = options.param ?? null
  }
}

/** Converts any thrown value; one that is not a `RequestError` becomes an internal error with the value as its cause. */
export function toRequestError (thrown: unknown): RequestError {
  if (thrown instanceof RequestError) return thrown
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
  return new RequestError('internal', 'internal error', { cause })
}

/** `retry-after` from a stopping box, ms: other boxes are available. */
const drainRetryMs = 50

/** The error of a request that was not run before its box stopped. */
export function composeDrainError (): RequestError {
  return new RequestError('draining', 'this box is shutting down, and the request was not run', { retryAfterMs: drainRetryMs })
}
