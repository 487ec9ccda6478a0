/** The engines of a shard. Selects the engine with the earliest expected first token among those that can serve a request. */
import type { BoxId, EngineId } from './ids.js'
import { EngineState } from './engine-state.js'
import type { RequestClass } from './request-class.js'
import type { EngineSpec } from './scheduler-config.js'
import { markSlow } from './slow-engines.js'
import type { Submission } from './submission.js'

/** Interval between checks for slow engines, ms. */
const slowCheckMs = 1000
/** Cost of pausing a stream, ms: its context has to be prefilled again later. */
const pausePenaltyMs = 15
/** Cost of each stream at an engine, as it slows down the others, ms. */
const streamPenaltyMs = 1
/** Cost of an engine whose reports have stopped, ms. */
const staleReportPenaltyMs = 200

export class EngineSet {
  #engines = new Map<EngineId, EngineState>()
  #list: readonly EngineState[] = []
  #lastServedAt = new Map<BoxId, number>()
  #slowCheckAt = 0

  get list (): readonly EngineState[] { return this.#list }

  find (id: EngineId): EngineState | undefined { return this.#engines.get(id) }

  /** Replaces the list of engines; the state of those that remain is kept. */
  configure (specs: readonly EngineSpec[]): void {
    const kept = new Map<EngineId, EngineState>()
    for (const spec of specs) {
      const known = this.#engines.get(spec.id) ?? new EngineState(spec)
      known.spec = spec
      kept.set(spec.id, known)
    }
    this.#engines = kept
    this.#list = [...kept.values()]
  }

  /** Updates time-dependent state. `ejectShare`: upper bound on the fraction of engines marked as slow. */
  advance (at: number, ejectShare: number): void {
    for (const engine of this.#list) engine.health.advance(at)
    this.#weighFailures(at)
    if (at < this.#slowCheckAt) return
    this.#slowCheckAt = at + slowCheckMs
    markSlow(this.#list, ejectShare)
  }

  /** Records that the engine served a request of the box. */
  noteSuccess (engine: EngineState, box: BoxId, at: number): void {
    this.#lastServedAt.set(box, at)
    engine.health.addSuccess(at, box)
    this.#weighFailures(at)
  }

  removeBox (box: BoxId): void {
    this.#lastServedAt.delete(box)
    for (const { health } of this.#list) health.removeBox(box)
  }

  /** Engines that accept requests of boxes without failures; `mayWait`: deferrable ones. */
  listUsable (mayWait: boolean): EngineState[] {
    return this.#list.filter(engine => isUsable(engine, mayWait, null))
  }

  /**
   * The engine with a free place and the earliest expected first token. A request
   * that has failed before avoids engines where others fail, and probes one only
   * if no other can serve it.
   */
  choose (submission: Submission, requestClass: RequestClass, at: number): EngineState | undefined {
    if (submission.exclude.length === 0) return findBest(this.#list, submission, requestClass, at)
    const live = this.#list.filter(engine => engine.health.state === 'live' && canServe(engine, submission, requestClass.mayWait))
    if (live.length === 0) return findBest(this.#list, submission, requestClass, at)
    return findBest(live.filter(engine => !engine.health.hasUnrefutedFailures), submission, requestClass, at) ?? findBest(live, submission, requestClass, at)
  }

  /** Places of all engines that could serve a request, including occupied ones. */
  countPlaces (submission: Submission, mayWait: boolean): number {
    let places = 0
    for (const engine of this.#list) {
      if (!canServe(engine, submission, mayWait)) continue
      places += engine.spec.places + (mayWait ? engine.spec.floorPlaces : 0)
    }
    return places
  }

  /** True if a stream of a lower class could be paused for the request. Deliberately independent of `choose`: it checks the precedence rule. */
  canPauseLower (submission: Submission, requestClass: RequestClass): boolean {
    if (requestClass.mayWait) return false
    for (const engine of this.#list) {
      if (!canServe(engine, submission, false)) continue
      let same = 0
      let lower = 0
      for (const stream of engine.streams.values()) {
        if (stream.priority <= requestClass.priority) same += 1
        else lower += 1
      }
      if (lower > 0 && same < engine.spec.places && engine.hasPlace(requestClass.priority, false)) return true
    }
    return false
  }

  #weighFailures (at: number): void {
    for (const { health } of this.#list) health.weighFailures(at, box => this.#lastServedAt.get(box) ?? -Infinity)
  }
}

function findBest (engines: readonly EngineState[], submission: Submission, requestClass: RequestClass, at: number): EngineState | undefined {
  let best: EngineState | undefined
  let bestCost = Infinity
  for (const engine of engines) {
    if (!engine.hasPlace(requestClass.priority, requestClass.mayWait)) continue
    if (!canServe(engine, submission, requestClass.mayWait)) continue
    const cost = estimateFirstTokenDelay(engine, submission, at)
    if (cost < bestCost) {
      best = engine
      bestCost = cost
    }
  }
  return best
}

// Slow engines serve deferrable requests only.
function isUsable (engine: EngineState, mayWait: boolean, box: BoxId | null): boolean {
  if (engine.isLeaving || !engine.isOpenTo(box)) return false
  return mayWait || !engine.health.isSlow
}

function canServe (engine: EngineState, submission: Submission, mayWait: boolean): boolean {
  if (!isUsable(engine, mayWait, submission.box)) return false
  if (!engine.spec.models.includes(submission.model)) return false
  return submission.exclude.length === 0 || !submission.exclude.includes(engine.id)
}

// Includes penalties, so it serves only to compare engines. In ms.
function estimateFirstTokenDelay (engine: EngineState, submission: Submission, at: number): number {
  const cachedFraction = engine.prefixes.estimateShare(submission.prefix)
  const prefill = submission.promptTokens * (1 - cachedFraction) * engine.spec.prefillMs / 1000
  const pausePenalty = engine.load >= engine.batchLimit ? pausePenaltyMs : 0
  const step = engine.health.tokenMs ?? 0
  const stalePenalty = engine.health.hasStaleReports(at) ? staleReportPenaltyMs : 0
  return prefill + pausePenalty + step + engine.load * streamPenaltyMs + stalePenalty
}
