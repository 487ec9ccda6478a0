/** The engines of a shard: which of them can serve a request, and at which its first token is expected soonest. */
import type { EngineId } from './ids.js'
import { EngineState } from './engine-state.js'
import type { RequestClass } from './request-class.js'
import type { EngineSpec } from './scheduler-config.js'
import { findSlow } from './slow-engines.js'
import type { Submission } from './submission.js'

/** Engines are compared for slowness this often, ms. */
const slowCheckMs = 1000
/** What pausing a stream is worth, ms: it must be read again later. */
const pausePenaltyMs = 15
/** What each stream more slows the others, ms. */
const streamPenaltyMs = 1
/** What an engine that has reported nothing lately is worth less, ms. */
const silentPenaltyMs = 200

export class EngineSet {
  #engines = new Map<EngineId, EngineState>()
  #list: readonly EngineState[] = []
  #slowCheckAt = 0

  get list (): readonly EngineState[] { return this.#list }

  find (id: EngineId): EngineState | undefined { return this.#engines.get(id) }

  /** Takes over which engines there are; what is known of those that stay is kept. */
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

  /** Lets time pass. `ejectShare`: the largest part of the engines that may count as slow. */
  advance (at: number, ejectShare: number): void {
    for (const engine of this.#list) engine.health.advance(at)
    if (at < this.#slowCheckAt) return
    this.#slowCheckAt = at + slowCheckMs
    findSlow(this.#list, ejectShare)
  }

  /** Engines that take requests; `mayWait`: those that may wait. */
  listUsable (mayWait: boolean): EngineState[] {
    return this.#list.filter(engine => isUsable(engine, mayWait))
  }

  /** The engine with a place at which the first token is expected soonest. */
  choose (submission: Submission, wanted: RequestClass, at: number): EngineState | undefined {
    let best: EngineState | undefined
    let bestCost = Infinity
    for (const engine of this.#list) {
      if (!engine.hasPlace(wanted.priority, wanted.mayWait)) continue
      if (!canServe(engine, submission, wanted.mayWait)) continue
      const cost = estimateCost(engine, submission, at)
      if (cost < bestCost) {
        best = engine
        bestCost = cost
      }
    }
    return best
  }

  /** Places of all engines that could serve a request, taken ones included. */
  countPlaces (submission: Submission, mayWait: boolean): number {
    let places = 0
    for (const engine of this.#list) {
      if (!canServe(engine, submission, mayWait)) continue
      places += engine.spec.places + (mayWait ? engine.spec.floorPlaces : 0)
    }
    return places
  }

  /** True where a stream of a lower class could be paused for the request: the naive form of the precedence rule, on purpose apart from `choose`. */
  couldYield (submission: Submission, wanted: RequestClass): boolean {
    if (wanted.mayWait) return false
    for (const engine of this.#list) {
      if (!canServe(engine, submission, false)) continue
      let same = 0
      let lower = 0
      for (const stream of engine.streams.values()) {
        if (stream.priority <= wanted.priority) same += 1
        else lower += 1
      }
      if (lower > 0 && same < engine.spec.places && engine.hasPlace(wanted.priority, false)) return true
    }
    return false
  }
}

// A slow engine is kept for requests that may wait.
function isUsable (engine: EngineState, mayWait: boolean): boolean {
  if (engine.leaving || engine.health.state === 'out') return false
  if (engine.health.state === 'probing' && engine.load > 0) return false
  return mayWait || !engine.health.slow
}

function canServe (engine: EngineState, submission: Submission, mayWait: boolean): boolean {
  if (!isUsable(engine, mayWait)) return false
  if (!engine.spec.models.includes(submission.model)) return false
  return submission.exclude.length === 0 || !submission.exclude.includes(engine.id)
}

// Expected delay of the first token at an engine, ms.
function estimateCost (engine: EngineState, submission: Submission, at: number): number {
  const cached = engine.prefixes.expect(submission.prefix)
  const prefill = submission.promptTokens * (1 - cached) * engine.spec.prefillMs / 1000
  const pausing = engine.load >= engine.batchLimit ? pausePenaltyMs : 0
  const step = engine.health.tokenMs ?? 0
  const silent = engine.health.isSilent(at) ? silentPenaltyMs : 0
  return prefill + pausing + step + engine.load * streamPenaltyMs + silent
}
