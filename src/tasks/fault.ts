import VError from 'verror'
import type { ErrorKind } from '../core/index.js'

/** A fault with its kind, which says what the caller is answered. */
export class Fault extends VError {
  readonly kind: ErrorKind
  /** When to come back, ms; where the kind has it. */
  readonly retryAfterMs: number | null
  /** The key of the request that is at fault, where there is one. */
  readonly param: string | null

  constructor (kind: ErrorKind, text: string, more: { retryAfterMs?: number, param?: string | null, cause?: Error } = {}) {
    super({ name: kind, cause: more.cause }, '%s', text)
    this.kind = kind
    this.retryAfterMs = more.retryAfterMs ?? null
    this.param = more.param ?? null
  }
}

/** Any thrown value as a fault. */
export function toFault (thrown: unknown): Fault {
  if (thrown instanceof Fault) return thrown
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown))
  return new Fault('internal', 'a fault of wrenlane itself', { cause })
}
