/**
 * Obtains slots for requests to services with brittle endpoints: a registry gives them out for all boxes. Requests wait
 * here until a slot is granted, the most urgent first. A box that reaches no registry uses its part of endpoints that seem half empty.
 */
import { countOwnSlots, hashText, ownSlotShare } from '../core/index.js'
import type { EndpointId, EndpointView, Fleet, RequestProfile, ServiceName, SlotGrant, ZoneName } from '../core/index.js'
import type { RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the client needs from its box. */
export interface SlotClientHost {
  readonly log: EventLog
  readonly fleet: Fleet
  readonly zone: ZoneName
  now (): number
  /** At least 0 and less than 1. */
  draw (): number
  /** Number of boxes that use the endpoints, including this one; 0 if unknown. */
  countBoxes (): number
  /** Calls `run` after a delay, ms. */
  schedule (delayMs: number, run: () => void): void
  /** Sends to the registry that gives out slots, or to one that knows which does; false if none is reachable. */
  askIssuer (message: RouteMessage): boolean
  setIssuer (host: string | null): void
}

/** A request that waits for a slot. */
export interface SlotRequest {
  readonly work: RequestProfile
  /** Until when it waits, ms. */
  readonly until: number
  /** True for endpoints that the request may be sent to. */
  mayUse (view: EndpointView): boolean
  /** Called once, with the endpoint whose slot it got, or null if its time is over. */
  respond (view: EndpointView | null): void
}

interface SlotQueue {
  waiting: SlotRequest[]
  /** Number of the newest grant received. */
  seen: number
  isScheduled: boolean
  reportedAt: number
  /** When the issuer was last heard, or the oldest request began to wait. */
  heardAt: number
  isSilent: boolean
  /** Which endpoints this box uses on its own if there are fewer slots than boxes, and when it was drawn. */
  draw: number
  drawnAt: number
}

/** Changes within this time share a report, ms: each ms that a free slot is not reported is lost. */
const coalesceMs = 0
/** Interval of reports while requests wait or are in flight, ms: one may have been lost with its link. */
const repeatMs = 300
/** Without an answer of the issuer for this long, the box decides on its own, ms. */
const silentMs = 600
/** Interval after which another box may use a slot without the issuer, ms. */
const redrawMs = 1000

export class SlotClient {
  #host: SlotClientHost
  /** Number of boxes that was last known; 0 before. */
  #boxes = 0
  #queues = new Map<ServiceName, SlotQueue>()

  constructor (host: SlotClientHost) {
    this.#host = host
  }

  /** Number of waiting requests of a service at this priority or a more urgent one. */
  count (service: ServiceName, priority: number): number {
    return this.#queues.get(service)?.waiting.filter(({ work }) => work.priority <= priority).length ?? 0
  }

  /** Waits for a slot. */
  request (request: SlotRequest): void {
    const { service } = request.work
    const queue = this.#find(service)
    // Reports are acknowledged only while requests wait.
    if (queue.waiting.length === 0) queue.heardAt = this.#host.now()
    queue.waiting.push(request)
    this.#schedule(service, queue)
  }

  /** Withdraws a request. */
  cancel (request: SlotRequest): void {
    const queue = this.#queues.get(request.work.service)
    const index = queue?.waiting.indexOf(request) ?? -1
    if (queue === undefined || index < 0) return
    queue.waiting.splice(index, 1)
    this.#schedule(request.work.service, queue)
  }

  /** A send of this box has begun or ended. */
  noteLoad (): void {
    for (const [service, queue] of this.#queues) this.#schedule(service, queue)
  }

  /** Handles slots granted to this box. */
  receive (service: ServiceName, grants: readonly SlotGrant[]): void {
    // Without a queue nothing is wanted any more, and the report returns the slots.
    const queue = this.#find(service)
    if (queue.isSilent) this.#host.log.info('slots-back', { service })
    queue.isSilent = false
    queue.heardAt = this.#host.now()
    for (const { number, endpoint } of grants) {
      queue.seen = Math.max(queue.seen, number)
      this.#useSlot(queue, endpoint)
    }
    if (grants.length > 0) this.#schedule(service, queue)
  }

  /** Handles a redirect to the registry that gives out slots. */
  redirect (service: ServiceName, leader: string | null): void {
    this.#host.setIssuer(leader)
    const queue = this.#queues.get(service)
    if (queue !== undefined && leader !== null) this.#schedule(service, queue)
  }

  /** Ends requests whose time is over, and repeats reports. */
  check (now: number): void {
    this.#boxes = this.#host.countBoxes() || this.#boxes
    for (const [service, queue] of this.#queues) {
      if (this.#expire(queue, now)) this.#schedule(service, queue)
      const isUsed = queue.waiting.length > 0 || this.#listHeld(service).length > 0
      if (isUsed && now - queue.reportedAt >= repeatMs) this.#report(service, queue)
      if (queue.waiting.length > 0 && now - queue.heardAt > silentMs) this.#decideAlone(service, queue, now)
    }
  }

  #find (service: ServiceName): SlotQueue {
    const queue = this.#queues.get(service) ?? { waiting: [], seen: 0, isScheduled: false, reportedAt: -Infinity, heardAt: -Infinity, isSilent: false, draw: 0, drawnAt: -Infinity }
    this.#queues.set(service, queue)
    return queue
  }

  // Returns true if any request's time was over.
  #expire (queue: SlotQueue, now: number): boolean {
    const expired = queue.waiting.filter(({ until }) => until <= now)
    if (expired.length === 0) return false
    queue.waiting = queue.waiting.filter(({ until }) => until > now)
    for (const request of expired) request.respond(null)
    return true
  }

  // Gives a slot to the most urgent request that may use it; false if there is none. The next report then returns the slot.
  #useSlot (queue: SlotQueue, endpoint: EndpointId): boolean {
    const view = this.#host.fleet.findView(endpoint)
    if (view === undefined || !isUsable(view, this.#host.now())) return false
    const able = queue.waiting.filter(request => request.mayUse(view))
    if (able.length === 0) return false
    const first = able.reduce((best, one) => one.work.priority < best.work.priority ? one : best)
    queue.waiting.splice(queue.waiting.indexOf(first), 1)
    first.respond(view)
    return true
  }

  #decideAlone (service: ServiceName, queue: SlotQueue, now: number): void {
    if (!queue.isSilent) this.#host.log.warn('slots-silent', { service, waiting: queue.waiting.length })
    queue.isSilent = true
    this.#host.setIssuer(null)
    if (this.#boxes === 0) return
    if (now - queue.drawnAt >= redrawMs) Object.assign(queue, { draw: this.#host.draw(), drawnAt: now })
    const boxes = this.#boxes
    const usable = this.#host.fleet.listUsable(service, now)
    // Requests that were sent before the newest draw count too: each draw would add its own otherwise.
    let left = countOwnSlots({ slots: usable.reduce((sum, { record }) => sum + record.slots, 0), boxes, draw: queue.draw }) - this.#countHeld(service)
    for (const view of usable) {
      const { slots } = view.record
      const maxOwn = countOwnSlots({ slots, boxes, draw: (queue.draw + hashText(view.id) / 2 ** 32) % 1 })
      const maxRunning = Math.max(1, slots * ownSlotShare)
      while (left > 0 && view.ownRunning < maxOwn && view.running < maxRunning && this.#useSlot(queue, view.id)) left -= 1
    }
  }

  #countHeld (service: ServiceName): number { return this.#listHeld(service).reduce((sum, [, count]) => sum + count, 0) }

  #schedule (service: ServiceName, queue: SlotQueue): void {
    if (queue.isScheduled) return
    queue.isScheduled = true
    this.#host.schedule(coalesceMs, () => {
      queue.isScheduled = false
      this.#report(service, queue)
    })
  }

  #report (service: ServiceName, queue: SlotQueue): void {
    queue.reportedAt = this.#host.now()
    const wants = new Map<number, number>()
    for (const { work: { priority } } of queue.waiting) wants.set(priority, (wants.get(priority) ?? 0) + 1)
    const held = this.#listHeld(service)
    this.#host.askIssuer({ type: 'slot-report', service, zone: this.#host.zone, report: { seen: queue.seen, wants: [...wants], held, avoided: this.#listAvoided(service, queue) } })
    // The empty report has told that nothing is used any more.
    if (wants.size === 0 && held.length === 0) this.#queues.delete(service)
  }

  #listHeld (service: ServiceName): (readonly [EndpointId, number])[] {
    return this.#host.fleet.listViews(service).flatMap(view => view.ownRunning > 0 ? [[view.id, view.ownRunning] as const] : [])
  }

  // Includes endpoints that none of the waiting requests may use: the issuer would offer the same slot again each time that it is returned.
  #listAvoided (service: ServiceName, { waiting }: SlotQueue): EndpointId[] {
    const now = this.#host.now()
    const isWanted = (view: EndpointView): boolean => waiting.length === 0 || waiting.some(request => request.mayUse(view))
    return this.#host.fleet.listViews(service).filter(view => !isUsable(view, now) || !isWanted(view)).map(({ id }) => id)
  }
}

function isUsable ({ health, gate }: EndpointView, at: number): boolean {
  return health.isReachable && health.findState(at) !== 'out' && !gate.isClosed(at)
}
