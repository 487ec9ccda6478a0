/** Answers the hello of a gateway with all that it may not know yet, and tells gateways of the other boxes. */
import type { CrashUpdate } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'
import type { ConnectedGateways } from './connected-gateways.js'
import type { DocumentAnnouncer } from './document-announcer.js'
import type { EndpointTracker } from './endpoint-tracker.js'
import type { KnownHosts } from './known-hosts.js'
import type { LoadHub } from './load-hub.js'
import type { PermitServer } from './permit-server.js'

/** The parts of the registry that know what a gateway needs. */
export interface GatewayGreeterHost {
  readonly log: EventLog
  /** Address of this registry. */
  readonly host: string
  readonly gateways: ConnectedGateways
  readonly hosts: KnownHosts
  readonly permits: PermitServer
  readonly documents: DocumentAnnouncer
  readonly endpoints: EndpointTracker
  readonly loadHub: LoadHub
  listCrashes (): CrashUpdate
}

export class GatewayGreeter {
  #host: GatewayGreeterHost

  constructor (host: GatewayGreeterHost) {
    this.#host = host
  }

  handleHello (link: Link<RouteMessage>, { gateway, version, relay = null, lost = [] }: Extract<RouteMessage, { type: 'gateway-hello' }>): void {
    const { gateways, permits, documents, endpoints, loadHub, log } = this.#host
    const isNew = gateways.add(link, { gateway, relay, lost })
    permits.noteConnected(gateway)
    // Before the version, as a starting gateway serves as soon as it has the document.
    if (isNew) link.send({ type: 'crashes', news: this.#host.listCrashes() })
    if (isNew || (documents.newest?.version ?? 0) > version) link.send(documents.composeVersion())
    if (!isNew) return
    // Changes are broadcast only to gateways that sent a hello; this covers those since the link opened.
    link.send(endpoints.fullMessage)
    link.send({ type: 'notices', notices: loadHub.notices.notices })
    link.send(this.composeBoxes())
    log.info('gateway-met', { gateway, version })
  }

  /** The message with the registries and the number of gateways. */
  composeBoxes (): RouteMessage {
    const { host, hosts, gateways } = this.#host
    return { type: 'boxes', registries: [host, ...hosts.recent], gateways: gateways.count }
  }
}
