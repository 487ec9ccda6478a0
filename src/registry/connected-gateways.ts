/** The gateways that are connected to a registry, by link. */
import type { BoxId, ServiceName, ZoneName } from '../core/index.js'
import type { Link, LostPathStatus, RelayAddress, RouteMessage } from '../protocol/index.js'

/** What a gateway said of itself on its link. */
export interface ConnectedGateway {
  readonly gateway: BoxId
  /** Where it forwards requests for others; null while it doesn't. */
  readonly relay: RelayAddress | null
  /** Services to which its paths are lost. */
  readonly lost: readonly ServiceName[]
}

/** Number of relays that a gateway gets: if some have failed, or refuse, there are others. */
const relaysPerGateway = 4
/** Number of these that are in its own zone, if there are enough: traffic between zones is billed, but a zone can be cut off as a whole. */
const maxLocalRelays = 3

export class ConnectedGateways {
  #gateways = new Map<Link<RouteMessage>, ConnectedGateway>()
  /** Number of lists of relays that were given out: each starts with another relay. */
  #listsGiven = 0
  /** Cached count; null where it is out of date. */
  #count: number | null = null
  #hasNewGateway = false

  /** Distinct gateways; one with two links counts once. */
  get count (): number {
    this.#count ??= new Set([...this.#gateways.values()].map(({ gateway }) => gateway)).size
    return this.#count
  }

  /** Records a gateway's hello on a link; true where it is the first on that link. */
  add (link: Link<RouteMessage>, gateway: ConnectedGateway): boolean {
    const known = this.#gateways.get(link)
    const isNew = known === undefined
    if (known?.gateway !== gateway.gateway) this.#count = null
    this.#gateways.set(link, gateway)
    this.#hasNewGateway ||= isNew
    return isNew
  }

  /** The gateway on a link; null where it said no hello. */
  find (link: Link<RouteMessage>): BoxId | null { return this.#gateways.get(link)?.gateway ?? null }

  /** An open link to a gateway. */
  findLink (gateway: BoxId): Link<RouteMessage> | undefined {
    for (const [link, one] of this.#gateways) if (one.gateway === gateway && link.isOpen) return link
  }

  /** Removes a closed link; returns its gateway, or null where it belonged to another kind of box. */
  remove (link: Link<RouteMessage>): BoxId | null {
    const gateway = this.#gateways.get(link)?.gateway ?? null
    if (this.#gateways.delete(link)) this.#count = null
    return gateway
  }

  /** Whether a gateway connected since the last call. */
  takeNewGatewayFlag (): boolean {
    const hasNewGateway = this.#hasNewGateway
    this.#hasNewGateway = false
    return hasNewGateway
  }

  /** Gateways that have lost paths to endpoints. */
  listLost (): LostPathStatus[] {
    const lost = [...this.#gateways.values()].filter(one => one.lost.length > 0)
    return [...new Map(lost.map(({ gateway, lost: services }) => [gateway, { gateway, services }])).values()]
  }

  /** Relays for a gateway, most of them in its zone; each call starts with the next ones, so that gateways use different relays. */
  listRelays (zone: ZoneName, except: BoxId | null): RelayAddress[] {
    const relays = new Map([...this.#gateways.values()].flatMap(({ relay }) => relay === null || relay.box === except ? [] : [[relay.box, relay] as const]))
    const sorted = [...relays.values()].sort((a, b) => a.box < b.box ? -1 : 1)
    const local = rotate(sorted.filter(relay => relay.zone === zone), this.#listsGiven)
    const remote = rotate(sorted.filter(relay => relay.zone !== zone), this.#listsGiven)
    this.#listsGiven += 1
    const first = [...local.slice(0, Math.max(maxLocalRelays, relaysPerGateway - remote.length)), ...remote]
    return first.slice(0, relaysPerGateway)
  }

  broadcast (message: RouteMessage): void {
    for (const link of this.#gateways.keys()) link.send(message)
  }
}

function rotate<T> (list: readonly T[], by: number): T[] {
  const from = list.length === 0 ? 0 : by % list.length
  return [...list.slice(from), ...list.slice(0, from)]
}
