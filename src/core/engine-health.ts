const failuresToEject = 3
const initialBackoffMs = 1000
const maxBackoffMs = 30_000
const staleAfterMs = 10_000
const smoothingGain = 0.15
const minSamples = 8

/** Whether an engine may get requests: `out` gets none, `probing` one at a time. */
export type HealthState = 'live' | 'out' | 'probing'

/**
 * Health of one engine, a circuit breaker: repeated failures eject the engine for
 * a back-off that doubles, after which a single request probes it. The time per
 * token, compared with that of its peers, reveals engines that are slow without failing.
 */
export class EngineHealth {
  #state: HealthState = 'live'
  #failures = 0
  #backoffMs = initialBackoffMs
  #ejectedUntil = 0
  #backoffUntil = 0
  #isBackedOff = false
  #tokenMs = 0
  #samples = 0
  #lastReportAt: number | null = null
  isSlow = false

  get state (): HealthState { return this.#isBackedOff ? 'out' : this.#state }
  /** Moving average of the time per token, ms; null until there are enough samples. */
  get tokenMs (): number | null { return this.#samples >= minSamples ? this.#tokenMs : null }

  /** True if the engine has sent reports before but none recently. */
  hasStaleReports (at: number): boolean {
    return this.#lastReportAt !== null && at - this.#lastReportAt > staleAfterMs
  }

  addReport (at: number, stepMs: number): void {
    this.#lastReportAt = at
    if (stepMs > 0) this.#addTokenTime(stepMs)
  }

  addFailure (at: number): void {
    this.#failures += 1
    if (this.#state === 'live' && this.#failures < failuresToEject) return
    if (this.#state === 'probing') this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2)
    this.#state = 'out'
    this.#ejectedUntil = at + this.#backoffMs
  }

  /** A failed connection attempt ejects the engine immediately. */
  addConnectionFailure (at: number): void {
    this.#failures = failuresToEject
    this.addFailure(at)
  }

  addSuccess (): void {
    this.#failures = 0
    this.#state = 'live'
    this.#backoffMs = initialBackoffMs
  }

  /** The engine asked to get no requests before `until`; successes of its running streams do not end this. */
  addBackoff (until: number): void {
    this.#backoffUntil = Math.max(this.#backoffUntil, until)
    this.#isBackedOff = true
  }

  /** Starts probing once the ejection has expired, and ends a back-off that the engine asked for. */
  advance (at: number): void {
    this.#isBackedOff = at < this.#backoffUntil
    if (this.#state === 'out' && at >= this.#ejectedUntil) this.#state = 'probing'
  }

  #addTokenTime (ms: number): void {
    this.#samples += 1
    const gain = Math.max(smoothingGain, 1 / this.#samples)
    this.#tokenMs += (ms - this.#tokenMs) * gain
  }
}
