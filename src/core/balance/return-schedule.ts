/**
 * What callers of one service were told to return with, by this box and by others, and the room that is left for
 * more. Answers bursts of refusals at many boxes at once, whose totals arrive only after some or all of it.
 */
import { RateMeter } from './rate-meter.js'
import { ReturnSlots, findSlot, slotCount, slotMs } from './return-slots.js'
import type { ReturnReport } from './return-slots.js'

/** Rates of a service, in the amount that its requests are planned in, per second. */
export interface ReturnRates {
  /** What the service can serve; this box's part of it if no hub is heard. */
  readonly capacity: number
  /** What arrives, returns included; at this box alone if no hub is heard. */
  readonly arrivals: number
  /** Ratio of the arrivals at all boxes to those at this box; 1 if no hub is heard. */
  readonly scale: number
}

/** A slot and what can still be planned in it. */
export interface SlotRoom {
  readonly slot: number
  /** What the service can serve of returns from now, or from the slot's start, until its end. */
  readonly capacity: number
  /** What is left of it; negative if more is planned than can be served. */
  readonly room: number
}

/** Share of the capacity that is always planned for returns. */
const minFreeShare = 0.05
/** Window over which arrivals and refusals are metered, ms. */
const meterMs = 1000
const meterSlots = meterMs / slotMs
/** Share of a slot that is at most kept for more urgent returns that are still to be planned: less urgent ones must not starve. */
const maxReservedShare = 0.8
/** What other boxes plan meanwhile is grouped by this time, ms: a burst makes thousands of plans in one lag of the totals. */
const unseenGroupMs = 100
/** Totals are discarded after this time, ms, and with them what they did not show. */
const maxUnseenMs = 1500
/** Number of requests for which the ratio of all refusals to own ones is taken from the arrivals. */
const scalePrior = 4

export class ReturnSchedule {
  #own = new ReturnSlots()
  #others = new ReturnSlots()
  /** What others presumably planned after the reports in the totals were made, by group of time. */
  #unseen = new Map<number, ReturnSlots>()
  /** Amounts planned here, by rank. */
  #planned = new Map<number, RateMeter>()
  #reportedAt = -Infinity

  /** When the reports behind the newest totals were made, as far as this box can tell; -Infinity without totals. */
  get reportedAt (): number { return this.#reportedAt }

  /** Sets what the other boxes report, made at `reportedAt`; null if no hub is heard. */
  noteOthers (report: ReturnReport | null, reportedAt: number): void {
    this.#reportedAt = report === null ? -Infinity : reportedAt
    this.#others.replace(report ?? [], report === null ? -Infinity : reportedAt)
    for (const group of this.#unseen.keys()) if (report === null || (group + 1) * unseenGroupMs <= reportedAt) this.#unseen.delete(group)
  }

  advance (at: number): void {
    const first = findSlot(at)
    for (const slots of [this.#own, this.#others]) slots.dropBefore(first - meterSlots)
    for (const [group, slots] of this.#unseen) {
      if (group * unseenGroupMs < at - maxUnseenMs) this.#unseen.delete(group)
      else slots.dropBefore(first)
    }
  }

  report (at: number): ReturnReport { return this.#own.report(at) }

  /** Records what a caller was told to return with. `unseen`: amounts that others presumably plan at the same time, by slot. */
  book (slot: number, rank: number, amount: number, unseen: ReadonlyMap<number, number>, at: number): void {
    this.#own.add(slot, rank, amount)
    const meter = this.#planned.get(rank) ?? new RateMeter(meterMs)
    this.#planned.set(rank, meter)
    meter.add(at, amount)
    const group = Math.floor(at / unseenGroupMs)
    const slots = this.#unseen.get(group) ?? new ReturnSlots()
    if (unseen.size > 0) this.#unseen.set(group, slots)
    for (const [other, theirs] of unseen) slots.add(other, rank, theirs)
  }

  /** Moves an amount to the slot of `at`, as its caller has returned early. */
  moveEarly (slot: number, rank: number, amount: number, at: number): void {
    if (slot <= findSlot(at)) return
    this.#own.remove(slot, rank, amount)
    this.#own.add(findSlot(at), rank, amount)
  }

  /** Amount/s that returns can use: what arrivals leave, not counting those that were told to return; and whether these arrivals alone exceed the capacity. */
  computeFreeRate ({ capacity, arrivals }: ReturnRates, at: number): { readonly freeRate: number, readonly isOverloaded: boolean } {
    let returned = 0
    for (let slot = findSlot(at) - meterSlots; slot < findSlot(at); slot++) returned += this.#own.sum(slot) + this.#others.sum(slot)
    const first = Math.max(0, arrivals - returned * 1000 / meterMs)
    return { freeRate: Math.max(capacity * minFreeShare, capacity - first), isOverloaded: first > capacity }
  }

  /** Ratio of what all boxes plan to what this box plans: as far as known, else that of the arrivals. */
  estimateScale ({ scale }: ReturnRates, amount: number): number {
    if (scale <= 1) return 1
    let others = this.#others.total
    for (const slots of this.#unseen.values()) others += slots.total
    const own = this.#own.total
    const prior = amount * scalePrior
    return (own + others + prior * scale) / (own + prior)
  }

  /** The last slot with a return more urgent than `rank`; that of `at` if there is none. */
  findLastUrgent (rank: number, at: number): number {
    for (let slot = findSlot(at) + slotCount - 1; slot > findSlot(at); slot--) if (this.#sum(slot, 0, rank - 1) > 0) return slot
    return findSlot(at)
  }

  /** The slots from that of `at` on, with the room for returns of `rank`. What does not fit in a slot is served in the next. */
  listRooms (rank: number, perSecond: number, scale: number, at: number): SlotRoom[] {
    const urgentRate = this.#sumUrgentRates(rank, at) * scale
    const rooms: SlotRoom[] = []
    let carried = 0
    for (let slot = findSlot(at); rooms.length < slotCount; slot++) {
      const ms = (slot + 1) * slotMs - Math.max(at, slot * slotMs)
      const capacity = perSecond * ms / 1000
      const reserved = Math.min(capacity * maxReservedShare, urgentRate * ms / 1000)
      const used = Math.max(this.#sum(slot, 0, rank - 1), reserved) + this.#sum(slot, rank, rank)
      const room = capacity - carried - used
      carried = Math.max(0, -room)
      rooms.push({ slot, capacity, room })
    }
    return rooms
  }

  #sumUrgentRates (rank: number, at: number): number {
    let rate = 0
    for (const [other, meter] of this.#planned) if (other < rank) rate += meter.rate(at)
    return rate
  }

  #sum (slot: number, first: number, last: number): number {
    let sum = this.#own.sum(slot, first, last) + this.#others.sum(slot, first, last)
    for (const slots of this.#unseen.values()) sum += slots.sum(slot, first, last)
    return sum
  }
}
