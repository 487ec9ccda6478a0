/** The gateways that are in touch with a registry, each by its links. */
import type { BoxId } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'

export class ConnectedGateways {
  #gateways = new Map<Link<RouteMessage>, BoxId>()
  /** Null where it is to be counted anew. */
  #count: number | null = null
  #hasNewGateway = false

  /** Gateways in touch; one that dialed twice counts once. */
  get count (): number {
    this.#count ??= new Set(this.#gateways.values()).size
    return this.#count
  }

  /** Notes that a gateway presented itself on a link; true where it is new there. */
  add (link: Link<RouteMessage>, gateway: BoxId): boolean {
    const isNew = !this.#gateways.has(link)
    if (this.#gateways.get(link) !== gateway) this.#count = null
    this.#gateways.set(link, gateway)
    this.#hasNewGateway ||= isNew
    return isNew
  }

  /** Forgets a link that ended; gives the gateway whose it was, null where it was another box's. */
  remove (link: Link<RouteMessage>): BoxId | null {
    const gateway = this.#gateways.get(link) ?? null
    if (this.#gateways.delete(link)) this.#count = null
    return gateway
  }

  /** Whether a gateway came since the last call. */
  takeHasNewGateway (): boolean {
    const hasNewGateway = this.#hasNewGateway
    this.#hasNewGateway = false
    return hasNewGateway
  }

  /** Sends a message to all of them. */
  broadcast (message: RouteMessage): void {
    for (const link of this.#gateways.keys()) link.send(message)
  }
}
