/**
 * Plans when refused callers return, over all boxes. A caller returns once the callers that are told to return
 * before it have been served, at the rate that other arrivals leave free. Answers bursts of refusals at many boxes
 * at once, with callers that return as told, early or never, capacity that changes meanwhile, and totals that are
 * late or missing.
 */
import type { ServiceName } from '../ids.js'
import type { ServiceDemand } from './box-load.js'
import { ReturnSchedule } from './return-schedule.js'
import type { ReturnRates, SlotRoom } from './return-schedule.js'
import { findSlot, rankReturn, slotCount, slotMs } from './return-slots.js'

/** A refused request. */
export interface RefusedRequest {
  readonly service: ServiceName
  readonly level: number
  /** Whether its workspace is under its share of the capacity. */
  readonly isUnderShare: boolean
  /** Prompt tokens expected to be read, for an engine; 1 for a plain service. */
  readonly amount: number
  /** Time until its deadline, ms. */
  readonly remainingMs: number
  /** Identifies the request when it returns to this box. */
  readonly id?: string
  /** Time by which the wait behind the backlog is too long, ms; it shrinks only by what arrivals leave of the capacity. Undefined if that is not why it is refused. */
  readonly excessMs?: number
  /** Time until any endpoint accepts requests, ms. */
  readonly notBeforeMs?: number
  /** Resolution of the time that the caller is told, ms. */
  readonly stepMs?: number
}

/** What a caller was told, and why. */
export interface ReturnPlan {
  readonly afterMs: number
  /** False if the caller is not expected back, as the time is too long for its deadline. */
  readonly isExpected: boolean
  /** Amount/s that is free for returns. */
  readonly freeRate: number
  /** Age of the totals that the plan used, ms; Infinity without totals. */
  readonly totalsAgeMs: number
}

/** Callers honour a `Retry-After` of at most this share of their remaining time, and are not expected back otherwise. */
const honouredShare = 1 / 3
/** Shortest return time, ms: totals take about that long to show what has changed. */
const minAfterMs = 100
/** The same while arrivals exceed the capacity, as far as metered or as the backlog is too long, ms: meters show the end of that after this time, and returns would be refused like other requests meanwhile. */
const minOverloadedMs = 1000
/** Longest return time, ms. */
const maxAfterMs = 30_000
/** A slot is used if it has room for this share of a request or of itself; the rest of the request is served in the next slot. */
const minRoomShare = 0.5
/** Number of callers that are remembered until they return. */
const maxRemembered = 4096
/** How long after the planned time a caller is remembered, ms. */
const rememberMs = 2000

interface Remembered {
  readonly service: ServiceName
  readonly rank: number
  readonly amount: number
  readonly dueAt: number
}

export class ReturnPlanner {
  #measureRates: (service: ServiceName, at: number) => ReturnRates
  #schedules = new Map<ServiceName, ReturnSchedule>()
  #remembered = new Map<string, Remembered>()
  #latest: ReturnPlan | null = null

  constructor (measureRates: (service: ServiceName, at: number) => ReturnRates) { this.#measureRates = measureRates }

  /** The newest plan, for the log. */
  get latest (): ReturnPlan | null { return this.#latest }

  /**
   * Time after which a refused caller is to return, ms, and within its remaining time. Callers that are expected
   * back are counted from then on. `draw`, from 0 up to 1, spreads callers that are refused at the same time.
   */
  plan (request: RefusedRequest, at: number, draw: number): number {
    const { service, level, isUnderShare, amount, remainingMs, id } = request
    const schedule = this.#getSchedule(service)
    schedule.advance(at)
    const rank = rankReturn(level, isUnderShare)
    const rates = this.#measureRates(service, at)
    const { freeRate, isOverloaded } = schedule.computeFreeRate(rates, at)
    const scale = schedule.estimateScale(rates, amount)
    const earliestAt = at + Math.max(isOverloaded || request.excessMs !== undefined ? minOverloadedMs : minAfterMs, request.notBeforeMs ?? 0)
    const firstSlot = Math.max(findSlot(earliestAt), schedule.findLastUrgent(rank, at))
    const rooms = schedule.listRooms(rank, freeRate, scale, at)
    const usable = rooms.filter(({ slot, capacity, room }) => slot >= firstSlot && room >= Math.min(amount, capacity) * minRoomShare && findTime(slot, earliestAt, request, at, draw) !== null)
    const { slot: chosen, left } = chooseSlot(usable, draw * amount * scale + (request.excessMs ?? 0) * rates.capacity / 1000)
    const dueAt = chosen === null ? Math.max(earliestAt, estimateLater(rooms, left, freeRate, at, draw)) : findTime(chosen, earliestAt, request, at, draw) ?? earliestAt
    // Whole seconds must stay whole: a remainder of the subtraction would round 1 s up to 2 s.
    const afterMs = Math.min(Math.round((dueAt - at) * 1000) / 1000, maxAfterMs)
    const isExpected = afterMs <= remainingMs * honouredShare
    if (isExpected) {
      schedule.book(Math.min(findSlot(dueAt), findSlot(at) + slotCount - 1), rank, amount, divideAmongSlots(usable, amount * (scale - 1)), at)
      if (id !== undefined) this.#remember(id, { service, rank, amount, dueAt }, at)
    }
    this.#latest = { afterMs: Math.min(afterMs, Math.max(remainingMs, minAfterMs)), isExpected, freeRate, totalsAgeMs: at - schedule.reportedAt }
    return this.#latest.afterMs
  }

  /** Notes that a request has arrived; returns how long after the time that its caller was told, ms (negative: early), or null if it isn't a known return. */
  noteReturned (id: string, at: number): number | null {
    const known = this.#remembered.get(id)
    if (known === undefined) return null
    this.#remembered.delete(id)
    const { service, rank, amount, dueAt } = known
    this.#getSchedule(service).moveEarly(findSlot(dueAt), rank, amount, at)
    return at - dueAt
  }

  /** The field with which this box reports a service to its hub; empty if no caller is to return. */
  compose (service: ServiceName, at: number): Pick<ServiceDemand, 'returns'> {
    const returns = this.#schedules.get(service)?.report(at) ?? []
    return returns.length === 0 ? {} : { returns }
  }

  /** Sets the totals of the other boxes, whose reports were made at `reportedAt`; `demands` is empty if no hub is heard. */
  noteOthers (demands: readonly ServiceDemand[], reportedAt: number): void {
    const reports = new Map(demands.map(({ service, returns }) => [service, returns ?? []]))
    for (const service of new Set([...this.#schedules.keys(), ...reports.keys()])) this.#getSchedule(service).noteOthers(demands.length === 0 ? null : reports.get(service) ?? [], reportedAt)
  }

  #getSchedule (service: ServiceName): ReturnSchedule {
    const known = this.#schedules.get(service) ?? new ReturnSchedule()
    this.#schedules.set(service, known)
    return known
  }

  // The oldest are forgotten first: those whose callers should have returned, and more if there are too many.
  #remember (id: string, remembered: Remembered, at: number): void {
    for (const [old, { dueAt }] of this.#remembered) {
      if (dueAt + rememberMs > at && this.#remembered.size < maxRemembered) break
      this.#remembered.delete(old)
    }
    this.#remembered.set(id, remembered)
  }
}

// The slot in which the room after `skipped` begins, and what of it is left if there is none. What others plan at the same time is spread alike, so that boxes don't all use the first slot.
function chooseSlot (usable: readonly SlotRoom[], skipped: number): { readonly slot: number | null, readonly left: number } {
  let left = skipped
  for (const { slot, room } of usable) {
    if (left < room) return { slot, left: 0 }
    left -= room
  }
  return { slot: null, left }
}

// Divides an amount among slots, in their order; what doesn't fit is omitted.
function divideAmongSlots (usable: readonly SlotRoom[], amount: number): Map<number, number> {
  const amounts = new Map<number, number>()
  let left = amount
  for (const { slot, room } of usable) {
    if (left <= 0) break
    amounts.set(slot, Math.min(left, room))
    left -= room
  }
  return amounts
}

// A random time in a slot that the caller can be told; null if its resolution allows none.
function findTime (slot: number, earliestAt: number, { stepMs = 1 }: RefusedRequest, at: number, draw: number): number | null {
  const from = Math.max(earliestAt, slot * slotMs)
  const until = (slot + 1) * slotMs
  // The draw also decides the slot; its lower digits are independent of that.
  const time = from + (draw * slotCount * slotCount % 1) * (until - from)
  if (stepMs <= 1) return time
  const rounded = at + Math.ceil((from - at) / stepMs) * stepMs
  return rounded < until ? rounded : null
}

// When a return is served if all slots are taken: after what is planned beyond their capacity and `left`.
function estimateLater (rooms: readonly SlotRoom[], left: number, freeRate: number, at: number, draw: number): number {
  const { slot, room } = rooms[rooms.length - 1]
  const excessMs = freeRate > 0 ? (Math.max(0, -room) + left) * 1000 / freeRate : maxAfterMs
  return Math.min(at + maxAfterMs, (slot + 1 + draw) * slotMs + excessMs)
}
