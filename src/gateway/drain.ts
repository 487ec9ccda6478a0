import type { RequestProfile } from '../core/index.js'
import type { AdmittedRequest } from './admitted-request.js'
import { balancerLagMs, cutReserveMs, idleMs, sweepIntervalMs } from './gateway-timing.js'

/** A planned stop of the box: it goes on serving until it is idle or its time is over, and begins nothing that may not end by then. */
export class Drain {
  #now: () => number
  #estimateMs: (work: RequestProfile) => number | null
  /** When the box must have stopped; null if it is not draining. */
  #stopsAt: number | null = null
  #lastActiveAt = 0

  /** `estimateMs`: how long a request takes if it is sent now, ms; null if that isn't known. */
  constructor (now: () => number, estimateMs: (work: RequestProfile) => number | null) {
    this.#now = now
    this.#estimateMs = estimateMs
  }

  get isLeaving (): boolean { return this.#stopsAt !== null }

  /** Notes that a request arrived or ended. */
  noteActivity (at: number): void { this.#lastActiveAt = at }

  /** True if a request that is sent now ends before the box stops, as far as is known, or reaches its deadline by then. */
  canFinish ({ work, deadlineAt }: Pick<AdmittedRequest, 'work' | 'deadlineAt'>): boolean {
    if (this.#stopsAt === null || deadlineAt <= this.#stopsAt) return true
    const now = this.#now()
    if (now >= this.#stopsAt) return false
    const ms = this.#estimateMs(work)
    return ms !== null && now + ms <= this.#stopsAt
  }

  /** Drains for `drainMs` at most; resolves with the time that it took, ms. From then on nothing more may begin. */
  async run (drainMs: number, isIdle: () => boolean): Promise<number> {
    const startedAt = this.#now()
    this.#stopsAt = startedAt + drainMs - cutReserveMs
    const isQuiet = (now: number): boolean => now - startedAt > balancerLagMs && now - this.#lastActiveAt > idleMs && isIdle()
    while (this.#now() < this.#stopsAt && !isQuiet(this.#now())) await new Promise(resolve => setTimeout(resolve, sweepIntervalMs))
    this.halt()
    return this.#now() - startedAt
  }

  /** Ends the drain now, if the box is draining. */
  halt (): void {
    if (this.#stopsAt !== null) this.#stopsAt = Math.min(this.#stopsAt, this.#now())
  }
}
