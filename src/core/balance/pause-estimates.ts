/** What a box assumes of the pauses of a service's streams. */
import type { ContentionSwitch } from './contention.js'
import type { OtherBoxes } from './other-boxes.js'
import type { PauseClasses } from './pause-classes.js'
import type { PauseLimits } from './pause-forecast.js'
import { computeMinTolerantPause, estimateInitialPause } from './prompt-reading.js'
import type { ServiceState } from './service-state.js'

/** How long a pause limit is reused, ms: it is needed for each engine in each report. */
const limitTtlMs = 50

export class PauseEstimates {
  #tolerantLimits = new WeakMap<PauseClasses, { readonly at: number, readonly limitMs: number | null }>()
  #others: OtherBoxes
  #contention: ContentionSwitch

  constructor (others: OtherBoxes, contention: ContentionSwitch) {
    this.#others = others
    this.#contention = contention
  }

  /** The shortest allowed pause with which a request is pause-tolerant, ms. */
  findMinTolerant (state: ServiceState, at: number): number {
    const limitMs = this.#contention.isOn ? this.#findTolerantLimit(state, at) : null
    return limitMs ?? computeMinTolerantPause(this.findReading(state, at), state.pauses.findLongest(at))
  }

  #findTolerantLimit ({ pauseClasses, firstEvent }: ServiceState, at: number): number | null {
    const known = this.#tolerantLimits.get(pauseClasses)
    if (known !== undefined && at - known.at < limitTtlMs) return known.limitMs
    const limitMs = pauseClasses.findTolerantLimit(firstEvent.msPerToken, at)
    this.#tolerantLimits.set(pauseClasses, { at, limitMs })
    return limitMs
  }

  /** Pause of streams at an engine of median speed that reads without a break, ms. All boxes use the same reported one if there is one, because they must classify requests alike. */
  findReading ({ service, firstEvent, readingPause }: ServiceState, at: number): number {
    return this.#others.find(service.name)?.readingPauseMs ?? readingPause.find(at) ?? estimateInitialPause(service.engine?.tokensPerEvent ?? 1, firstEvent.msPerToken)
  }

  /** Limits for the forecast of pauses; null while the measures against contention are off. */
  findLimits (state: ServiceState, at: number): PauseLimits | null {
    const strictestMs = this.#contention.isOn ? state.pauses.findShortest(at) : null
    return strictestMs === null ? null : { strictestMs, readingPauseMs: this.findReading(state, at) }
  }
}
