import type { ZoneName } from '../ids.js'

/**
 * Whether a zone can be reached, from when anything was last heard from there.
 * Links carry heartbeats and hubs tell totals several times a second, so that a
 * cut shows sooner here than in requests that stay unanswered.
 */
export class ZoneMonitor {
  #own: ZoneName
  #silentMs: number
  #lastMessageAt = new Map<ZoneName, number>()

  /** `silentMs`: after so long without a word a zone counts as cut off. */
  constructor (own: ZoneName, silentMs: number) {
    this.#own = own
    this.#silentMs = silentMs
  }

  noteHeard (zone: ZoneName, at: number): void { this.#lastMessageAt.set(zone, at) }

  /** True where the zone spoke once and has fallen silent. */
  isCut (zone: ZoneName, at: number): boolean {
    if (zone === this.#own) return false
    const heard = this.#lastMessageAt.get(zone)
    return heard !== undefined && at - heard > this.#silentMs
  }
}
