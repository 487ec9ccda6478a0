/** Stores for gateways where streams began, and answers the gateways to which their callers return. */
import { OriginTable } from '../core/index.js'
import type { Link, RouteMessage, StreamOriginReport } from '../protocol/index.js'

export class OriginServer {
  #now: () => number
  #origins = new OriginTable()

  /** `now`: monotonic time, ms. */
  constructor (now: () => number) {
    this.#now = now
  }

  /** Stores reports of a gateway. */
  note (reports: readonly StreamOriginReport[]): void {
    for (const { service, software, keys } of reports) {
      const origin = { service, software }
      for (const key of keys) this.#origins.note(key, origin, this.#now())
    }
  }

  /** Answers a lookup. */
  answer (link: Link<RouteMessage>, { call, key }: Extract<RouteMessage, { type: 'find-stream' }>): void {
    const origin = this.#origins.find(key, this.#now())
    link.send({ type: 'stream-found', call, origin: origin === 'ambiguous' ? null : origin })
  }
}
