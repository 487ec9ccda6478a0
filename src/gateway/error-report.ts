import type { EventLog, Metrics } from '../runtime/index.js'

/** Where an unexpected error ended a request: before its exchange began, in it, or while it was forwarded for another box. */
export type ErrorPlace = 'arrival' | 'exchange' | 'relay'

/** Reports an error that no part of the box expects; it ends one request. */
export function reportError (place: ErrorPlace, requestId: string, error: Error, { log, metrics }: { readonly log: EventLog, readonly metrics: Metrics }): void {
  metrics.count('unexpected-errors', { place })
  const [, line = ''] = error.stack?.split('\n') ?? []
  log.error('unexpected-error', { request: requestId, place, error: error.message, line: line.trim() })
}
