/**
 * Gives out the slots of brittle endpoints to gateways. Only the leader of the log does, so that no two registries do at
 * once; the others redirect to it.
 */
import { SlotIssuer } from '../core/index.js'
import type { BoxId, BrittleEndpoint, EndpointId, EndpointRecord, ServiceName } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import type { ConnectedGateways } from './connected-gateways.js'
import type { LoadHub } from './load-hub.js'

/** What the server needs from its box. */
export interface SlotServerHost {
  readonly hub: LoadHub
  readonly gateways: ConnectedGateways
  now (): number
  isLeader (): boolean
  /** The leader's host; null where it is unknown. */
  findLeader (): string | null
  /** The records of all endpoints: the same array until one changes. */
  listRecords (): readonly EndpointRecord[]
}

export class SlotServer {
  #host: SlotServerHost
  #issuers = new Map<ServiceName, SlotIssuer>()
  /** Endpoints by service, of the records as they were last read. */
  #endpoints = new Map<ServiceName, readonly BrittleEndpoint[]>()
  #records: readonly EndpointRecord[] = []

  constructor (host: SlotServerHost) {
    this.#host = host
  }

  /** Called when this replica gains or loses leadership. */
  noteRole (): void { this.#issuers.clear() }

  /** Called when a gateway's link closes. */
  noteDisconnected (gateway: BoxId): void {
    for (const issuer of this.#issuers.values()) issuer.noteLost(gateway, this.#host.now())
  }

  /** Applies a gateway's report, and sends the slots that are free now to all gateways. */
  handleReport (link: Link<RouteMessage>, gateway: BoxId, { service, zone, report }: Extract<RouteMessage, { type: 'slot-report' }>): void {
    if (!this.#host.isLeader()) return void link.send({ type: 'slots-elsewhere', service, leader: this.#host.findLeader() })
    const issuer = this.#issuers.get(service) ?? new SlotIssuer(this.#host.now())
    this.#issuers.set(service, issuer)
    issuer.note(gateway, zone, report)
    const granted = issuer.grant(this.#listEndpoints(service), this.#createCounter(issuer), this.#host.now())
    for (const [box, grants] of granted) this.#host.gateways.findLink(box)?.send({ type: 'slots', service, grants })
    if (!granted.has(gateway) && report.wants.length > 0) link.send({ type: 'slots', service, grants: [] })
    if (issuer.isIdle) this.#issuers.delete(service)
  }

  // All load totals are added up only where they are needed.
  #createCounter (issuer: SlotIssuer): (endpoint: EndpointId) => number {
    if (!issuer.isSettling(this.#host.now())) return () => 0
    const running = new Map(this.#host.hub.sumLoads().loads.map(load => [load.endpoint, load.running]))
    return endpoint => running.get(endpoint) ?? 0
  }

  #listEndpoints (service: ServiceName): readonly BrittleEndpoint[] {
    const records = this.#host.listRecords()
    if (records !== this.#records) this.#endpoints.clear()
    this.#records = records
    const known = this.#endpoints.get(service)
    if (known !== undefined) return known
    const endpoints = records
      .filter(record => record.service === service && record.stage === 'ready')
      .map(({ id, zone, slots }) => ({ endpoint: id, zone, slots }))
    this.#endpoints.set(service, endpoints)
    return endpoints
  }
}
