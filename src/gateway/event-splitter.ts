import { SseSplitter } from '../protocol/index.js'

/** A server-sent event with its id, null if it has none. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | null
}

const idPrefix = Buffer.from('id:')
const lineFeed = 10

/** Splits a stream into complete events, so that none is relayed in part. */
export class EventSplitter {
  #splitter = new SseSplitter()

  /** True if the data so far ends inside an event. */
  get isMidEvent (): boolean { return this.#splitter.pending > 0 }

  /** Returns the events completed by `chunk`. Throws RangeError on an event that is too large. */
  push (chunk: Buffer): StreamEvent[] {
    return this.#splitter.push(chunk).map(bytes => ({ bytes, id: readId(bytes) }))
  }
}

function readId (event: Buffer): string | null {
  for (let at = event.indexOf(idPrefix); at >= 0; at = event.indexOf(idPrefix, at + 1)) {
    if (at !== 0 && event[at - 1] !== lineFeed) continue
    const end = event.indexOf(lineFeed, at)
    return event.toString('latin1', at + idPrefix.length, end < 0 ? event.length : end).trim()
  }
  return null
}
