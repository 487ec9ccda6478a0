import { SseSplitter } from '../protocol/index.js'
import type { UnfinishedEvent, UnfinishedEvents } from './unfinished-events.js'

/** A server-sent event with its id, null if it has none. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | null
}

const idPrefix = Buffer.from('id:')
const lineFeed = 10

/** Splits a stream into complete events, so that none is relayed in part. The last, incomplete one is on the account of the box. */
export class EventSplitter implements UnfinishedEvent {
  #splitter = new SseSplitter()
  #account: UnfinishedEvents
  #isReleased = false
  readonly drop: () => void

  /** `drop`: called if the box has no room for the event that has begun. */
  constructor (account: UnfinishedEvents, drop: () => void) {
    this.#account = account
    this.drop = drop
  }

  /** True if the data so far ends inside an event. */
  get isMidEvent (): boolean { return this.#splitter.pending > 0 }
  get heldBytes (): number { return this.#splitter.heldBytes }

  /** Returns the events completed by `chunk`. Throws RangeError on an event that is too large. */
  push (chunk: Buffer): StreamEvent[] {
    const before = this.heldBytes
    const events = this.#splitter.push(chunk).map(bytes => ({ bytes, id: readId(bytes) }))
    if (this.heldBytes !== before && !this.#isReleased) this.#account.note(this)
    return events
  }

  /** To be called when its send has ended. */
  release (): void {
    this.#isReleased = true
    this.#account.forget(this)
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
