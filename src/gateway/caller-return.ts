/** When one refused caller is to return, while the measures against contention are on; described for the log. */
import { countExpectedTokens } from '../core/index.js'
import type { Admission, Fleet, RefusedRequest, ReturnPlan } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import type { AdmittedRequest } from './admitted-request.js'

interface ReturnHost {
  readonly fleet: Fleet
  readonly dialect: Dialect
  now (): number
  draw (): number
  /** The load at the endpoints, or what callers were told, has changed. */
  noteLoad (): void
}

/** A return counts as told if it is at most this early, ms: timers and clocks of callers are not exact. */
const earlyMs = 20

export class CallerReturn {
  #host: ReturnHost
  #request: AdmittedRequest
  #latest: ReturnPlan | null = null
  #sinceDueMs: number | null = null

  constructor (host: ReturnHost, request: AdmittedRequest) {
    this.#host = host
    this.#request = request
  }

  /** Notes the arrival of the request, which may be the return of a refused one. */
  noteArrival (): void {
    const { fleet } = this.#host
    if (fleet.contention.isOn) this.#sinceDueMs = fleet.returns.noteReturned(this.#id, this.#host.now())
  }

  /** True if the request returns as told, and only the limit on its kind's share stands against it: its work was planned beside that share. */
  mayExceedShare ({ waitMs, allowedMs, share }: Admission): boolean {
    return this.#sinceDueMs !== null && this.#sinceDueMs >= -earlyMs && share > 0 && waitMs <= allowedMs
  }

  /** `Retry-After` of a request that admission refuses, ms; `defaultMs`: what applies without the measures. */
  planAdmission ({ waitMs, allowedMs, workspaceShare }: Admission, defaultMs: number): number {
    return this.#plan({ excessMs: Math.max(0, waitMs - allowedMs) }, defaultMs, (workspaceShare?.fraction ?? 1) >= 1)
  }

  /** `Retry-After` of a request that found endpoints full, ms; `notBeforeMs`: time until any accepts requests. */
  planFull (notBeforeMs: number, defaultMs: number): number { return this.#plan({ notBeforeMs }, defaultMs) }

  #plan (waits: Pick<RefusedRequest, 'excessMs' | 'notBeforeMs'>, defaultMs: number, isUnderShare = true): number {
    const { fleet, dialect } = this.#host
    if (!fleet.contention.isOn) return defaultMs
    const { work, service, deadlineAt } = this.#request
    const at = this.#host.now()
    const afterMs = fleet.returns.plan({
      service,
      level: work.level,
      isUnderShare,
      amount: work.cost === null ? 1 : countExpectedTokens(work.cost),
      remainingMs: deadlineAt - at,
      id: this.#id,
      ...waits,
      stepMs: dialect.retryAfterStepMs
    }, at, this.#host.draw())
    this.#latest = fleet.returns.latest
    if (this.#latest?.isExpected === true) this.#host.noteLoad()
    return afterMs
  }

  /** Figures of the plan, and how late a return came; undefined if there is neither. */
  describe (): string | undefined {
    const parts = []
    if (this.#sinceDueMs !== null) parts.push(`since=${Math.round(this.#sinceDueMs)}`)
    if (this.#latest !== null) {
      const { afterMs, isExpected, freeRate, totalsAgeMs } = this.#latest
      parts.push(`after=${Math.round(afterMs)}`, `expected=${isExpected ? 1 : 0}`, `free=${freeRate.toFixed(1)}`, `age=${Number.isFinite(totalsAgeMs) ? Math.round(totalsAgeMs) : '-'}`)
    }
    return parts.length === 0 ? undefined : parts.join(':')
  }

  // The last part of a prompt is unique to its request and stays the same when it returns; other requests have only their id.
  get #id (): string {
    const { work, headers, service, workspace } = this.#request
    return `${service}/${workspace?.name ?? ''}/${work.cost?.parts.at(-1)?.id ?? headers.requestId}`
  }
}
