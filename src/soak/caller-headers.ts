/** The request headers that all simulated callers share; the routing documents of a soak run accept them. */

/** Host name that callers request. */
export const callerHost = 'camp.example'
/** API key of the callers' workspace. */
export const callerKey = 'soak-key'
/** Deadline of requests whose kind doesn't set one, ms. */
const defaultDeadlineMs = 5000

/** Composes the headers of a caller's request. */
export function composeCallerHeaders (requestId: string, deadlineMs = defaultDeadlineMs, key = callerKey): Record<string, string> {
  return {
    host: callerHost,
    authorization: `Bearer ${key}`,
    'x-wrenlane-request-id': requestId,
    'x-wrenlane-deadline-ms': String(deadlineMs)
  }
}
