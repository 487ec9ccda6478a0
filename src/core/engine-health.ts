/**
 * The health of one engine, as the boxes that send requests to it report it. A
 * failed connection or a response that doesn't come may be due to the path of the
 * box that saw it, so a failure stops requests of that box alone. The engine is
 * ejected for all boxes when several have failed there that were served by other
 * engines since, and none was served by this one. Until then other boxes go on
 * sending their requests here, except those that have failed elsewhere before.
 */
import { CircuitBreaker } from './circuit-breaker.js'
import type { HealthState } from './circuit-breaker.js'
import type { BoxId } from './ids.js'

export type { HealthState } from './circuit-breaker.js'

const staleAfterMs = 10_000
const smoothingGain = 0.15
const minSamples = 8
/** Upper bound of one report's weight, as a multiple of the average: a suspended engine reports one very long step. */
const maxStepFactor = 4
/** Number of boxes whose failures eject the engine for all boxes, and number of failures that they must have together. */
const minFailingBoxes = 2
const minSharedFailures = 3

interface BoxFailures {
  readonly breaker: CircuitBreaker
  /** The first failure of the box since the engine has served any box, and the number of failures from then on. */
  firstAt: number
  count: number
}

/** Circuit breakers of one engine, and its time per token, which reveals engines that are slow without failing. */
export class EngineHealth {
  #shared = new CircuitBreaker()
  #failuresByBox = new Map<BoxId, BoxFailures>()
  #lastSuccessAt = -Infinity
  #backoffUntil = 0
  #isBackedOff = false
  #tokenMs = 0
  #samples = 0
  #lastReportAt: number | null = null
  isSlow = false

  /** The state for all boxes. */
  get state (): HealthState { return this.#isBackedOff ? 'out' : this.#shared.state }
  /** Moving average of the time per token, ms; null until there are enough samples. */
  get tokenMs (): number | null { return this.#samples >= minSamples ? this.#tokenMs : null }

  /** The state for one box, from its own failures alone. */
  getOwnState (box: BoxId): HealthState { return this.#failuresByBox.get(box)?.breaker.state ?? 'live' }

  /** True if the engine has sent reports before but none recently. */
  hasStaleReports (at: number): boolean {
    return this.#lastReportAt !== null && at - this.#lastReportAt > staleAfterMs
  }

  addReport (at: number, stepMs: number): void {
    this.#lastReportAt = at
    if (stepMs > 0) this.#addTokenTime(stepMs)
  }

  /** True if requests of any box failed here and none has been served since. */
  get hasUnrefutedFailures (): boolean {
    return [...this.#failuresByBox.values()].some(({ firstAt }) => firstAt > this.#lastSuccessAt)
  }

  /** A request of the box failed. A failed connection attempt or probe stops its requests at once. */
  addFailure (at: number, box: BoxId, isConnection: boolean): void {
    const failures = this.#failuresByBox.get(box) ?? { breaker: new CircuitBreaker(), firstAt: -Infinity, count: 0 }
    this.#failuresByBox.set(box, failures)
    if (failures.firstAt <= this.#lastSuccessAt) Object.assign(failures, { firstAt: at, count: 0 })
    const isProbe = this.#shared.state === 'probing'
    if (isProbe) this.#shared.trip(at)
    failures.count += isConnection || isProbe ? minSharedFailures : 1
    if (isConnection || isProbe) failures.breaker.trip(at)
    else failures.breaker.addFailure(at)
  }

  /** The engine served a request of the box. Failures of other boxes before this say nothing about the engine. */
  addSuccess (at: number, box: BoxId): void {
    this.#failuresByBox.delete(box)
    this.#lastSuccessAt = at
    this.#shared.reset()
  }

  /** Ejects the engine for all boxes, or ends that. `findServedAt`: when any engine last served the box. */
  weighFailures (at: number, findServedAt: (box: BoxId) => number): void {
    if (this.#failuresByBox.size < minFailingBoxes) return this.#shared.reset()
    const failing = [...this.#failuresByBox].filter(([box, { firstAt }]) => firstAt > this.#lastSuccessAt && findServedAt(box) > firstAt)
    const count = failing.reduce((sum, [, failures]) => sum + failures.count, 0)
    if (failing.length < minFailingBoxes || count < minSharedFailures) this.#shared.reset()
    else if (this.#shared.state === 'live') this.#shared.trip(at)
  }

  removeBox (box: BoxId): void { this.#failuresByBox.delete(box) }

  /** The engine asked to get no requests before `until`; successes of its running streams do not end this. */
  addBackoff (until: number): void {
    this.#backoffUntil = Math.max(this.#backoffUntil, until)
    this.#isBackedOff = true
  }

  /** Starts probing once back-offs have expired, and ends a back-off that the engine asked for. */
  advance (at: number): void {
    this.#isBackedOff = at < this.#backoffUntil
    this.#shared.advance(at)
    for (const { breaker } of this.#failuresByBox.values()) breaker.advance(at)
  }

  #addTokenTime (ms: number): void {
    const { tokenMs } = this
    const boundedMs = tokenMs === null ? ms : Math.min(ms, tokenMs * maxStepFactor)
    this.#samples += 1
    const gain = Math.max(smoothingGain, 1 / this.#samples)
    this.#tokenMs += (boundedMs - this.#tokenMs) * gain
  }
}
