/**
 * The number of endpoints that the load of a service needs over all zones. Answers demand that swings by half in 11 to
 * 15 s, bursts at 2.6 times the load, and the start of a holder that has not observed any load yet.
 */
import { ReadingCost } from './reading-cost.js'
import { SlidingMax } from './sliding-max.js'
import type { SizingInput } from './size-planner.js'

/** Reading load of the engines of a service. */
export interface ReadingLoad {
  /** Arriving prompt tokens/s. */
  readonly arriving: number
  /** Prompt tokens/s whose requests got their first event. */
  readonly read: number
  /** Number of engines with unread prompt tokens. */
  readonly busyEngines: number
  /** Time per token that the gateways agree on, ms; null if they report none. */
  readonly agreedMsPerToken: number | null
}

export interface LoadInput extends SizingInput {
  /** Null if the endpoints are not engines. */
  readonly reading: ReadingLoad | null
  /** False while no box reports its load. */
  readonly isLoadKnown: boolean
}

export interface RequiredEndpoints {
  /** Endpoints needed in normal operation. */
  readonly count: number
  /** Endpoints that must remain if one zone loses its spot endpoints. */
  readonly remaining: number
  /** Number of serving endpoints below which on-demand ones are ordered; without the growth due to a backlog. */
  readonly onDemandFrom: number
}

/** Target fraction of slots in use at peak load. Above it, prefill of prompts delays the events of running streams. */
const slotUtilization = 0.35
/** Target fraction of time in which engines read at peak load: at one half, random arrivals wait for half a reading time on average. */
const readingUtilization = 0.5
/** Fraction of the endpoints that is enough for the 8 to 11 s in which a zone has no spot endpoints; engines then read 0.71 of the time. */
const remainingShare = 0.7
/**
 * Fraction of the endpoints for the measured load below which on-demand endpoints are ordered: a fifth of the capacity is
 * reserved for short streams, so that at 0.7 the other engines read 0.83 of the time, and long prompts are refused.
 */
const onDemandShare = 0.85
/** Window of the peak load, ms: two waves of 15 s, so that the low half of a wave releases nothing. */
const peakWindowMs = 30_000
const peakWindowSteps = 30
/** Time for which the growth due to a backlog is kept, ms: longer than a burst, and shorter than the window of measured load, as the growth is a guess. */
const growthWindowMs = 10_000
const growthWindowSteps = 20
/** Time from the first observed load during which the endpoints that run are kept, ms. */
const warmUpMs = 20_000
/** A backlog above this shows that capacity is insufficient, ms. */
const backlogThresholdMs = 500
/** A lower count takes effect only below this fraction of the previous one, as each change costs calls. */
const releaseThreshold = 0.85

export class RequiredEndpointsTracker {
  #running = new SlidingMax(peakWindowMs, peakWindowSteps)
  #arriving = new SlidingMax(peakWindowMs, peakWindowSteps)
  #growth = new SlidingMax(growthWindowMs, growthWindowSteps)
  #cost = new ReadingCost()
  #initialCount = 0
  #firstLoadAt: number | null = null
  #hasOrdered = false
  #settled = 0
  #settledForLoad = 0

  update (input: LoadInput): RequiredEndpoints {
    const { at, running, reading, backlogMs, isLoadKnown, zones } = input
    // At the first start of a deployment, endpoints register one after another.
    if (this.#firstLoadAt === null) this.#initialCount = Math.max(this.#initialCount, countRunning(input, this.#hasOrdered))
    if (isLoadKnown) {
      if (running > 0) this.#firstLoadAt ??= at
      const serving = zones.reduce((sum, { onDemand, spot }) => sum + onDemand + spot, 0)
      this.#running.add(at, running)
      this.#arriving.add(at, reading?.arriving ?? 0)
      this.#growth.add(at, backlogMs > backlogThresholdMs ? 2 * serving : 0)
      if (reading !== null) {
        this.#cost.add(at, reading.busyEngines, reading.read)
        this.#cost.noteAgreed(reading.agreedMsPerToken)
      }
    }
    const most = input.sizing.most * zones.length
    const forLoad = this.#countForLoad(input)
    this.#settledForLoad = settle(this.#settledForLoad, Math.min(most, forLoad), isLoadKnown)
    this.#settled = settle(this.#settled, Math.min(most, Math.max(forLoad, this.#growth.max)), isLoadKnown)
    return { count: this.#settled, remaining: countRemaining(this.#settled), onDemandFrom: Math.ceil(this.#settledForLoad * onDemandShare) }
  }

  /** True until a box has reported load. */
  get isIdle (): boolean { return this.#firstLoadAt === null }

  /** Notes that orders were sent: spot endpoints that register from now on replace others that were counted. */
  noteOrdered (): void { this.#hasOrdered = true }

  /** The inputs of the last count, for the log. */
  describe ({ running, backlogMs, reading }: LoadInput): string {
    const tokens = reading === null ? '' : `:reading=${Math.round(reading.arriving)}:readingPeak=${Math.round(this.#arriving.max)}:tokenMs=${this.#cost.msPerToken?.toFixed(4) ?? '-'}:agreedMs=${reading.agreedMsPerToken?.toFixed(4) ?? '-'}`
    return `load=${running}:peak=${this.#running.max}:held=${Math.round(backlogMs)}${tokens}`
  }

  #countForLoad ({ at, slots }: LoadInput): number {
    const forSlots = this.#running.max / (slots * slotUtilization)
    const forReading = this.#arriving.max * (this.#cost.msPerToken ?? 0) / 1000 / readingUtilization
    const isWarm = this.#firstLoadAt !== null && at - this.#firstLoadAt >= warmUpMs
    return Math.ceil(Math.max(forSlots, forReading, isWarm ? 0 : this.#initialCount))
  }
}

// While spot endpoints replace on-demand ones, both run; only one of the two is counted.
function countRunning ({ zones }: LoadInput, hasOrdered: boolean): number {
  return zones.reduce((sum, { onDemand, spot }) => sum + (hasOrdered ? onDemand : Math.max(onDemand, spot + Math.min(1, onDemand))), 0)
}

function settle (settled: number, count: number, isLoadKnown: boolean): number {
  return count > settled || (isLoadKnown && count < settled * releaseThreshold) ? count : settled
}

function countRemaining (count: number): number { return Math.min(count, Math.ceil(count * remainingShare)) }
