import type { ClassName } from '../core/index.js'
import type { SimRequest } from './sim-request.js'
import type { UserProfile } from './user-profile.js'

/** The figures of one class in one run. */
export interface ClassFigures {
  readonly class: ClassName
  offered: number
  finished: number
  /** Finished within every target of the class. */
  met: number
  refused: number
  left: number
  failed: number
  /** Longest time to a first token of a request that was served, ms. */
  worstWaitMs: number
  /** Engine effort, in tokens. */
  effort: number
  /** Effort for answers that nobody received. */
  wasted: number
}

const lateShare = 0.05

/** Counts how requests ended, by class. */
export class Tally {
  #figures = new Map<ClassName, ClassFigures>()

  constructor (user: UserProfile) {
    for (const { class: one } of user.traffic) {
      this.#figures.set(one.name, { class: one.name, offered: 0, finished: 0, met: 0, refused: 0, left: 0, failed: 0, worstWaitMs: 0, effort: 0, wasted: 0 })
    }
  }

  get figures (): readonly ClassFigures[] { return [...this.#figures.values()] }

  add (request: SimRequest, now: number): void {
    const figures = this.#figures.get(request.class.name)
    if (figures === undefined) return
    figures.offered += 1
    figures.effort += request.effort
    if (request.firstAt !== null) figures.worstWaitMs = Math.max(figures.worstWaitMs, request.firstAt - request.arrivedAt)
    switch (request.end) {
      case 'finished':
        figures.finished += 1
        figures.wasted += request.lost
        if (isMet(request, now)) figures.met += 1
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

function isMet (request: SimRequest, now: number): boolean {
  const { class: wanted, firstAt, arrivedAt, lateGaps, tokens } = request
  if (firstAt === null || firstAt - arrivedAt > wanted.firstTokenMs) return false
  if (lateGaps > lateShare * tokens) return false
  return wanted.wholeMs === null || now - arrivedAt <= wanted.wholeMs
}
