import { SseSplitter } from '../protocol/index.js'

/** An event with its id, where it names one. */
export interface NumberedEvent {
  readonly bytes: Buffer
  readonly id: string | null
}

const idField = Buffer.from('id:')
const lineFeed = 10

/** Cuts a stream into whole events, so that none is ever passed on in part. */
export class EventCutter {
  #splitter = new SseSplitter()

  /** True where the stream stands in the middle of an event. */
  get isInside (): boolean { return this.#splitter.pending > 0 }

  /** Throws RangeError on an event that is too large. */
  push (chunk: Buffer): NumberedEvent[] {
    return this.#splitter.push(chunk).map(bytes => ({ bytes, id: readId(bytes) }))
  }
}

function readId (event: Buffer): string | null {
  for (let at = event.indexOf(idField); at >= 0; at = event.indexOf(idField, at + 1)) {
    if (at !== 0 && event[at - 1] !== lineFeed) continue
    const end = event.indexOf(lineFeed, at)
    return event.toString('latin1', at + idField.length, end < 0 ? event.length : end).trim()
  }
  return null
}
