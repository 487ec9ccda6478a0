/**
 * Serves permit requests of gateways. Only the leader of the log issues permits, so
 * that no two registries do at once; the others redirect to the leader.
 */
import { PermitIssuer, brandId } from '../core/index.js'
import type { BoxId } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'
import type { LoadHub } from './load-hub.js'

/** What the server needs of its box. */
export interface PermitServerHost {
  readonly log: EventLog
  readonly hub: LoadHub
  now (): number
  isLeader (): boolean
  /** The leader's host; null where it is unknown. */
  findLeader (): string | null
  /** Connected gateways. */
  countGateways (): number
}

/** How long a share of each limit stays reserved for a gateway that has become silent, ms. */
const reservedShareMs = 20_000
/** How often unused limits are removed, ms. */
const cleanupIntervalMs = 10_000

export class PermitServer {
  #host: PermitServerHost
  #issuer: PermitIssuer
  /** Gateways that became silent, and when. They may be partitioned and still use their own share. */
  #silentSince = new Map<BoxId, number>()
  #cleanedUpAt = -Infinity

  constructor (host: PermitServerHost) {
    this.#host = host
    this.#issuer = new PermitIssuer(host.hub.notices)
  }

  /** Called when this replica gains or loses leadership. */
  noteRole (): void { this.#issuer.reset() }

  /** Called when a gateway connects. */
  noteConnected (gateway: BoxId): void { this.#silentSince.delete(gateway) }

  /** Called when a gateway's link closes; `hasTimedOut`: for lack of heartbeats, so that the gateway may still be running. */
  noteDisconnected (gateway: BoxId, hasTimedOut: boolean): void {
    if (hasTimedOut) this.#silentSince.set(gateway, this.#host.now())
  }

  /** Answers a gateway's request for permits to a rate-limited endpoint. */
  answer (link: Link<RouteMessage>, { call, notice, wants }: Extract<RouteMessage, { type: 'ask-permits' }>): void {
    const { hub } = this.#host
    hub.mergeNotices([notice], brandId(link.peer))
    if (!this.#host.isLeader()) return void link.send({ type: 'permits-elsewhere', call, leader: this.#host.findLeader() })
    const now = this.#host.now()
    this.#issuer.setShare(this.#computeShare(now))
    const grants = this.#issuer.grant(notice.endpoint, wants, now)
    link.send({ type: 'permits', call, grants, closed: this.#issuer.listExhausted(notice.endpoint, grants, now) })
    if (now - this.#cleanedUpAt < cleanupIntervalMs) return
    this.#cleanedUpAt = now
    this.#issuer.removeIdle(now)
  }

  #computeShare (now: number): number {
    for (const [gateway, at] of this.#silentSince) if (now - at > reservedShareMs) this.#silentSince.delete(gateway)
    const connected = Math.max(1, this.#host.countGateways())
    return connected / (connected + this.#silentSince.size)
  }
}
