/**
 * The ways of this box to its endpoints: direct connections, and relays for endpoints whose direct path is lost. All that
 * connections show about endpoints or paths is noted here, so that a lost path is not taken for a failure of the endpoint.
 */
import type { GatewaySettings } from '../config/index.js'
import { PathMonitor, brandId } from '../core/index.js'
import type { EndpointId, EndpointRecord, EndpointView, Fleet, ServiceName } from '../core/index.js'
import { composeRelayHeaders } from '../protocol/index.js'
import type { RelayAddress } from '../protocol/index.js'
import type { ActiveSend } from './active-send.js'
import { EndpointAgent } from './endpoint-agent.js'
import type { CallFailure, FailedPart } from './endpoint-call.js'
import { EndpointProber } from './endpoint-prober.js'
import type { PartDependencies } from './gateway-dependencies.js'
import { RelayClient } from './relay-client.js'
import { RelayServer } from './relay-server.js'
import type { SendPath } from './send-path.js'

/** This box as a relay; `relayPort` is 0 if it neither is nor uses one. */
type RelaySettings = Pick<GatewaySettings, 'id' | 'zone' | 'host' | 'relayPort'>

/** What the paths need from their box. */
export interface EndpointPathsHost {
  readonly fleet: Fleet
  readonly isLeaving: boolean
  readonly maxBodyBytes: number
  /** Number of gateways, including this one; 0 if unknown. */
  countBoxes (): number
  now (): number
  draw (): number
  /** Requests relays from a registry; false if none is reachable. */
  askRelays (): boolean
  /** The address at which this box is a relay, or the services whose paths are lost, have changed. */
  noteStatusChange (): void
}

/** Minimum time between probes of an endpoint whose answer is overdue, ms. */
const overdueProbeIntervalMs = 1000
/** Endpoints that one log line lists at most. */
const maxLoggedEndpoints = 20

export class EndpointPaths {
  #settings: RelaySettings
  #host: EndpointPathsHost
  #dependencies: PartDependencies
  #monitor = new PathMonitor()
  #agent: EndpointAgent
  #prober: EndpointProber
  #relays: RelayClient
  #server: RelayServer
  /** Services whose paths are lost, as last reported. */
  #reported = ''
  /** When endpoints with overdue answers were last probed. */
  #overdueProbedAt = new WeakMap<EndpointView, number>()

  constructor (settings: RelaySettings, host: EndpointPathsHost, dependencies: PartDependencies) {
    const { log, secret, connect } = dependencies
    this.#settings = settings
    this.#host = host
    this.#dependencies = dependencies
    this.#agent = new EndpointAgent(connect)
    this.#prober = new EndpointProber(log, () => host.now(), connect)
    this.#relays = new RelayClient({ secret, now: () => host.now(), draw: () => host.draw(), askRelays: () => host.askRelays() })
    this.#server = this.#createServer()
  }

  /** Number of requests that this box forwards for others. */
  get forwardedCount (): number { return this.#server.inFlight }

  /** Where this box forwards requests for others; null while it doesn't. */
  get relayAddress (): RelayAddress | null {
    const { id, zone, host } = this.#settings
    return this.#isRelay ? { box: brandId(id), zone: brandId(zone), host, port: this.#server.port } : null
  }

  /** Services to which paths are lost. */
  get lostServices (): ServiceName[] { return this.#monitor.list(this.#host.now()).map(({ service }) => service) }

  /** Starts to forward requests for other boxes. */
  async start (): Promise<void> {
    const { host, relayPort } = this.#settings
    if (relayPort !== 0) await this.#server.listen(host, relayPort)
  }

  close (): void {
    this.#agent.destroy()
    this.#relays.close()
    this.#server.close()
  }

  /** True if there is an idle connection over which an endpoint can be reached directly. */
  isConnected (view: EndpointView): boolean { return this.#agent.isConnected(view.record.host, view.record.port) }

  /** Sets the relays that a registry listed. */
  setRelays (relays: readonly RelayAddress[]): void { this.#relays.setRelays(relays) }

  /** The path for a send to an endpoint: direct if no relay is available. */
  choose (view: EndpointView): SendPath {
    const relay = view.path === 'relay' ? this.#relays.choose() : null
    if (relay === null) return { agent: this.#agent, host: view.record.host, port: view.record.port, relay, headers: [] }
    const { host, port } = relay.address
    return { agent: this.#relays.agent, host, port, relay, headers: composeRelayHeaders('forward', view.id, this.#dependencies.secret, Date.now()) }
  }

  // What sends show.

  noteConnected (view: EndpointView): void {
    if (this.#monitor.noteConnected(view.id, view.record.service, this.#host.now())) this.#applyPaths(view.record.service, 'connected')
  }

  /** Notes that an endpoint has begun its answer. */
  noteAnswer ({ path }: ActiveSend): void {
    if (path.relay !== null) this.#relays.noteWorking(path.relay)
  }

  /** Notes the failure of a send. */
  noteFailure ({ view, path }: ActiveSend, failure: CallFailure, reason: string, part: FailedPart): void {
    switch (part) {
      case 'relay':
        if (path.relay !== null) this.#relays.noteFailed(path.relay)
        return
      case 'path': return
      case 'endpoint':
        if (failure === 'unreachable') this.noteUnreachable(view, reason, path.relay === null)
        else view.noteBroken(this.#host.now())
    }
  }

  /** Ejects an endpoint until it is reached again. `isDirect`: a direct connection failed. */
  noteUnreachable (view: EndpointView, reason: string, isDirect: boolean): void {
    if (isDirect) this.#noteFailed(view)
    // What a direct connection shows says nothing about an endpoint that is reached through relays.
    if (isDirect && view.path === 'relay') return
    this.#prober.noteUnreachable(view, reason)
    if (isDirect) this.#checkDue()
  }

  /** Probes the direct path of a send whose answer is overdue, if the endpoint has answered nothing since: the path may have been lost silently. */
  probeOverdue ({ view, path, placed }: ActiveSend, now: number): void {
    if (!this.#usesRelays || path.relay !== null || view.path === 'relay' || !view.isOverdue(placed, now) || view.hasAnsweredSince(placed.sentAt)) return
    if (now - (this.#overdueProbedAt.get(view) ?? -Infinity) < overdueProbeIntervalMs) return
    this.#overdueProbedAt.set(view, now)
    this.#probe(view)
  }

  /**
   * Finds out whether an endpoint whose connection has just ended is gone; `report` gets true only if it refuses
   * connections, to a relay too if there are any.
   */
  verify (view: EndpointView, report: (isGone: boolean) => void): void {
    const check = (): void => this.#relays.check(view.id, outcome => report(outcome === 'unreachable'))
    if (view.path === 'relay') return check()
    this.#prober.verify(view, outcome => {
      if (outcome === 'up') this.noteConnected(view)
      else if (outcome === 'refused') this.noteUnreachable(view, outcome, true)
      else this.#noteFailed(view)
      if (outcome !== 'refused' || !this.#usesRelays || this.#host.countBoxes() <= 1) return report(outcome === 'refused')
      check()
    })
  }

  /** Applies time-outs, and starts the checks and probes that are due. */
  sweep (now: number): void {
    this.#server.check(now)
    this.#prober.probeDue(this.#host.fleet.views, (view, isUp) => this.#noteProbe(view, isUp))
    if (this.#monitor.isIdle) return
    this.#relays.refresh()
    this.#checkDue()
    const listEndpoints = (service: ServiceName): EndpointId[] => this.#host.fleet.listViews(service).map(({ id }) => id)
    for (const endpoint of this.#monitor.listProbes(listEndpoints, now)) {
      const view = this.#host.fleet.findView(endpoint)
      if (view !== undefined) this.#probe(view)
    }
  }

  /** Applies changed records of endpoints. */
  noteRecords (records: readonly EndpointRecord[]): void {
    if (this.#monitor.isIdle) return
    for (const { id, service, stage } of records) {
      if (stage === 'gone' || stage === 'lost') this.#monitor.forget(id, service)
      const view = this.#host.fleet.findView(id)
      view?.setPath(this.#monitor.findPath(id, service))
    }
    this.reportStatus()
  }

  /** Reports whether this box is a relay and which paths are lost, if that has changed. */
  reportStatus (): void {
    const status = `${this.#isRelay} ${this.lostServices.join(' ')}`
    if (status === this.#reported) return
    this.#reported = status
    this.#host.noteStatusChange()
  }

  get #usesRelays (): boolean { return this.#settings.relayPort !== 0 }

  // A box that has lost paths itself would forward to endpoints that it may not reach.
  get #isRelay (): boolean { return this.#usesRelays && this.#server.port !== 0 && !this.#host.isLeaving && this.#monitor.list(this.#host.now()).length === 0 }

  #probe (view: EndpointView): void {
    this.#prober.probe(view, isUp => this.#noteProbe(view, isUp))
  }

  #noteProbe (view: EndpointView, isUp: boolean): void {
    if (isUp) this.noteConnected(view)
    else this.#noteFailed(view)
  }

  #noteFailed (view: EndpointView): void {
    if (this.#usesRelays) this.#monitor.noteFailed(view.id, view.record.service, this.#host.now())
  }

  // Connects to another endpoint, of the same service if there is one: if that fails too, the path may be down rather than the endpoint.
  #confirmPath (view: EndpointView, report: (isPathUp: boolean) => void): void {
    const others = [...this.#host.fleet.views].filter(({ id, record, health }) => id !== view.id && record.stage === 'ready' && health.isReachable)
    const same = others.filter(({ record }) => record.service === view.record.service)
    const candidates = same.length > 0 ? same : others
    const control = candidates[Math.floor(this.#host.draw() * candidates.length)]
    if (control === undefined) return report(false)
    this.#prober.connect(control, outcome => report(outcome === 'up'))
  }

  #checkDue (): void {
    for (const { endpoint, service } of this.#monitor.listChecks(this.#host.now())) {
      this.#relays.check(endpoint, outcome => {
        if (this.#monitor.noteCheck(endpoint, service, outcome, this.#host.now())) this.#applyPaths(service, 'checked')
      })
    }
  }

  #applyPaths (service: ServiceName, reason: 'checked' | 'connected'): void {
    const { log, metrics } = this.#dependencies
    const views = this.#host.fleet.listViews(service)
    const changed = views.filter(view => view.setPath(this.#monitor.findPath(view.id, service)))
    const relayed = views.filter(({ path }) => path === 'relay').length
    metrics.gauge('relayed-endpoints', relayed, { service })
    if (changed.length > 0) log.warn('paths', { service, reason, changed: changed.map(({ id }) => id).slice(0, maxLoggedEndpoints).join(','), relayed, endpoints: views.length })
    this.reportStatus()
  }

  #createServer (): RelayServer {
    const paths = this
    const { log, metrics, secret, dialect, intake } = this.#dependencies
    return new RelayServer({
      log,
      metrics,
      dialect,
      secret,
      intake,
      agent: this.#agent,
      get isAvailable () { return paths.#isRelay },
      get maxBodyBytes () { return paths.#host.maxBodyBytes },
      now: () => this.#host.now(),
      findView: endpoint => this.#host.fleet.findView(endpoint as EndpointId),
      connect: (view, report) => this.#prober.connect(view, outcome => report(outcome === 'up')),
      noteConnected: view => this.noteConnected(view),
      noteUnreachable: (view, reason, report) => {
        this.noteUnreachable(view, reason, true)
        this.#confirmPath(view, report)
      }
    })
  }
}
