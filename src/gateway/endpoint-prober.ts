import { connect } from 'node:net'
import type { EndpointView } from '../core/index.js'
import type { EventLog } from '../runtime/index.js'

/** A connection that isn't up after this won't be soon, ms. */
const connectMs = 300

/**
 * Tries connections to endpoints at which nobody listened. Nothing is asked over
 * them: a health check would cost the endpoint a place, and may lie.
 */
export class EndpointProber {
  #log: EventLog
  #now: () => number
  #probing = new Set<EndpointView>()

  constructor (log: EventLog, now: () => number) {
    this.#log = log
    this.#now = now
  }

  /** Looks after every endpoint whose time has come. */
  look (views: Iterable<EndpointView>): void {
    const now = this.#now()
    for (const view of views) {
      if (view.trust.look(now) === 'probing' && !this.#probing.has(view)) this.#probe(view)
    }
  }

  #probe (view: EndpointView): void {
    this.#probing.add(view)
    const { host, port } = view.record
    const socket = connect({ host, port })
    const timer = setTimeout(() => socket.destroy(), connectMs)
    let isUp = false
    socket.on('error', () => {})
    socket.once('connect', () => {
      isUp = true
      socket.destroy()
    })
    socket.once('close', () => {
      clearTimeout(timer)
      this.#probing.delete(view)
      this.#note(view, isUp)
    })
  }

  #note (view: EndpointView, isUp: boolean): void {
    if (!isUp) return view.trust.noteUnreachable(this.#now())
    view.trust.noteReachable(this.#now())
    this.#log.info('endpoint-reached', { endpoint: view.id, service: view.record.service })
  }
}
