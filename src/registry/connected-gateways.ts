/** The gateways that are connected to a registry, by link. */
import type { BoxId } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'

export class ConnectedGateways {
  #gateways = new Map<Link<RouteMessage>, BoxId>()
  /** Cached count; null where it is out of date. */
  #count: number | null = null
  #hasNewGateway = false

  /** Distinct gateways; one with two links counts once. */
  get count (): number {
    this.#count ??= new Set(this.#gateways.values()).size
    return this.#count
  }

  /** Records a gateway's hello on a link; true where it is the first on that link. */
  add (link: Link<RouteMessage>, gateway: BoxId): boolean {
    const isNew = !this.#gateways.has(link)
    if (this.#gateways.get(link) !== gateway) this.#count = null
    this.#gateways.set(link, gateway)
    this.#hasNewGateway ||= isNew
    return isNew
  }

  /** Removes a closed link; returns its gateway, or null where it belonged to another kind of box. */
  remove (link: Link<RouteMessage>): BoxId | null {
    const gateway = this.#gateways.get(link) ?? null
    if (this.#gateways.delete(link)) this.#count = null
    return gateway
  }

  /** Whether a gateway connected since the last call. */
  takeNewGatewayFlag (): boolean {
    const hasNewGateway = this.#hasNewGateway
    this.#hasNewGateway = false
    return hasNewGateway
  }

  broadcast (message: RouteMessage): void {
    for (const link of this.#gateways.keys()) link.send(message)
  }
}
