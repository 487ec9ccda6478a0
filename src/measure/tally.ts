import type { ClassName } from '../core/index.js'
import type { SimRequest } from './sim-request.js'
import type { UserProfile } from './user-profile.js'

/** Counters of one class in one run. */
export interface ClassCounters {
  readonly class: ClassName
  offered: number
  finished: number
  /** Finished requests that met every target of the class. */
  metTargets: number
  refused: number
  left: number
  failed: number
  /** Longest time to first token, ms; 0 where no request got one. */
  worstWaitMs: number
  /** Engine effort, in generated tokens. */
  effort: number
  /** Effort for output that no caller received in a finished answer. */
  wasted: number
}

/** Share of an answer's tokens that may exceed the gap target before the request misses it. */
const maxLateShare = 0.05

/** Counts the outcomes of requests by class. */
export class Tally {
  #counters = new Map<ClassName, ClassCounters>()

  constructor (user: UserProfile) {
    for (const { class: one } of user.traffic) {
      this.#counters.set(one.name, { class: one.name, offered: 0, finished: 0, metTargets: 0, refused: 0, left: 0, failed: 0, worstWaitMs: 0, effort: 0, wasted: 0 })
    }
  }

  get counters (): readonly ClassCounters[] { return [...this.#counters.values()] }

  add (request: SimRequest, now: number): void {
    const counters = this.#counters.get(request.class.name)
    if (counters === undefined) return
    counters.offered += 1
    counters.effort += request.effort
    if (request.firstTokenAt !== null) counters.worstWaitMs = Math.max(counters.worstWaitMs, request.firstTokenAt - request.arrivedAt)
    switch (request.outcome) {
      case 'finished':
        counters.finished += 1
        counters.wasted += request.wastedEffort
        if (hasMetTargets(request, now)) counters.metTargets += 1
        return
      case 'refused':
        counters.refused += 1
        break
      case 'left':
        counters.left += 1
        break
      default:
        counters.failed += 1
    }
    counters.wasted += request.effort
  }
}

function hasMetTargets (request: SimRequest, now: number): boolean {
  const { class: targets, firstTokenAt, arrivedAt, lateGaps, tokens } = request
  if (firstTokenAt === null || firstTokenAt - arrivedAt > targets.firstTokenMs) return false
  if (lateGaps > maxLateShare * tokens) return false
  return targets.wholeMs === null || now - arrivedAt <= targets.wholeMs
}
