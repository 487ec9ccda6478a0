/**
 * Slots of one plain endpoint that this box goes on to count as its own after a request has ended there. Load: a few
 * boxes whose totals lag by half an answer time, at 0.8 of the slots. If each box took whatever the totals show as
 * free, one send in four would reach a full endpoint. A box that sends again soon uses its own slots again instead,
 * and reports them, so that the others see them as taken.
 */
import type { EndpointId } from '../ids.js'

/** Longest time for which a free slot is kept, ms. */
const maxKeepMs = 170
/** A free slot is kept for this many of the intervals at which the box sends. */
const keptIntervals = 1.6

export class KeptSlots {
  #keepMs = 0
  /** Expiry times, the earliest first. */
  #until: number[] = []

  /** Sets the interval at which this box sends to the service, and the time for which a request takes a slot, ms. A box that sends less often than slots become free keeps none. */
  setUse (intervalMs: number, slotMs: number): void {
    this.#keepMs = slotMs >= intervalMs ? Math.min(maxKeepMs, intervalMs * keptIntervals) : 0
  }

  /** Number of slots kept. */
  count (at: number): number {
    this.#until = this.#until.filter(until => until > at)
    return this.#until.length
  }

  /** A request has ended. */
  noteReleased (at: number): void { if (this.#keepMs > 0) this.#until.push(at + this.#keepMs) }

  /** A request was sent, to a kept slot if there is one. */
  noteSent (): void { this.#until.shift() }

  /** Gives all up: the endpoint was full. */
  clear (): void { this.#until = [] }
}

/** Kept slots by endpoint, as boxes report them with the demand for a service. */
export type KeptCounts = readonly (readonly [endpoint: EndpointId, slots: number])[]

/** The field of a service's demand; left out where no slots are kept. */
export function composeKept (kept: KeptCounts | undefined): { kept?: KeptCounts } {
  return kept === undefined || kept.length === 0 ? {} : { kept }
}

/** Adds or, with `sign` -1, subtracts; results that are not positive are omitted. Boxes that send none keep none. */
export function addKept (sum: KeptCounts | undefined, more: KeptCounts | undefined, sign: 1 | -1): { kept?: KeptCounts } {
  const slots = new Map(sum)
  for (const [endpoint, count] of more ?? []) slots.set(endpoint, (slots.get(endpoint) ?? 0) + sign * count)
  return composeKept([...slots].filter(([, count]) => count > 0))
}
