/**
 * Gives out permits to send to endpoints that name a rate limit. One box does
 * this for all, so that their sends together keep to the limit; it must be the
 * leader of the log, as nobody else can know that no other box does the same.
 * Pure: the time is given.
 */
import type { EndpointId } from '../ids.js'
import type { NoticeBook } from './notice-book.js'
import { TokenBucket } from './token-bucket.js'

/** How many sends of one priority a box wants to make, 0 first. */
export type PermitWants = readonly (readonly [priority: number, count: number])[]

/** What a priority got: so many permits, and when it may ask again where that is less than it wanted, ms. */
export type PermitGrant = readonly [priority: number, given: number, waitMs: number]

/** An endpoint that has no permit for a priority just now, and when that may ask again, ms. */
export type ClosedEndpoint = readonly [endpoint: EndpointId, priority: number, waitMs: number]

/** Other endpoints without a permit that an answer names at most. */
const mostClosed = 128
/** The burst of a bucket, as time at its rate, ms. */
const burstMs = 250
/** The least burst, tokens. */
const leastBurst = 2
/** The least burst of a limit of one a second or more, tokens. */
const usualBurst = 3
/**
 * An endpoint with a lower limit gets a request this often all the same, ms: only its
 * answer tells that the limit has ended.
 */
const longestIntervalMs = 1500
/** A token is reserved for each more urgent priority that asked within this, ms. */
const recentMs = 2000
/** The shortest time after which a box may ask again, ms. */
const leastWaitMs = 20
/** The longest time after which a box may ask again, ms. */
const longestWaitMs = 1000
/** A limit that nobody asked about for so long is forgotten, ms. */
const idleMs = 60_000

interface Allocation {
  readonly bucket: TokenBucket
  /** When each priority asked last. */
  readonly askedAt: Map<number, number>
  perSecond: number
}

export class PermitIssuer {
  #notices: NoticeBook
  #allocations = new Map<EndpointId, Allocation>()
  #share = 1

  /** `notices`: what is known of the endpoints' limits. */
  constructor (notices: NoticeBook) {
    this.#notices = notices
  }

  /** Takes which part of the boxes can be reached, 0 to 1: the others keep to their own part of each limit. */
  setShare (share: number): void { this.#share = share }

  /** Forgets what was saved up, as another box may have given it out meanwhile. */
  reset (): void { this.#allocations.clear() }

  /** Gives what is left of the limit for these sends, the most urgent first; all of them where no limit is known. */
  give (endpoint: EndpointId, wants: PermitWants, at: number): PermitGrant[] {
    const limit = this.#notices.find(endpoint)?.perSecond ?? null
    if (limit === null) return wants.map(([priority, count]) => [priority, count, 0])
    const allocation = this.#find(endpoint, limit, at)
    for (const [priority] of wants) allocation.askedAt.set(priority, at)
    return [...wants].sort(([a], [b]) => a - b).map(([priority, count]) => giveOne(allocation, priority, count, at))
  }

  /** What is told of other endpoints to whoever was denied a permit. */
  listClosedFor (except: EndpointId, grants: readonly PermitGrant[], at: number): ClosedEndpoint[] {
    const denied = grants.filter(([, , waitMs]) => waitMs > 0).map(([priority]) => priority)
    return denied.length === 0 ? [] : this.#listClosed(except, Math.min(...denied), at)
  }

  // A request that was denied a permit is spared to ask there.
  #listClosed (except: EndpointId, priority: number, at: number): ClosedEndpoint[] {
    const closed: ClosedEndpoint[] = []
    for (const [endpoint, allocation] of this.#allocations) {
      if (closed.length >= mostClosed) break
      const waitMs = measureWait(allocation, priority, at)
      if (endpoint !== except && waitMs > 0) closed.push([endpoint, priority, waitMs])
    }
    return closed
  }

  /** Forgets endpoints that nobody asks about. */
  tidy (at: number): void {
    for (const [endpoint, { askedAt }] of this.#allocations) if (at - Math.max(...askedAt.values()) > idleMs) this.#allocations.delete(endpoint)
  }

  #find (endpoint: EndpointId, limit: number, at: number): Allocation {
    const perSecond = Math.max(limit, 1000 / longestIntervalMs) * this.#share
    const known = this.#allocations.get(endpoint)
    if (known?.perSecond === perSecond) return known
    known?.bucket.setRate(perSecond, computeBurst(perSecond), at)
    const allocation: Allocation = { bucket: known?.bucket ?? new TokenBucket(perSecond, computeBurst(perSecond), at), askedAt: known?.askedAt ?? new Map(), perSecond }
    this.#allocations.set(endpoint, allocation)
    return allocation
  }
}

function giveOne (allocation: Allocation, priority: number, count: number, at: number): PermitGrant {
  const reserve = computeReserve(allocation, priority, at)
  let given = 0
  while (given < count && allocation.bucket.take(at, reserve)) given += 1
  return [priority, given, given === count ? 0 : measureWait(allocation, priority, at)]
}

// Each more urgent priority that asks has a token kept for it.
function computeReserve ({ askedAt, perSecond }: Allocation, priority: number, at: number): number {
  const urgent = [...askedAt].filter(([other, since]) => other < priority && at - since < recentMs).length
  return Math.min(urgent, computeBurst(perSecond) - 1)
}

function measureWait (allocation: Allocation, priority: number, at: number): number {
  const waitMs = allocation.bucket.measureWait(at, computeReserve(allocation, priority, at))
  return waitMs === 0 ? 0 : Math.round(Math.min(longestWaitMs, Math.max(leastWaitMs, waitMs)))
}

function computeBurst (perSecond: number): number {
  return Math.max(leastBurst, Math.min(usualBurst, usualBurst * perSecond), perSecond * burstMs / 1000)
}
