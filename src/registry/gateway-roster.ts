/** The gateways that are in touch with a registry, each by its links. */
import type { BoxId } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'

export class GatewayRoster {
  #gateways = new Map<Link<RouteMessage>, BoxId>()
  /** Null where it is to be counted anew. */
  #count: number | null = null
  #hasNews = false

  /** Gateways in touch; one that dialed twice counts once. */
  get count (): number {
    this.#count ??= new Set(this.#gateways.values()).size
    return this.#count
  }

  /** Notes that a gateway presented itself on a link; true where it is new there. */
  note (link: Link<RouteMessage>, gateway: BoxId): boolean {
    const isNew = !this.#gateways.has(link)
    if (this.#gateways.get(link) !== gateway) this.#count = null
    this.#gateways.set(link, gateway)
    this.#hasNews ||= isNew
    return isNew
  }

  /** Forgets a link that ended; gives the gateway whose it was, null where it was another box's. */
  forget (link: Link<RouteMessage>): BoxId | null {
    const gateway = this.#gateways.get(link) ?? null
    if (this.#gateways.delete(link)) this.#count = null
    return gateway
  }

  /** Whether a gateway came since the last call. */
  takeNews (): boolean {
    const hasNews = this.#hasNews
    this.#hasNews = false
    return hasNews
  }

  /** Sends a message to all of them. */
  tell (message: RouteMessage): void {
    for (const link of this.#gateways.keys()) link.send(message)
  }
}
