import type { ZoneName } from '../ids.js'

/**
 * Detects unreachable zones from the time of the last message from each. Links carry heartbeats, and hubs send
 * totals several times a second, so that a partition is detected sooner here than by unanswered requests.
 */
export class ZoneMonitor {
  #own: ZoneName
  #timeoutMs: number
  #lastMessageAt = new Map<ZoneName, number>()

  /** `timeoutMs`: time without a message after which a zone counts as unreachable. */
  constructor (own: ZoneName, timeoutMs: number) {
    this.#own = own
    this.#timeoutMs = timeoutMs
  }

  noteMessage (zone: ZoneName, at: number): void { this.#lastMessageAt.set(zone, at) }

  /** True if messages from the zone have arrived, but none recently. False for the own zone. */
  isUnreachable (zone: ZoneName, at: number): boolean {
    if (zone === this.#own) return false
    const lastMessageAt = this.#lastMessageAt.get(zone)
    return lastMessageAt !== undefined && at - lastMessageAt > this.#timeoutMs
  }
}
