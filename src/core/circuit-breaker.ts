const failuresToTrip = 3
const initialBackoffMs = 1000
const maxBackoffMs = 30_000

/** `out`: no requests; `probing`: one at a time. */
export type HealthState = 'live' | 'out' | 'probing'

/** Stops requests to an engine after repeated failures, for a back-off that doubles; a single request then probes it. */
export class CircuitBreaker {
  #state: HealthState = 'live'
  #failures = 0
  #backoffMs = initialBackoffMs
  #outUntil = 0

  get state (): HealthState { return this.#state }

  addFailure (at: number): void {
    this.#failures += 1
    if (this.#state !== 'live' || this.#failures >= failuresToTrip) this.trip(at)
  }

  /** Stops requests without waiting for further failures. */
  trip (at: number): void {
    if (this.#state === 'probing') this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2)
    this.#state = 'out'
    this.#outUntil = at + this.#backoffMs
  }

  reset (): void {
    this.#failures = 0
    this.#state = 'live'
    this.#backoffMs = initialBackoffMs
  }

  /** Starts probing once the back-off has expired. */
  advance (at: number): void {
    if (this.#state === 'out' && at >= this.#outUntil) this.#state = 'probing'
  }
}
