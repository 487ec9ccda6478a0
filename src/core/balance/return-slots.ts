/** Amounts of work that refused callers were told to return with, by time slot and by rank. */

/** Length of a slot, ms. */
export const slotMs = 250
/** Number of slots that are planned and reported. */
export const slotCount = 16

/**
 * Amounts due back, as boxes report them. `slot` is the distance from the time of the report, in slots, plus
 * `slotCount` times the rank: boxes share no clock, and a plan needs to know what is more urgent.
 */
export type ReturnReport = readonly (readonly [slot: number, amount: number])[]

/** Levels from this one on share their ranks, which bounds a report. */
const maxLevel = 7
const rankCount = (maxLevel + 1) * 2

/** Order of returns, 0 first: by level, then workspaces under their share before the others. */
export function rankReturn (level: number, isUnderShare: boolean): number {
  return Math.max(0, Math.min(maxLevel, Math.floor(level))) * 2 + (isUnderShare ? 0 : 1)
}

/** The slot that contains a time; slots are numbered from the start of the box's monotonic clock. */
export function findSlot (at: number): number { return Math.floor(at / slotMs) }

export class ReturnSlots {
  #slots = new Map<number, Map<number, number>>()

  get total (): number {
    let total = 0
    for (const amounts of this.#slots.values()) for (const amount of amounts.values()) total += amount
    return total
  }

  add (slot: number, rank: number, amount: number): void {
    const amounts = this.#slots.get(slot) ?? new Map<number, number>()
    this.#slots.set(slot, amounts)
    amounts.set(rank, (amounts.get(rank) ?? 0) + amount)
  }

  /** Removes an amount, or what is left of it. */
  remove (slot: number, rank: number, amount: number): void {
    const amounts = this.#slots.get(slot)
    const left = (amounts?.get(rank) ?? 0) - amount
    if (left > 0) amounts?.set(rank, left)
    else amounts?.delete(rank)
  }

  /** Amount of the ranks from `first` up to `last`. */
  sum (slot: number, first = 0, last = Infinity): number {
    let sum = 0
    for (const [rank, amount] of this.#slots.get(slot) ?? []) if (rank >= first && rank <= last) sum += amount
    return sum
  }

  dropBefore (first: number): void {
    for (const slot of this.#slots.keys()) if (slot < first) this.#slots.delete(slot)
  }

  /** Replaces all slots from that of `at` on by a report made at `at`; invalid entries of it are ignored. */
  replace (report: ReturnReport, at: number): void {
    const first = findSlot(at)
    for (const slot of this.#slots.keys()) if (slot >= first) this.#slots.delete(slot)
    for (const [key, amount] of report) {
      if (!Number.isInteger(key) || key < 0 || key >= slotCount * rankCount || !(amount > 0 && amount < Infinity)) continue
      this.add(Math.max(first, Math.round(at / slotMs + key % slotCount)), Math.floor(key / slotCount), amount)
    }
  }

  /** Reports the slots from that of `at` on. */
  report (at: number): ReturnReport {
    const report: [number, number][] = []
    for (const [slot, amounts] of this.#slots) {
      if (slot < findSlot(at)) continue
      const distance = Math.max(0, Math.min(slotCount - 1, Math.round(slot - at / slotMs)))
      for (const [rank, amount] of amounts) report.push([rank * slotCount + distance, Math.max(1, Math.round(amount))])
    }
    return report
  }
}
