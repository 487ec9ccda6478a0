/**
 * Whether one life of an endpoint may be sent requests at all: not while this
 * box backs off or the endpoint leaves, nor beyond the limit that it named for all boxes together.
 */
import type { EndpointId } from '../ids.js'
import type { EndpointNotice } from '../limits/index.js'
import type { EndpointRecord } from './endpoint-record.js'

/** A permit that was given and not used yet is good for so long, ms: the limit is kept by when requests are sent. */
const permitTtlMs = 100

/** A denied permit: nothing of this priority or behind it before that time. */
interface Denial {
  readonly priority: number
  readonly until: number
}

export class EndpointGate {
  #limit: number | null = null
  #isLeaving = false
  #backoffUntil = -Infinity
  #denials: Denial[] = []
  /** When permits that nobody has used run out. */
  #permits: number[] = []

  /** Requests a second from all boxes together; null for no limit. */
  get limit (): number | null { return this.#limit }
  get isLeaving (): boolean { return this.#isLeaving }

  /** True while this box backs off. */
  isBackedOff (at: number): boolean { return at < this.#backoffUntil }

  /** True where nothing may be sent, permit or not. */
  isShut (at: number): boolean { return this.#isLeaving || this.isBackedOff(at) }

  /** Takes what the endpoint says of itself. */
  setNotice ({ perSecond, isLeaving }: EndpointNotice): void {
    this.#isLeaving = isLeaving
    // Denials hold for the limit that was in force.
    if (perSecond !== this.#limit) this.#denials = []
    if (perSecond === null) this.#permits = []
    this.#limit = perSecond
  }

  /** The endpoint wants nothing from this box for a while; a longer time that it asked for before holds on. */
  noteBackoff (until: number): void { this.#backoffUntil = Math.max(this.#backoffUntil, until) }

  /** A permit was denied: requests of this priority, and those behind it, may ask again at `until`. */
  noteDenied (priority: number, until: number): void {
    this.#denials = this.#denials.filter(one => one.priority !== priority)
    this.#denials.push({ priority, until })
  }

  /** When a request of this priority may be sent, or a permit asked for; in the past where it may now. */
  findOpenTime (priority: number, at: number): number {
    if (this.#isLeaving) return Infinity
    if (this.#limit === null || this.#hasPermit(at)) return this.#backoffUntil
    const denials = this.#denials.filter(one => one.priority <= priority).map(({ until }) => until)
    return Math.max(this.#backoffUntil, ...denials)
  }

  /** Takes leave for one send; false where a permit must be asked for. */
  takeLeave (at: number): boolean {
    if (this.#limit === null) return true
    if (!this.#hasPermit(at)) return false
    this.#permits.pop()
    return true
  }

  /** Keeps a permit for the next request, as the one that it was asked for has gone elsewhere. */
  keepPermit (at: number): void { this.#permits.push(at + permitTtlMs) }

  #hasPermit (at: number): boolean {
    this.#permits = this.#permits.filter(until => until > at)
    return this.#permits.length > 0
  }
}

/** Gates that are kept; the oldest go first. */
const maxGates = 5000

/** The gates of endpoints by their lives: one that is lost from sight and comes back is no other. */
export class GateStore {
  #findNotice: (id: EndpointId) => EndpointNotice | undefined
  #gates = new Map<EndpointId, { readonly born: number, readonly gate: EndpointGate }>()

  /** `findNotice`: what an endpoint has said of itself. */
  constructor (findNotice: (id: EndpointId) => EndpointNotice | undefined) {
    this.#findNotice = findNotice
  }

  /** The gate of the life that a record tells of. */
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

  /** Forgets an endpoint that is gone. */
  forget (id: EndpointId): void { this.#gates.delete(id) }
}
