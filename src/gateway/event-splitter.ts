import { SseSplitter } from '../protocol/index.js'

/** An event with its id, where it names one. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | null
}

const idPrefix = Buffer.from('id:')
const lineFeed = 10

/** Cuts a stream into whole events, so that none is ever passed on in part. */
export class EventSplitter {
  #splitter = new SseSplitter()

  /** True where the stream stands in the middle of an event. */
  get isMidEvent (): boolean { return this.#splitter.pending > 0 }

  /** Throws RangeError on an event that is too large. */
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
