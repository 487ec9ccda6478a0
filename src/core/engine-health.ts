const failuresToEject = 3
const firstBackoffMs = 1000
const longestBackoffMs = 30_000
const silentAfterMs = 10_000
const gainOfNewest = 0.15
const samplesToJudge = 8

/** Whether an engine may be given work. */
export type HealthState = 'live' | 'out' | 'probing'

/**
 * Belief in one engine's health: repeated failures put it out for a back-off
 * that doubles, after which one request probes it. Its time per token, compared
 * with its peers', shows an engine that is slow without failing.
 */
export class EngineHealth {
  #state: HealthState = 'live'
  #failures = 0
  #backoffMs = firstBackoffMs
  #outUntil = 0
  #backoffUntil = 0
  #isBackedOff = false
  #tokenMs = 0
  #samples = 0
  #heardAt: number | null = null
  slow = false

  get state (): HealthState { return this.#isBackedOff ? 'out' : this.#state }
  /** Mean time per token, ms, or null before enough was seen. */
  get tokenMs (): number | null { return this.#samples >= samplesToJudge ? this.#tokenMs : null }

  /** True where reports came once and have stopped. */
  isSilent (at: number): boolean {
    return this.#heardAt !== null && at - this.#heardAt > silentAfterMs
  }

  addReport (at: number, stepMs: number): void {
    this.#heardAt = at
    if (stepMs > 0) this.#addTokenTime(stepMs)
  }

  addFailure (at: number): void {
    this.#failures += 1
    if (this.#state === 'live' && this.#failures < failuresToEject) return
    if (this.#state === 'probing') this.#backoffMs = Math.min(longestBackoffMs, this.#backoffMs * 2)
    this.#state = 'out'
    this.#outUntil = at + this.#backoffMs
  }

  /** No connection could be made: that is proof enough at once. */
  addRefusal (at: number): void {
    this.#failures = failuresToEject
    this.addFailure(at)
  }

  addSuccess (): void {
    this.#failures = 0
    this.#state = 'live'
    this.#backoffMs = firstBackoffMs
  }

  /** The engine wants no work before that time, whatever streams that it has say of it. */
  addBackoff (until: number): void {
    this.#backoffUntil = Math.max(this.#backoffUntil, until)
    this.#isBackedOff = true
  }

  /** Lets an engine be probed once its back-off has run out, and used once the time that it asked for is over. */
  advance (at: number): void {
    this.#isBackedOff = at < this.#backoffUntil
    if (this.#state === 'out' && at >= this.#outUntil) this.#state = 'probing'
  }

  #addTokenTime (ms: number): void {
    this.#samples += 1
    const gain = Math.max(gainOfNewest, 1 / this.#samples)
    this.#tokenMs += (ms - this.#tokenMs) * gain
  }
}
