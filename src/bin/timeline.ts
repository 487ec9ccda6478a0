/** Merges the event logs of several processes, ordered by hybrid logical time. */

/** A parsed log line of an event. */
export interface TimelineEvent {
  readonly hlc: string
  readonly fields: ReadonlyMap<string, string>
  readonly line: string
}

const fieldPattern = /([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Parses a line of key=value pairs; null if it is not an event. */
export function parseEvent (line: string): TimelineEvent | null {
  const fields = new Map<string, string>()
  for (const [, key, value] of line.matchAll(fieldPattern)) {
    fields.set(key, value.startsWith('"') ? JSON.parse(value) as string : value)
  }
  const hlc = fields.get('hlc')
  return hlc === undefined ? null : { hlc, fields, line }
}

/** Merges events in the order of their hybrid logical times; if `request` is not null, only those of that request. */
export function mergeEvents (texts: readonly string[], request: string | null): TimelineEvent[] {
  const events: TimelineEvent[] = []
  for (const text of texts) {
    for (const line of text.split('\n')) {
      const event = parseEvent(line)
      if (event !== null && matchesRequest(event, request)) events.push(event)
    }
  }
  return events.sort((a, b) => compareTimes(a.hlc, b.hlc))
}

function matchesRequest (event: TimelineEvent, request: string | null): boolean {
  if (request === null) return true
  return event.fields.get('request') === request || event.fields.get('to') === request
}

/** How long before the end of a request a routing change may explain its outcome, ms. */
const causeWindowMs = 15_000
/** Events that change the endpoint states or routes that a box uses. */
const routingStateEvents = new Set(['endpoint', 'endpoint-reached', 'routes-in-force', 'registry-lost', 'registry-met', 'hub-chosen', 'hubs-silent'])

/**
 * Collects the events that explain a request's outcome: its own, and the preceding
 * routing changes on its box that concern the endpoints it was sent to, or all endpoints.
 */
export function explainRequest (texts: readonly string[], request: string): TimelineEvent[] {
  const requestEvents = mergeEvents(texts, request)
  const lastEvent = requestEvents.at(-1)
  if (lastEvent === undefined) return []
  const box = lastEvent.fields.get('box')
  const attempts = lastEvent.fields.get('attempts') ?? ''
  const mayExplain = (event: TimelineEvent): boolean => {
    if (!routingStateEvents.has(event.fields.get('event') ?? '') || event.fields.get('box') !== box) return false
    const ageMs = Number(lastEvent.hlc.split('.')[0]) - Number(event.hlc.split('.')[0])
    const endpoint = event.fields.get('endpoint')
    return ageMs >= 0 && ageMs <= causeWindowMs && (endpoint === undefined || attempts.includes(endpoint))
  }
  return [...mergeEvents(texts, null).filter(mayExplain), ...requestEvents].sort((a, b) => compareTimes(a.hlc, b.hlc))
}

function compareTimes (a: string, b: string): number {
  const [ms, count] = a.split('.').map(Number)
  const [otherMs, otherCount] = b.split('.').map(Number)
  return ms - otherMs || count - otherCount
}
