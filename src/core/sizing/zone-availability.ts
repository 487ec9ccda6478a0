/**
 * Zones in which no endpoints of a kind are to be had, as the platform refused an order or the spot endpoints announced
 * together that they leave. Answers zones whose spot endpoints are reclaimed and which refuse orders for 8 to 11 s
 * afterwards: such a zone is asked again after increasing delays.
 */
import type { ZoneName } from '../ids.js'

/** Why a zone counts as unavailable. */
export type UnavailableReason = 'refused' | 'leaving'

/** A zone that became unavailable, for the log. */
export interface UnavailableZone {
  readonly zone: ZoneName
  readonly isSpot: boolean
  readonly reason: UnavailableReason
  readonly retryMs: number
}

interface Outage {
  readonly count: number
  readonly until: number
  /** True once an order was accepted since. */
  isOver: boolean
}

/** Delay until a zone is asked again, ms; doubled with each further refusal, up to the maximum. */
const firstDelayMs = 2000
const maxDelayMs = 10_000
/** After this time without a refusal, the delays start again from the first, ms: three of the longest. */
const forgetMs = 30_000

export class ZoneAvailability {
  #outages = new Map<string, Outage>()
  #leaving = new Map<ZoneName, number>()
  #unreported: UnavailableZone[] = []

  /** True while the zone should not be asked for endpoints of the kind. */
  isClosed (zone: ZoneName, isSpot: boolean, at: number): boolean {
    return at < (this.#outages.get(formatKey(zone, isSpot))?.until ?? -Infinity)
  }

  /** True from the moment at which the zone is asked again until it accepts an order. */
  isTried (zone: ZoneName, isSpot: boolean, at: number): boolean {
    return this.#outages.get(formatKey(zone, isSpot))?.isOver === false && !this.isClosed(zone, isSpot, at)
  }

  noteAccepted (zone: ZoneName, isSpot: boolean, at: number): void {
    const outage = this.#outages.get(formatKey(zone, isSpot))
    if (outage !== undefined && !this.isClosed(zone, isSpot, at)) outage.isOver = true
  }

  /** Notes a refused order. Refusals of orders sent before the zone was found unavailable change nothing. */
  noteRefused (zone: ZoneName, isSpot: boolean, at: number): void { this.#close(zone, isSpot, 'refused', at) }

  /** Notes the spot endpoints of a zone; `expected`: the smallest number that an order of the last seconds may have left. A zone that loses most of them without an order is being reclaimed. */
  noteSpot (zone: ZoneName, serving: number, leaving: number, expected: number, at: number): void {
    const before = this.#leaving.get(zone) ?? 0
    this.#leaving.set(zone, leaving)
    if (leaving > before && leaving >= serving && serving < expected) this.#close(zone, true, 'leaving', at)
  }

  /** Zones that became unavailable since the last call. */
  takeUnreported (): UnavailableZone[] { return this.#unreported.splice(0) }

  #close (zone: ZoneName, isSpot: boolean, reason: UnavailableReason, at: number): void {
    if (this.isClosed(zone, isSpot, at)) return
    const key = formatKey(zone, isSpot)
    const last = this.#outages.get(key)
    const count = last !== undefined && at - last.until < forgetMs ? last.count + 1 : 1
    const retryMs = Math.min(maxDelayMs, firstDelayMs * 2 ** (count - 1))
    this.#outages.set(key, { count, until: at + retryMs, isOver: false })
    this.#unreported.push({ zone, isSpot, reason, retryMs })
  }
}

function formatKey (zone: ZoneName, isSpot: boolean): string { return `${zone} ${isSpot}` }
