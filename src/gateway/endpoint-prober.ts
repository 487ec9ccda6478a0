import { connect } from 'node:net'
import type { EndpointView } from '../core/index.js'
import type { EventLog } from '../runtime/index.js'

/** A connection that isn't up after this won't be soon, ms. */
const connectTimeoutMs = 300

/**
 * Tries connections to endpoints at which nobody listened, or that have just broken off. Nothing is asked over
 * them: a health check would cost the endpoint a place, and may lie.
 */
export class EndpointProber {
  #log: EventLog
  #now: () => number
  #probing = new Set<EndpointView>()
  #verifyCallbacks = new Map<EndpointView, ((isGone: boolean) => void)[]>()

  constructor (log: EventLog, now: () => number) {
    this.#log = log
    this.#now = now
  }

  /** Tries whether anybody listens where a connection has just ended; `take` hears whether the endpoint is surely gone. */
  verify (view: EndpointView, report: (isGone: boolean) => void): void {
    const pending = this.#verifyCallbacks.get(view)
    if (pending !== undefined) {
      pending.push(report)
      return
    }
    this.#verifyCallbacks.set(view, [report])
    this.#tryConnect(view, outcome => {
      const callbacks = this.#verifyCallbacks.get(view) ?? []
      this.#verifyCallbacks.delete(view)
      if (outcome === 'refused') view.trust.noteUnreachable(this.#now())
      for (const callback of callbacks) callback(outcome === 'refused')
    })
  }

  /** Looks after every endpoint whose time has come. */
  probeDue (views: Iterable<EndpointView>): void {
    const now = this.#now()
    for (const view of views) {
      if (view.trust.look(now) === 'probing' && !view.gate.isBackedOff(now) && !this.#probing.has(view)) this.#startProbe(view)
    }
  }

  #startProbe (view: EndpointView): void {
    this.#probing.add(view)
    this.#tryConnect(view, outcome => {
      this.#probing.delete(view)
      this.#noteResult(view, outcome === 'up')
    })
  }

  // `silent`: nothing says whether somebody listens there.
  #tryConnect ({ record: { host, port } }: EndpointView, report: (outcome: 'up' | 'refused' | 'silent') => void): void {
    const socket = connect({ host, port })
    const timer = setTimeout(() => socket.destroy(), connectTimeoutMs)
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
      report(outcome)
    })
  }

  #noteResult (view: EndpointView, isUp: boolean): void {
    if (!isUp) return view.trust.noteUnreachable(this.#now())
    view.trust.noteReachable(this.#now())
    this.#log.info('endpoint-reached', { endpoint: view.id, service: view.record.service })
  }
}
