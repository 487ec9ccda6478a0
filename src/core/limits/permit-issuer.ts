/**
 * Issues permits to send requests to endpoints that announce a rate limit. A single
 * box issues them for all, so that together they stay within the limit; it must be
 * the leader of the log, as only the leader can be sure to be the only issuer. The
 * time is passed in.
 */
import type { EndpointId } from '../ids.js'
import type { NoticeStore } from './notice-store.js'
import { TokenBucket } from './token-bucket.js'

/** Number of requests per priority that a box wants to send, 0 first. */
export type PermitDemand = readonly (readonly [priority: number, count: number])[]

/** Permits granted to a priority; `waitMs`: time until it may ask again if it got fewer than it wanted, else 0. */
export type PermitGrant = readonly [priority: number, granted: number, waitMs: number]

/** An endpoint that currently has no permit for a priority, and the time until that may ask again, ms. */
export type ClosedEndpoint = readonly [endpoint: EndpointId, priority: number, waitMs: number]

/** Maximum number of other endpoints without a permit that a reply lists. */
const maxClosedListed = 128
/** Burst capacity of a bucket, as time at its rate, ms. */
const burstMs = 250
/** Lower bound of the burst capacity, tokens. */
const minBurst = 2
/** Lower bound of the burst capacity for limits of at least one request per second, tokens. */
const minBurstAboveOnePerSecond = 3
/**
 * Maximum interval between requests to an endpoint, ms. It overrides a lower limit,
 * as only a response can show that the limit was lifted.
 */
const maxIntervalMs = 1500
/** A token is reserved for each more urgent priority that has asked within this time, ms. */
const reservationMs = 2000
/** Lower bound of the time after which a box may ask again, ms. */
const minWaitMs = 20
/** Upper bound of the time after which a box may ask again, ms. */
const maxWaitMs = 1000
/** Allocations that have not been asked for within this time are removed, ms. */
const retentionMs = 60_000

interface Allocation {
  readonly bucket: TokenBucket
  /** Time of the last request by priority. */
  readonly askedAt: Map<number, number>
  perSecond: number
}

export class PermitIssuer {
  #notices: NoticeStore
  #allocations = new Map<EndpointId, Allocation>()
  #share = 1

  /** `notices`: the limits of the endpoints. */
  constructor (notices: NoticeStore) {
    this.#notices = notices
  }

  /** Sets the fraction of boxes that are reachable, 0 to 1: the others use their own share of each limit. */
  setShare (share: number): void { this.#share = share }

  /** Discards accumulated tokens, as another box may have issued them in the meantime. */
  reset (): void { this.#allocations.clear() }

  /** Grants permits within the limit, the most urgent first; everything if the endpoint has no limit. */
  grant (endpoint: EndpointId, demand: PermitDemand, at: number): PermitGrant[] {
    const limit = this.#notices.find(endpoint)?.perSecond ?? null
    if (limit === null) return demand.map(([priority, count]) => [priority, count, 0])
    const allocation = this.#getAllocation(endpoint, limit, at)
    for (const [priority] of demand) allocation.askedAt.set(priority, at)
    return [...demand].sort(([a], [b]) => a - b).map(([priority, count]) => grantOne(allocation, priority, count, at))
  }

  /** Other endpoints without permits, for a box that was denied one. Empty if nothing was denied. */
  listExhausted (except: EndpointId, grants: readonly PermitGrant[], at: number): ClosedEndpoint[] {
    const denied = grants.filter(([, , waitMs]) => waitMs > 0).map(([priority]) => priority)
    return denied.length === 0 ? [] : this.#listClosed(except, Math.min(...denied), at)
  }

  // Saves a denied request from asking at these endpoints in vain.
  #listClosed (except: EndpointId, priority: number, at: number): ClosedEndpoint[] {
    const closed: ClosedEndpoint[] = []
    for (const [endpoint, allocation] of this.#allocations) {
      if (closed.length >= maxClosedListed) break
      const waitMs = measureWait(allocation, priority, at)
      if (endpoint !== except && waitMs > 0) closed.push([endpoint, priority, waitMs])
    }
    return closed
  }

  /** Removes idle allocations. */
  removeIdle (at: number): void {
    for (const [endpoint, { askedAt }] of this.#allocations) if (at - Math.max(...askedAt.values()) > retentionMs) this.#allocations.delete(endpoint)
  }

  #getAllocation (endpoint: EndpointId, limit: number, at: number): Allocation {
    const perSecond = Math.max(limit, 1000 / maxIntervalMs) * this.#share
    const known = this.#allocations.get(endpoint)
    if (known?.perSecond === perSecond) return known
    known?.bucket.setRate(perSecond, computeBurst(perSecond), at)
    const allocation: Allocation = { bucket: known?.bucket ?? new TokenBucket(perSecond, computeBurst(perSecond), at), askedAt: known?.askedAt ?? new Map(), perSecond }
    this.#allocations.set(endpoint, allocation)
    return allocation
  }
}

function grantOne (allocation: Allocation, priority: number, count: number, at: number): PermitGrant {
  const reserve = countReserved(allocation, priority, at)
  let granted = 0
  while (granted < count && allocation.bucket.take(at, reserve)) granted += 1
  return [priority, granted, granted === count ? 0 : measureWait(allocation, priority, at)]
}

// One token for each more urgent priority that has asked recently.
function countReserved ({ askedAt, perSecond }: Allocation, priority: number, at: number): number {
  const urgent = [...askedAt].filter(([other, since]) => other < priority && at - since < reservationMs).length
  return Math.min(urgent, computeBurst(perSecond) - 1)
}

function measureWait (allocation: Allocation, priority: number, at: number): number {
  const waitMs = allocation.bucket.measureWait(at, countReserved(allocation, priority, at))
  return waitMs === 0 ? 0 : Math.round(Math.min(maxWaitMs, Math.max(minWaitMs, waitMs)))
}

function computeBurst (perSecond: number): number {
  return Math.max(minBurst, Math.min(minBurstAboveOnePerSecond, minBurstAboveOnePerSecond * perSecond), perSecond * burstMs / 1000)
}
