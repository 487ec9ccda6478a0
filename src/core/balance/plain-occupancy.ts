/**
 * Estimates how many requests of other boxes run at one plain endpoint. Load: totals lag by 50 to 500 ms, so that
 * what they counted has partly been answered and other boxes have sent more; an endpoint that refuses as full tells
 * more than the totals; without a hub, refusals are all that is known.
 */

import { ExponentialAverage } from './average.js'

/** Weight of the newest request in the mean time for which one takes a slot. */
const heldWeight = 0.1
/** Time constant of the mean of the totals, ms. */
const meanMs = 1000
/** Totals older than this tell nothing about the requests that run now, ms. */
const blindAfterMs = 1500
/** Weight of a refusal, and of an answer, in the mean while there are no totals: it settles where one send in five is refused. */
const refusalWeight = 0.2
const acceptanceWeight = 0.05

/** What is known of an endpoint when requests are sent there. */
export interface OccupancyInput {
  readonly slots: number
  /** Requests of this box in flight there. */
  readonly own: number
  /** Expected time for which a request takes a slot, ms. */
  readonly slotMs: number
  /** Boxes that may send there without their load being known, including this one; 1 while all report. */
  readonly sharers: number
}

/** An estimate of free slots. */
export interface FreeSlots {
  /** May be negative or a fraction. */
  readonly free: number
  /** Standard deviation, from the requests that other boxes have sent or received answers to since the newest count. */
  readonly spread: number
}

export class PlainOccupancy {
  #count = 0
  #heldMs = new ExponentialAverage(0, heldWeight)
  #countedAt = -Infinity
  #mean = 0
  #totalAt = -Infinity
  /** The most that other boxes can have run there when a request of this box ended. */
  #release = { at: -Infinity, others: Infinity }
  /** The newest refusal as full, with this box's requests there at that time; null for none. */
  #refusal: { readonly at: number, readonly own: number } | null = null

  /** Records the requests of other boxes there, as counted at `countedAt`. A refusal that is newer than the count stays in force. */
  noteTotal (count: number, countedAt: number): void {
    this.#mean += (count - this.#mean) * (1 - Math.exp(-Math.min(meanMs, Math.max(0, countedAt - this.#totalAt)) / meanMs))
    this.#totalAt = Math.max(this.#totalAt, countedAt)
    if (countedAt < this.#countedAt) return
    this.#count = count
    this.#countedAt = countedAt
    this.#refusal = null
  }

  /** Records that the endpoint refused a request as full; `own`: requests of this box there, without the refused one. */
  noteRefused (slots: number, own: number, at: number): void {
    const others = Math.max(0, slots - own)
    if (this.#isBlind(at)) this.#mean += (others - this.#mean) * refusalWeight
    this.#count = others
    this.#countedAt = at
    this.#refusal = { at, own }
  }

  /** Records that the endpoint accepted a request. */
  noteAccepted (at: number): void {
    if (this.#isBlind(at)) this.#mean *= 1 - acceptanceWeight
  }

  /** Expected time for which a request takes a slot, ms: of streams, it exceeds the time of the first event. */
  estimateSlotMs (answerMs: number): number { return this.#heldMs.count === 0 ? answerMs : Math.max(answerMs, this.#heldMs.value) }

  /** Records that a request of this box ended there after `heldMs`; `own`: requests of this box there before. The others took at most the remaining slots. */
  noteReleased (slots: number, own: number, heldMs: number, at: number): void {
    this.#heldMs.add(heldMs)
    this.#release = { at, others: Math.max(0, slots - own) }
  }

  /** Estimates the free slots. */
  estimate ({ slots, own, slotMs, sharers }: OccupancyInput, at: number): FreeSlots {
    const since = (from: number): number => Math.min(1, Math.max(0, at - from) / Math.max(1, slotMs))
    const renewed = since(this.#countedAt)
    // Each box that hears no hub keeps its own part of the slots.
    const most = sharers > 1 ? slots - slots / sharers : Infinity
    const counted = Math.min(most, this.#mean + (this.#count - this.#mean) * (1 - renewed))
    const sent = this.#mean * since(this.#release.at)
    const released = this.#release.others + sent
    return released < counted
      ? { free: slots - own - released, spread: Math.sqrt(sent) }
      : { free: slots - own - counted, spread: Math.sqrt(this.#mean * renewed) }
  }

  /**
   * True while the endpoint's load can't have changed since it refused as full: no request of this box has ended
   * there, no newer total has arrived, and less time has passed than its slots take on average until one is free.
   */
  isRefusing ({ slots, own, slotMs }: OccupancyInput, at: number): boolean {
    if (this.#refusal === null || own < this.#refusal.own) return false
    return at - this.#refusal.at < slotMs / Math.max(1, slots)
  }

  #isBlind (at: number): boolean { return at - this.#totalAt > blindAfterMs }
}
