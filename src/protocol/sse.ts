/** Cuts a stream of server-sent events into events, as bytes. */
const lineFeed = 10
const carriageReturn = 13
const largestEvent = 4 * 2 ** 20
const doneEvent = Buffer.from('data: [DONE]')

export class SseSplitter {
  #rest: Buffer | null = null

  /** Bytes that came after the last whole event. */
  get pending (): number { return this.#rest?.length ?? 0 }

  /**
   * Takes in bytes and returns the whole events, each with its blank line.
   * Throws RangeError on one that is too large.
   */
  push (chunk: Buffer): Buffer[] {
    const bytes = this.#rest === null ? chunk : Buffer.concat([this.#rest, chunk])
    const events: Buffer[] = []
    let start = 0
    for (let end = findEnd(bytes, 0); end > 0; end = findEnd(bytes, start)) {
      events.push(bytes.subarray(start, end))
      start = end
    }
    this.#rest = start === bytes.length ? null : bytes.subarray(start)
    if (this.pending > largestEvent) throw new RangeError(`an event of over ${largestEvent} bytes`)
    return events
  }
}

// The index after the blank line that ends the event, or -1.
function findEnd (bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(lineFeed, from); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    const next = bytes[at + 1]
    if (next === lineFeed) return at + 2
    if (next === carriageReturn && bytes[at + 2] === lineFeed) return at + 3
  }
  return -1
}

/** True for the event that ends a stream of the chat protocol. */
export function isDoneEvent (event: Buffer): boolean {
  return event.length < doneEvent.length + 8 && event.subarray(0, doneEvent.length).equals(doneEvent)
}

/** What follows `data:`, or null where the event has none. */
export function readEventData (event: Buffer): string | null {
  const data: string[] = []
  for (const line of event.toString('utf8').split(/\r?\n/)) {
    if (line.startsWith('data:')) data.push(line.slice(line[5] === ' ' ? 6 : 5))
  }
  return data.length === 0 ? null : data.join('\n')
}

/** An event with this data. */
export function formatEventData (data: string): string {
  return `data: ${data}\n\n`
}
