import { connect as connectTcp } from 'node:net'
import type { EndpointView } from '../core/index.js'
import type { EventLog } from '../runtime/index.js'
import type { Connector } from './gateway-dependencies.js'

/** Connection time-out, ms; a slower connection is unlikely to succeed soon. */
const connectTimeoutMs = 300

/** Outcome of a connection; `silent`: time-out or another error, which doesn't show whether a process listens there. */
export type ProbeOutcome = 'up' | 'refused' | 'silent'

type ProbeReport = (view: EndpointView, isUp: boolean) => void

/**
 * Probes endpoints that refused connections, or whose connections have just broken, by connecting to them. No
 * request is sent: a health check would occupy one of the endpoint's slots, and its answer may be wrong.
 */
export class EndpointProber {
  #log: EventLog
  #now: () => number
  #connect: Connector
  #probing = new Set<EndpointView>()
  #verifyCallbacks = new Map<EndpointView, ((outcome: ProbeOutcome) => void)[]>()

  constructor (log: EventLog, now: () => number, connect: Connector = connectTcp) {
    this.#log = log
    this.#now = now
    this.#connect = connect
  }

  /** Probes an endpoint whose connection has just ended. Concurrent calls share a probe. */
  verify (view: EndpointView, report: (outcome: ProbeOutcome) => void): void {
    const pending = this.#verifyCallbacks.get(view)
    if (pending !== undefined) {
      pending.push(report)
      return
    }
    this.#verifyCallbacks.set(view, [report])
    this.connect(view, outcome => {
      const callbacks = this.#verifyCallbacks.get(view) ?? []
      this.#verifyCallbacks.delete(view)
      for (const callback of callbacks) callback(outcome)
    })
  }

  /** Ejects an endpoint until a probe reaches it. */
  noteUnreachable (view: EndpointView, reason: string): void {
    const { health, id, record: { service } } = view
    if (health.isReachable) this.#log.warn('endpoint-unreachable', { endpoint: id, service, reason })
    health.noteUnreachable(this.#now())
  }

  /** Probes every ejected endpoint that is due. One that is reached through relays is tried again with a request instead. */
  probeDue (views: Iterable<EndpointView>, report: ProbeReport): void {
    const now = this.#now()
    for (const view of views) {
      if (view.health.findState(now) !== 'probing' || view.gate.isBackedOff(now)) continue
      if (view.path === 'relay') view.health.noteReachable(now)
      else this.probe(view, isUp => report(view, isUp))
    }
  }

  /** Probes the direct path to an endpoint; does nothing while a probe is under way. */
  probe (view: EndpointView, report: (isUp: boolean) => void): void {
    if (this.#probing.has(view)) return
    this.#probing.add(view)
    this.connect(view, outcome => {
      this.#probing.delete(view)
      if (view.path === 'direct') this.#noteResult(view, outcome === 'up')
      report(outcome === 'up')
    })
  }

  /** Connects to an endpoint, and closes the connection. */
  connect ({ record: { host, port } }: EndpointView, report: (outcome: ProbeOutcome) => void): void {
    const socket = this.#connect({ host, port })
    const timer = setTimeout(() => socket.destroy(), connectTimeoutMs)
    let outcome: ProbeOutcome = 'silent'
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

  // A connection shows nothing about an endpoint that is ejected as its answers were broken.
  #noteResult (view: EndpointView, isUp: boolean): void {
    if (view.health.isReachable) return
    if (!isUp) return this.noteUnreachable(view, 'probe')
    view.health.noteReachable(this.#now())
    this.#log.info('endpoint-reached', { endpoint: view.id, service: view.record.service })
  }
}
