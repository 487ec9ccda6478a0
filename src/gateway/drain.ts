import type { EventLog } from '../runtime/index.js'
import type { AdmittedRequest } from './admitted-request.js'
import { balancerLagMs, cutReserveMs, idleMs, sweepIntervalMs } from './gateway-timing.js'

/** What a drain needs of its box. */
export interface DrainHost {
  now (): number
  getLog (): EventLog
}

/**
 * A planned stop of the box: it goes on serving until it is idle or its time is over, and begins only requests whose
 * deadline is before that. How long an answer takes isn't known before it has ended, so for others there is no bound.
 */
export class Drain {
  #host: DrainHost
  /** When the box must have stopped; null if it is not draining. */
  #stopsAt: number | null = null
  #lastActiveAt = 0

  constructor (host: DrainHost) {
    this.#host = host
  }

  get isLeaving (): boolean { return this.#stopsAt !== null }

  /** Notes that a request ended. */
  noteActivity (at: number): void { this.#lastActiveAt = at }

  /** True if a request that is sent now has an answer, or has reached its deadline, before the box stops. */
  canFinish ({ deadlineAt }: Pick<AdmittedRequest, 'deadlineAt'>): boolean {
    return this.#stopsAt === null || deadlineAt <= this.#stopsAt
  }

  /** Notes that a request is served. */
  noteAccepted ({ headers, route, deadlineAt }: AdmittedRequest, at: number): void {
    this.noteActivity(at)
    if (this.#stopsAt === null) return
    const log = this.#host.getLog()
    log.info('drain-accepted', { request: headers.requestId, route: route.name, leftMs: Math.round(this.#stopsAt - at), deadlineMs: Math.round(deadlineAt - at) })
  }

  /** Drains until `drainMs` after `signalledAt` at most; resolves with the time that it took, ms. From then on nothing more may begin. `signalledAt`: the earliest time at which the signal can have been sent. */
  async run (drainMs: number, isIdle: () => boolean, signalledAt = this.#host.now()): Promise<number> {
    const startedAt = this.#host.now()
    this.#stopsAt = signalledAt + drainMs - cutReserveMs
    const isQuiet = (now: number): boolean => now - startedAt > balancerLagMs && now - this.#lastActiveAt > idleMs && isIdle()
    while (this.#host.now() < this.#stopsAt && !isQuiet(this.#host.now())) await new Promise(resolve => setTimeout(resolve, sweepIntervalMs))
    this.halt()
    return this.#host.now() - startedAt
  }

  /** Ends the drain now, if the box is draining. */
  halt (): void {
    if (this.#stopsAt !== null) this.#stopsAt = Math.min(this.#stopsAt, this.#host.now())
  }
}
