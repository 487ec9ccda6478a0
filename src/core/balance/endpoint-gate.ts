/**
 * Decides whether an incarnation of an endpoint may be sent requests: not while this box backs off or the endpoint
 * is leaving, nor beyond the rate limit that the endpoint sets for all boxes together.
 */
import type { EndpointId } from '../ids.js'
import type { EndpointNotice } from '../limits/index.js'
import type { EndpointRecord } from './endpoint-record.js'

/** How long an unused permit stays valid, ms: the rate limit counts requests when they are sent. */
const permitTtlMs = 100

/** A denied permit: no request of this priority or a less urgent one until the given time. */
interface Denial {
  readonly priority: number
  readonly until: number
}

export class EndpointGate {
  #limit: number | null = null
  #isLeaving = false
  #isBrittle = false
  #backoffUntil = -Infinity
  #denials: Denial[] = []
  /** Expiry times of unused permits. */
  #permits: number[] = []

  /** Requests per second from all boxes together; null for no limit. */
  get limit (): number | null { return this.#limit }
  get isLeaving (): boolean { return this.#isLeaving }
  /** True if the endpoint fails when it has to refuse too many requests: it is sent one only for a free slot. */
  get isBrittle (): boolean { return this.#isBrittle }

  /** True while this box backs off. */
  isBackedOff (at: number): boolean { return at < this.#backoffUntil }

  /** True if no request may be sent, even with a permit. */
  isClosed (at: number): boolean { return this.#isLeaving || this.isBackedOff(at) }

  /** Applies a notice of the endpoint. */
  setNotice ({ perSecond, brittle, isLeaving }: EndpointNotice): void {
    this.#isLeaving = isLeaving
    this.#isBrittle = brittle !== undefined
    // Denials apply only to the limit under which they were issued.
    if (perSecond !== this.#limit) this.#denials = []
    if (perSecond === null) this.#permits = []
    this.#limit = perSecond
  }

  /** The endpoint asked this box to back off; an earlier back-off that ends later stays in force. */
  noteBackoff (until: number): void { this.#backoffUntil = Math.max(this.#backoffUntil, until) }

  /** A permit was denied: requests of this priority and less urgent ones may ask again at `until`. */
  noteDenied (priority: number, until: number): void {
    this.#denials = this.#denials.filter(one => one.priority !== priority)
    this.#denials.push({ priority, until })
  }

  /** When a request of this priority may be sent or a permit requested; in the past if it may now. */
  findOpenTime (priority: number, at: number): number {
    if (this.#isLeaving) return Infinity
    if (this.#limit === null || this.#hasPermit(at)) return this.#backoffUntil
    const denials = this.#denials.filter(one => one.priority <= priority).map(({ until }) => until)
    return Math.max(this.#backoffUntil, ...denials)
  }

  /** Consumes a permit for one request; false if a permit must be requested first. */
  tryConsumePermit (at: number): boolean {
    if (this.#limit === null) return true
    if (!this.#hasPermit(at)) return false
    this.#permits.pop()
    return true
  }

  /** Stores a permit for the next request, because the request that it was granted for has gone elsewhere. */
  storePermit (at: number): void { this.#permits.push(at + permitTtlMs) }

  #hasPermit (at: number): boolean {
    this.#permits = this.#permits.filter(until => until > at)
    return this.#permits.length > 0
  }
}

/** Maximum number of gates; the least recently used are dropped first. */
const maxGates = 5000

/** The gates of endpoints by incarnation: an endpoint that is lost and found again keeps its gate. */
export class GateStore {
  #findNotice: (id: EndpointId) => EndpointNotice | undefined
  #gates = new Map<EndpointId, { readonly born: number, readonly gate: EndpointGate }>()

  /** `findNotice`: returns the latest notice of an endpoint. */
  constructor (findNotice: (id: EndpointId) => EndpointNotice | undefined) {
    this.#findNotice = findNotice
  }

  /** The gate of the incarnation that a record describes. */
  find ({ id, born }: EndpointRecord): EndpointGate {
    const known = this.#gates.get(id)
    const gate = known?.born === born ? known.gate : new EndpointGate()
    const notice = this.#findNotice(id)
    if (notice?.born === born) gate.setNotice(notice)
    this.#gates.delete(id)
    this.#gates.set(id, { born, gate })
    const [oldest] = this.#gates.keys()
    if (this.#gates.size > maxGates) this.#gates.delete(oldest)
    return gate
  }

  forget (id: EndpointId): void { this.#gates.delete(id) }
}
