/**
 * A registry's side of permits: the leader of the log gives them out, as it
 * knows that no other registry does; the others say who leads.
 */
import { PermitIssuer, brandId } from '../core/index.js'
import type { BoxId } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'
import type { LoadHub } from './load-hub.js'

/** What the counter needs of its box. */
export interface PermitServerHost {
  readonly log: EventLog
  readonly hub: LoadHub
  now (): number
  isLeader (): boolean
  /** The leader's host; null where none is known. */
  findLeader (): string | null
  /** Gateways in touch. */
  countGateways (): number
}

/** A part of each limit is kept for a gateway that fell silent for so long, ms. */
const reservedShareMs = 20_000
/** How often limits that nobody asks about are looked for, ms. */
const cleanupIntervalMs = 10_000

export class PermitServer {
  #host: PermitServerHost
  #issuer: PermitIssuer
  /** Gateways that fell silent, and when. They may be cut off, and spend their own part. */
  #silentSince = new Map<BoxId, number>()
  #cleanedUpAt = -Infinity

  constructor (host: PermitServerHost) {
    this.#host = host
    this.#issuer = new PermitIssuer(host.hub.notices)
  }

  /** This replica leads from now on, or no more. */
  noteRole (): void { this.#issuer.reset() }

  /** A gateway has presented itself. */
  noteConnected (gateway: BoxId): void { this.#silentSince.delete(gateway) }

  /** The link of a gateway ended; `wasSilent`: as nothing was heard of it, so that it may live. */
  noteDisconnected (gateway: BoxId, wasSilent: boolean): void {
    if (wasSilent) this.#silentSince.set(gateway, this.#host.now())
  }

  /** Answers a gateway that wants to send to an endpoint with a limit. */
  answer (link: Link<RouteMessage>, { call, notice, wants }: Extract<RouteMessage, { type: 'ask-permits' }>): void {
    const { hub } = this.#host
    hub.mergeNotices([notice], brandId(link.peer))
    if (!this.#host.isLeader()) return void link.send({ type: 'permits-elsewhere', call, leader: this.#host.findLeader() })
    const now = this.#host.now()
    this.#issuer.setShare(this.#computeShare(now))
    const grants = this.#issuer.give(notice.endpoint, wants, now)
    link.send({ type: 'permits', call, grants, closed: this.#issuer.listClosedFor(notice.endpoint, grants, now) })
    if (now - this.#cleanedUpAt < cleanupIntervalMs) return
    this.#cleanedUpAt = now
    this.#issuer.tidy(now)
  }

  #computeShare (now: number): number {
    for (const [gateway, at] of this.#silentSince) if (now - at > reservedShareMs) this.#silentSince.delete(gateway)
    const connected = Math.max(1, this.#host.countGateways())
    return connected / (connected + this.#silentSince.size)
  }
}
