import { connect } from 'node:net'
import type { EndpointView } from '../core/index.js'
import type { EventLog } from '../runtime/index.js'

/** A connection that isn't up after this won't be soon, ms. */
const connectMs = 300

/**
 * Tries connections to endpoints at which nobody listened, or that have just broken off. Nothing is asked over
 * them: a health check would cost the endpoint a place, and may lie.
 */
export class EndpointProber {
  #log: EventLog
  #now: () => number
  #probing = new Set<EndpointView>()
  #verifying = new Map<EndpointView, ((isGone: boolean) => void)[]>()

  constructor (log: EventLog, now: () => number) {
    this.#log = log
    this.#now = now
  }

  /** Tries whether anybody listens where a connection has just ended; `take` hears whether the endpoint is surely gone. */
  verify (view: EndpointView, take: (isGone: boolean) => void): void {
    const waiting = this.#verifying.get(view)
    if (waiting !== undefined) {
      waiting.push(take)
      return
    }
    this.#verifying.set(view, [take])
    this.#try(view, outcome => {
      const takers = this.#verifying.get(view) ?? []
      this.#verifying.delete(view)
      if (outcome === 'refused') view.trust.noteUnreachable(this.#now())
      for (const one of takers) one(outcome === 'refused')
    })
  }

  /** Looks after every endpoint whose time has come. */
  look (views: Iterable<EndpointView>): void {
    const now = this.#now()
    for (const view of views) {
      if (view.trust.look(now) === 'probing' && !view.gate.isBackedOff(now) && !this.#probing.has(view)) this.#probe(view)
    }
  }

  #probe (view: EndpointView): void {
    this.#probing.add(view)
    this.#try(view, outcome => {
      this.#probing.delete(view)
      this.#note(view, outcome === 'up')
    })
  }

  // `silent`: nothing says whether somebody listens there.
  #try ({ record: { host, port } }: EndpointView, take: (outcome: 'up' | 'refused' | 'silent') => void): void {
    const socket = connect({ host, port })
    const timer = setTimeout(() => socket.destroy(), connectMs)
    let outcome: 'up' | 'refused' | 'silent' = 'silent'
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') outcome = 'refused'
    })
    socket.once('connect', () => {
      outcome = 'up'
      socket.destroy()
    })
    socket.once('close', () => {
      clearTimeout(timer)
      take(outcome)
    })
  }

  #note (view: EndpointView, isUp: boolean): void {
    if (!isUp) return view.trust.noteUnreachable(this.#now())
    view.trust.noteReachable(this.#now())
    this.#log.info('endpoint-reached', { endpoint: view.id, service: view.record.service })
  }
}
