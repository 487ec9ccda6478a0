const lineFeed = 10
const carriageReturn = 13
const maxEventBytes = 4 * 2 ** 20
const doneEvent = Buffer.from('data: [DONE]')

/** Splits a byte stream into server-sent events. */
export class SseSplitter {
  #rest: Buffer | null = null

  /** Number of buffered bytes after the last complete event. */
  get pending (): number { return this.#rest?.length ?? 0 }

  /**
   * Adds bytes and returns the complete events, each with its terminating blank
   * line. Throws a RangeError where an incomplete event exceeds 4 MiB.
   */
  push (chunk: Buffer): Buffer[] {
    const bytes = this.#rest === null ? chunk : Buffer.concat([this.#rest, chunk])
    const events: Buffer[] = []
    let start = 0
    for (let end = findEventEnd(bytes, 0); end > 0; end = findEventEnd(bytes, start)) {
      events.push(bytes.subarray(start, end))
      start = end
    }
    this.#rest = start === bytes.length ? null : bytes.subarray(start)
    if (this.pending > maxEventBytes) throw new RangeError(`server-sent event exceeds ${maxEventBytes} bytes`)
    return events
  }
}

// The index after the blank line that ends the event, or -1.
function findEventEnd (bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(lineFeed, from); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const next = bytes[at + 1]
    if (next === lineFeed) return at + 2
    if (next === carriageReturn && bytes[at + 2] === lineFeed) return at + 3
  }
  return -1
}

/** True for the `[DONE]` event that ends a stream of the chat protocol. */
export function isDoneEvent (event: Buffer): boolean {
  return event.length < doneEvent.length + 8 && event.subarray(0, doneEvent.length).equals(doneEvent)
}

/** The event's `data:` lines joined by newlines; null where it has none. */
export function readEventData (event: Buffer): string | null {
  const data: string[] = []
  for (const line of event.toString('utf8').split(/\r?\n/)) {
    if (line.startsWith('data:')) data.push(line.slice(line[5] === ' ' ? 6 : 5))
  }
  return data.length === 0 ? null : data.join('\n')
}

export function formatEventData (data: string): string {
  return `data: ${data}\n\n`
}
