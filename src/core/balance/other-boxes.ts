import type { ServiceName } from '../ids.js'
import type { LoadTotals, ServiceTotal } from './load-word.js'

/** Totals that are older tell nothing of what engines read just now, ms: several words of a hub. */
const freshMs = 600
/** A box that has heard no hub for so long since its start stands alone, ms: a registry is reached, and tells, within a second. */
const soloAfterMs = 3000

/** What a box knows of the other boxes' work on each service, and whether it knows it just now. */
export class OtherBoxes {
  #totals = new Map<ServiceName, ServiceTotal>()
  #receivedAt: number | null = null
  #boxes = 1

  /** Takes how many boxes there are, this one included. */
  noteBoxes (count: number): void { this.#boxes = Math.max(1, count) }

  /** Takes the newest totals. Only those that name a zone just heard are told anew. */
  note ({ demands, zones }: LoadTotals, at: number): void {
    this.#totals = new Map(demands.map(demand => [demand.service, demand]))
    if (zones.length > 0) this.#receivedAt = at
  }

  /** Of a service; null where nothing is told. */
  find (service: ServiceName): ServiceTotal | null { return this.#totals.get(service) ?? null }

  /**
   * True where all that engines do is known: the totals are fresh, or there are no other boxes.
   * What engines read for boxes that aren't heard passed for their own slowness, up to ten times.
   * `at`: since the box's start, ms.
   */
  isComplete (at: number): boolean {
    return this.#receivedAt === null ? at >= soloAfterMs : at - this.#receivedAt <= freshMs
  }

  /** Boxes that may be sending to the same engines unheard, this one included; 1 while all of them are heard. */
  countUnreportedBoxes (at: number): number { return this.isComplete(at) ? 1 : this.#boxes }

  /** Boxes in which requests of the service wait that don't go after one of this priority. */
  countHolders (service: ServiceName, priority: number): number {
    const others = this.#totals.get(service)
    if (others === undefined || others.held.every(([theirs]) => theirs > priority)) return 0
    return others.holders
  }
}
