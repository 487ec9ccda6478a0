/**
 * Parts of prompts that endpoints have answered lately. A part that crashes each endpoint which runs it is never answered
 * there, so a crash says nothing against a part that was answered by the same software shortly before.
 */
import type { Fingerprint } from '../ids.js'

/** An answer counts for this long, ms. */
const soundMs = 10_000
/** Maximum number of parts; those that were answered longest ago are dropped first. */
const maxParts = 5000

export class SoundParts {
  /** Times of the latest answers by part and software; ordered by time. */
  #answeredAt = new Map<string, number>()

  /** Notes that software with this label has answered a request with this part. */
  note (part: Fingerprint, label: string, at: number): void {
    const key = `${part} ${label}`
    this.#answeredAt.delete(key)
    this.#answeredAt.set(key, at)
    for (const [oldest, answeredAt] of this.#answeredAt) {
      if (at - answeredAt <= soundMs && this.#answeredAt.size <= maxParts) return
      this.#answeredAt.delete(oldest)
    }
  }

  /** True if software with this label has answered the part lately. */
  has (part: Fingerprint, label: string, at: number): boolean {
    return at - (this.#answeredAt.get(`${part} ${label}`) ?? -Infinity) <= soundMs
  }
}
