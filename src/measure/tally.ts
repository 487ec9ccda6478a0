import type { ClassName } from '../core/index.js'
import type { SimRequest } from './sim-request.js'
import type { UserProfile } from './user-profile.js'

/** Counters of one class in one run. */
export interface ClassFigures {
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
  #figures = new Map<ClassName, ClassFigures>()

  constructor (user: UserProfile) {
    for (const { class: one } of user.traffic) {
      this.#figures.set(one.name, { class: one.name, offered: 0, finished: 0, metTargets: 0, refused: 0, left: 0, failed: 0, worstWaitMs: 0, effort: 0, wasted: 0 })
    }
  }

  get figures (): readonly ClassFigures[] { return [...this.#figures.values()] }

  add (request: SimRequest, now: number): void {
    const figures = this.#figures.get(request.class.name)
    if (figures === undefined) return
    figures.offered += 1
    figures.effort += request.effort
    if (request.firstTokenAt !== null) figures.worstWaitMs = Math.max(figures.worstWaitMs, request.firstTokenAt - request.arrivedAt)
    switch (request.outcome) {
      case 'finished':
        figures.finished += 1
        figures.wasted += request.wastedEffort
        if (hasMetTargets(request, now)) figures.metTargets += 1
        return
      case 'refused':
        figures.refused += 1
        break
      case 'left':
        figures.left += 1
        break
      default:
        figures.failed += 1
    }
    figures.wasted += request.effort
  }
}

function hasMetTargets (request: SimRequest, now: number): boolean {
  const { class: targets, firstTokenAt, arrivedAt, lateGaps, tokens } = request
  if (firstTokenAt === null || firstTokenAt - arrivedAt > targets.firstTokenMs) return false
  if (lateGaps > maxLateShare * tokens) return false
  return targets.wholeMs === null || now - arrivedAt <= targets.wholeMs
}
