/** What all callers of a history say of themselves; its documents let them in by it. */

/** The host that callers ask. */
export const callerHost = 'camp.example'
/** The key of their workspace. */
export const callerKey = 'soak-key'
/** How long a caller waits where its kind doesn't say, ms. */
const defaultDeadlineMs = 5000

/** The headers of a caller's request. */
export function composeCaller (requestId: string, deadlineMs = defaultDeadlineMs): Record<string, string> {
  return {
    host: callerHost,
    authorization: `Bearer ${callerKey}`,
    'x-wrenlane-request-id': requestId,
    'x-wrenlane-deadline-ms': String(deadlineMs)
  }
}
