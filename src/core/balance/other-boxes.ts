import type { ServiceName } from '../ids.js'
import type { LoadTotals, ServiceTotal } from './box-load.js'

/** Totals older than this no longer reflect what engines currently read, ms: several report intervals of a hub. */
const freshMs = 600
/**
 * A box that has received nothing from a hub for this long after its start assumes that there are no other boxes,
 * ms: a registry is normally reached, and reports, within a second.
 */
const soloAfterMs = 3000
/** Without totals for this long, ms, a box divides its own part of a service's capacity: by then, the reporter has discarded the last ones. */
const expiryMs = 1500

/** What a box knows of the other boxes' load on each service, and whether that is up to date. */
export class OtherBoxes {
  #totals = new Map<ServiceName, ServiceTotal>()
  #receivedAt: number | null = null
  /** When the boxes made the reports behind the totals. */
  #reportedAt = -Infinity
  #boxes = 1

  /** Number of boxes, including this one. */
  get count (): number { return this.#boxes }

  /** Sets the number of boxes, including this one. */
  noteBoxes (count: number): void { this.#boxes = Math.max(1, count) }

  /** Sets the newest totals. They count as newly received only if they name a zone with recent messages. */
  note ({ demands, zones }: LoadTotals, at: number, reportedAt = at): void {
    this.#totals = new Map(demands.map(demand => [demand.service, demand]))
    if (zones.length > 0) this.#receivedAt = at
    this.#reportedAt = reportedAt
  }

  /** The totals of a service; null if none are reported. */
  find (service: ServiceName): ServiceTotal | null { return this.#totals.get(service) ?? null }

  /**
   * True if the load of all boxes is known: the totals are fresh, or there are no other boxes. Otherwise, an
   * engine that reads prompts for boxes that this one doesn't know of would be taken for slow, by up to a factor
   * of ten.
   *
   * `at`: time since the start of the box, ms.
   */
  isComplete (at: number): boolean {
    return this.#receivedAt === null ? at >= soloAfterMs : at - this.#receivedAt <= freshMs
  }

  /** Age of the totals, ms, null if there are none or they have expired, and the number of boxes of which this box only knows itself then. */
  findFreshness (at: number): { readonly ageMs: number | null, readonly boxes: number } {
    const ageMs = this.#receivedAt === null ? Infinity : at - this.#receivedAt
    return ageMs <= expiryMs ? { ageMs, boxes: 1 } : { ageMs: null, boxes: this.#boxes }
  }

  /** Number of boxes, including this one, that may send to the same engines without their load being known here; 1 while all report. */
  countUnreportedBoxes (at: number): number { return this.isComplete(at) ? 1 : this.#boxes }

  /** Prompt tokens that the other boxes have sent since their reports, as expected from their arrival rates; 0 if none report. */
  estimateUnreportedTokens (service: ServiceName, isTolerant: boolean, at: number): number {
    const total = this.#totals.get(service)
    if (total === undefined) return 0
    return (isTolerant ? total.patient : total.brisk) * this.measureAge(at) / 1000
  }

  /** Time since the reports behind the totals, ms; at most the time after which totals are discarded. */
  measureAge (at: number): number { return Math.min(expiryMs, Math.max(0, at - this.#reportedAt)) }

  /** Number of other boxes that queue requests of the service at least as urgent as `priority`. */
  countHolders (service: ServiceName, priority: number): number {
    const others = this.#totals.get(service)
    if (others === undefined || others.held.every(([theirs]) => theirs > priority)) return 0
    return others.holders
  }
}
