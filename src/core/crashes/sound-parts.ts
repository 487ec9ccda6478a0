/**
 * Parts of prompts that endpoints have answered lately. A part that crashes each endpoint which runs it is never answered
 * there, so a crash says nothing against a part that was answered by the same software shortly before.
 */
import type { Fingerprint, ServiceName } from '../ids.js'
import type { PartStanding } from './evidence.js'

/** An answered request with shared parts. */
interface AnsweredParts {
  readonly parts: readonly Fingerprint[]
  readonly at: number
}

/** An answer counts for this long, ms. */
const soundMs = 10_000
/** Maximum number of parts; those that were answered longest ago are dropped first. */
const maxParts = 5000
/** Answered requests of each service that are remembered whole. */
const maxAnswers = 32

export class SoundParts {
  /** Times of the latest answers by part and software; ordered by time. */
  #answeredAt = new Map<string, number>()
  /** The latest answered requests of each service, oldest first. */
  #answers = new Map<ServiceName, AnsweredParts[]>()

  /** Notes that software with this label has answered a request with these parts. */
  noteAnswered (parts: readonly Fingerprint[], service: ServiceName, label: string, at: number): void {
    if (parts.length === 0) return
    this.#answers.set(service, [...(this.#answers.get(service) ?? []).slice(1 - maxAnswers), { parts, at }])
    for (const part of parts) this.#note(part, label, at)
  }

  /** What the answers of a service say of a part, whatever software gave them. */
  judge (part: Fingerprint, service: ServiceName, at: number): PartStanding {
    const answers = (this.#answers.get(service) ?? []).filter(answer => at - answer.at <= soundMs)
    if (answers.every(({ parts }) => parts.includes(part))) return 'unknown'
    return answers.some(({ parts }) => parts.includes(part)) ? 'doubtful' : 'suspicious'
  }

  #note (part: Fingerprint, label: string, at: number): void {
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
