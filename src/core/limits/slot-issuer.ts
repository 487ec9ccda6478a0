/**
 * Gives out the slots of brittle endpoints: those that ask all boxes together not to send more than they can run, because
 * they fail if they have to refuse too many requests. A single box gives them out for all. Boxes report what waits and what
 * is in flight, as absolute numbers, and the issuer answers with slots: a lost or repeated report changes nothing, and a
 * new issuer has everything after one report of each box. The time is passed in.
 */
import type { BoxId, EndpointId, ZoneName } from '../ids.js'
import type { PermitDemand } from './permit-issuer.js'

/** A brittle endpoint. */
export interface BrittleEndpoint {
  readonly endpoint: EndpointId
  readonly zone: ZoneName
  readonly slots: number
}

/** Requests in flight at an endpoint by the load totals of all boxes, which lag behind. */
type CountRunning = (endpoint: EndpointId) => number

/** What a box reports about a service. */
export interface SlotReport {
  /** Number of the newest grant that the box has received; 0 for none. */
  readonly seen: number
  readonly wants: PermitDemand
  /** Requests of the box in flight at brittle endpoints. */
  readonly held: readonly (readonly [endpoint: EndpointId, count: number])[]
  /** Endpoints that the box has ejected. */
  readonly avoided: readonly EndpointId[]
}

/** One slot for a request of a priority. */
export interface SlotGrant {
  readonly number: number
  readonly endpoint: EndpointId
  readonly priority: number
}

interface BoxState {
  readonly zone: ZoneName
  wants: Map<number, number>
  held: ReadonlyMap<EndpointId, number>
  avoided: ReadonlySet<EndpointId>
  /** Grants that are not in a report of the box yet. */
  pending: SlotGrant[]
  grantCount: number
  lastGrantAt: number
  /** When its link closed; null while it is connected. */
  lostAt: number | null
}

/** After a start, the load totals count as well for this long, ms: some boxes have not reported yet. */
const settleMs = 1000
/** Requests in flight of a box that is gone are counted for this long, ms: their endpoints notice within this time. */
const lostBoxTtlMs = 1500

export class SlotIssuer {
  #boxes = new Map<BoxId, BoxState>()
  /** Slots that boxes hold or were granted, by endpoint. */
  #loads = new Map<EndpointId, number>()
  #startedAt: number

  constructor (startedAt: number) {
    this.#startedAt = startedAt
  }

  /** Applies a report of a box. Grants are numbered from 1 for each box. */
  note (box: BoxId, zone: ZoneName, { seen, wants, held, avoided }: SlotReport): void {
    const state = this.#boxes.get(box) ?? { zone, wants: new Map<number, number>(), held: new Map<EndpointId, number>(), avoided: new Set<EndpointId>(), pending: [], grantCount: 0, lastGrantAt: -Infinity, lostAt: null }
    this.#boxes.set(box, state)
    // A box that has seen grants of an earlier issuer.
    state.grantCount = Math.max(state.grantCount, seen)
    state.lostAt = null
    this.#addLoads(state, -1)
    state.held = new Map(held)
    state.avoided = new Set(avoided)
    state.pending = state.pending.filter(({ number }) => number > seen)
    this.#addLoads(state, 1)
    state.wants = new Map(wants)
    for (const { priority } of state.pending) state.wants.set(priority, Math.max(0, (state.wants.get(priority) ?? 0) - 1))
  }

  /** Notes that a box is gone; its requests are counted for some time. */
  noteLost (box: BoxId, at: number): void {
    const state = this.#boxes.get(box)
    if (state === undefined) return
    state.lostAt = at
    state.wants.clear()
    // What was on its way over the closed link is lost.
    this.#addLoads(state, -1)
    state.pending = []
    this.#addLoads(state, 1)
  }

  /** True if no box waits for a slot or uses one. */
  get isIdle (): boolean {
    if (this.#loads.size > 0) return false
    for (const { wants } of this.#boxes.values()) for (const count of wants.values()) if (count > 0) return false
    return true
  }

  /** True for a while after the start: some boxes have not reported yet, so the load totals count as well. */
  isSettling (at: number): boolean { return at - this.#startedAt < settleMs }

  /**
   * Gives out the free slots: the most urgent requests first, and among boxes of the same priority the one that has waited
   * longest since its last grant. `countRunning`: only called while the issuer settles.
   */
  grant (endpoints: readonly BrittleEndpoint[], countRunning: CountRunning, at: number): Map<BoxId, SlotGrant[]> {
    for (const [box, state] of this.#boxes) if (state.lostAt !== null && at - state.lostAt > lostBoxTtlMs) this.#forget(box, state)
    const free: FreeEndpoint[] = []
    for (const endpoint of endpoints) {
      const left = endpoint.slots - this.#countLoad(endpoint.endpoint, countRunning, at)
      if (left > 0) free.push({ ...endpoint, free: left })
    }
    const granted = new Map<BoxId, SlotGrant[]>()
    while (free.length > 0) {
      const next = this.#findNext(free)
      if (next === null) break
      const { box, state, priority, best } = next
      best.free -= 1
      if (best.free <= 0) free.splice(free.indexOf(best), 1)
      state.wants.set(priority, (state.wants.get(priority) ?? 0) - 1)
      state.grantCount += 1
      state.lastGrantAt = at
      const grant = { number: state.grantCount, endpoint: best.endpoint, priority }
      state.pending.push(grant)
      this.#addLoad(best.endpoint, 1)
      granted.set(box, [...granted.get(box) ?? [], grant])
    }
    return granted
  }

  #countLoad (endpoint: EndpointId, countRunning: CountRunning, at: number): number {
    const load = this.#loads.get(endpoint) ?? 0
    return this.isSettling(at) ? Math.max(load, countRunning(endpoint)) : load
  }

  #forget (box: BoxId, state: BoxState): void {
    this.#addLoads(state, -1)
    this.#boxes.delete(box)
  }

  #addLoads ({ held, pending }: BoxState, sign: 1 | -1): void {
    for (const [endpoint, count] of held) this.#addLoad(endpoint, sign * count)
    for (const { endpoint } of pending) this.#addLoad(endpoint, sign)
  }

  #addLoad (endpoint: EndpointId, change: number): void {
    const load = (this.#loads.get(endpoint) ?? 0) + change
    if (load > 0) this.#loads.set(endpoint, load)
    else this.#loads.delete(endpoint)
  }

  // The request that goes first, of a box that uses any of the free endpoints.
  #findNext (free: readonly FreeEndpoint[]): NextGrant | null {
    const unable = new Set<BoxState>()
    for (;;) {
      const first = this.#findFirst(unable)
      if (first === null) return null
      const best = pickEndpoint(free, first.state)
      if (best !== null) return { ...first, best }
      unable.add(first.state)
    }
  }

  #findFirst (except: ReadonlySet<BoxState>): FirstRequest | null {
    let first: FirstRequest | null = null
    for (const [box, state] of this.#boxes) {
      if (except.has(state)) continue
      for (const [priority, count] of state.wants) {
        if (count > 0 && (first === null || isBefore(priority, state, first))) first = { box, state, priority }
      }
    }
    return first
  }
}

interface FirstRequest {
  readonly box: BoxId
  readonly state: BoxState
  readonly priority: number
}

interface NextGrant extends FirstRequest {
  readonly best: FreeEndpoint
}

function isBefore (priority: number, { lastGrantAt }: BoxState, first: FirstRequest): boolean {
  return priority < first.priority || (priority === first.priority && lastGrantAt < first.state.lastGrantAt)
}

interface FreeEndpoint extends BrittleEndpoint { free: number }

// The endpoint with the most free slots that the box uses, in its zone if there is one: traffic between zones is billed.
function pickEndpoint (free: readonly FreeEndpoint[], { zone, avoided }: BoxState): FreeEndpoint | null {
  const usable = free.filter(({ endpoint }) => !avoided.has(endpoint))
  const local = usable.filter(one => one.zone === zone)
  return (local.length > 0 ? local : usable).reduce<FreeEndpoint | null>((best, one) => best === null || one.free > best.free ? one : best, null)
}
