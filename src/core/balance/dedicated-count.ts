/**
 * Computes how many engines of a service are dedicated to long prompts. An engine reads prompts in chunks between
 * decoding steps, so that a long prompt lengthens the pauses of all its streams. Pause-tolerant requests go to the
 * dedicated engines, pause-sensitive ones to the others.
 *
 * A part of the dedicated engines, the base, changes slowly: affinity engines are selected from it, and shared
 * prompts must be read again when their affinity engine changes. Capacity for a burst beyond the base is added and
 * removed with the burst.
 */

/** Inputs of the count; tokens are prompt tokens still to be read. */
export interface ReadingDemand {
  /** Read rate of each engine, tokens/s, in the order in which engines are dedicated. */
  readonly rates: readonly number[]
  /** Arrival rate of pause-tolerant requests, tokens/s. */
  readonly tolerantRate: number
  /** Arrival rate of pause-sensitive requests, tokens/s. */
  readonly sensitiveRate: number
  /** Tokens of pause-tolerant requests in the backlog. */
  readonly waiting: number
  /** Memory that pause-tolerant requests in flight take, as a number of engines. */
  readonly tolerantEngines: number
  /** Slots that pause-sensitive requests in flight take, as a number of engines. */
  readonly sensitiveEngines: number
  /**
   * True to reserve a share of the total read rate for pause-sensitive requests instead of a share of the engines: where
   * a quarter of the engines reads twice as fast as the others, a fifth of the engines is a third of the capacity.
   */
  readonly isReservedByRate: boolean
}

/** Number of dedicated engines, and how many of them are candidates for affinity engines. */
export interface DedicatedCount {
  readonly count: number
  readonly base: number
}

/**
 * Planned utilization of dedicated engines by reading. An engine that reads continuously emits one token per chunk
 * for each stream, five times slower than without reading: at 0.85, streams take up all slots under user load.
 */
const tolerantLoad = 0.65
/** Planned utilization of the other engines by reading: their prompts are short, and there must be capacity for bursts. */
const sensitiveLoad = 0.6
/** Time within which the backlog should be read, s. */
const backlogTargetS = 2
/** Fraction of the engines, or of their total read rate, that is never dedicated, so that short requests are served in any burst. */
const minSensitiveShare = 0.2
/** Fraction of the engines that pause-tolerant requests keep in a burst of the others, so that they still make progress. */
const minTolerantShare = 0.3
/** Fraction of the engines that is dedicated initially: what long prompts require under low load. */
const initialShare = 0.38
/** The count decreases by one after it has exceeded the demand for this long, ms. */
const shrinkAfterMs = 1500
/** The base changes by one after it has differed from the demand for this long, ms. */
const baseAfterMs = 10_000
/** The count that other boxes reported is kept for this long after the last report, ms: the others go on with it, and the load rarely changes much within a minute. */
const reportedTtlMs = 60_000

export class DedicatedCountController {
  #count = 0
  #base = 0
  /** Difference of the base from its initial value. */
  #baseOffset = 0
  #excessSince: number | null = null
  #maxDedicated = Infinity
  #baseDriftSince: number | null = null
  #reported: { readonly count: number, readonly at: number } | null = null

  /** The current count, as computed by this box alone. */
  get counts (): DedicatedCount { return { count: this.#count, base: this.#base } }

  /** The largest count that left the pause-sensitive requests enough engines at the last update. */
  get maxDedicated (): number { return this.#maxDedicated }

  /** Records the count that other boxes reported. */
  noteReported (count: number, at: number): void { this.#reported = { count, at } }

  /** The count that other boxes last reported; 0 if there is none or it has expired. */
  findReported (at: number): number { return this.#reported === null || at - this.#reported.at > reportedTtlMs ? 0 : this.#reported.count }

  update (at: number, demand: ReadingDemand): DedicatedCount {
    const engines = demand.rates.length
    const wanted = computeDedicatedCount(demand)
    const maxDedicated = countMaxDedicated(demand)
    this.#maxDedicated = maxDedicated
    this.#updateBase(at, engines, wanted, maxDedicated)
    this.#updateCount(at, Math.max(this.#base, wanted), Math.max(this.#base, maxDedicated))
    this.#count = Math.min(this.#count, Math.max(1, engines - 1))
    return this.counts
  }

  #updateBase (at: number, engines: number, wanted: number, maxDedicated: number): void {
    const initialBase = Math.ceil(engines * initialShare)
    const isDrifting = wanted > initialBase + this.#baseOffset || wanted < initialBase + this.#baseOffset
    if (!isDrifting) this.#baseDriftSince = null
    else this.#baseDriftSince ??= at
    if (this.#baseDriftSince !== null && at - this.#baseDriftSince >= baseAfterMs) {
      this.#baseOffset += wanted > initialBase + this.#baseOffset ? 1 : -1
      this.#baseDriftSince = at
    }
    this.#base = Math.max(1, Math.min(engines - 1, maxDedicated, initialBase + this.#baseOffset))
  }

  // Engines that pause-sensitive requests need are released immediately, engines that are merely unused only slowly.
  #updateCount (at: number, wanted: number, maxDedicated: number): void {
    this.#count = Math.min(this.#count, maxDedicated)
    if (wanted >= this.#count) {
      this.#count = wanted
      this.#excessSince = null
      return
    }
    this.#excessSince ??= at
    if (at - this.#excessSince < shrinkAfterMs) return
    this.#count -= 1
    this.#excessSince = at
  }
}

/**
 * Computes the number of engines to dedicate; with two or more engines, at least one for each class of requests.
 * If demand exceeds capacity, pause-sensitive requests take precedence.
 */
export function computeDedicatedCount (demand: ReadingDemand): number {
  const { rates } = demand
  const engines = rates.length
  if (engines <= 1) return engines
  const needed = demand.tolerantRate / tolerantLoad + demand.waiting / backlogTargetS
  const tolerant = Math.max(countEngines(rates, needed), Math.ceil(demand.tolerantEngines))
  return Math.min(engines - 1, Math.max(1, Math.min(tolerant, countMaxDedicated(demand))))
}

// Maximum number of engines that pause-sensitive requests leave to long prompts.
function countMaxDedicated (demand: ReadingDemand): number {
  const engines = demand.rates.length
  return Math.max(1, engines - countSensitiveEngines(demand), Math.ceil(engines * minTolerantShare))
}

// Number of engines that pause-sensitive requests need.
function countSensitiveEngines ({ rates, sensitiveRate, sensitiveEngines, isReservedByRate }: ReadingDemand): number {
  if (isReservedByRate) {
    const total = rates.reduce((sum, rate) => sum + rate, 0)
    const forRate = countEngines(rates.toReversed(), Math.max(sensitiveRate / sensitiveLoad, total * minSensitiveShare))
    return Math.ceil(Math.max(forRate, sensitiveEngines, 1))
  }
  const rate = rates[rates.length - 1]
  return Math.ceil(Math.max(sensitiveRate / rate / sensitiveLoad, sensitiveEngines, rates.length * minSensitiveShare, 1))
}

// Number of engines, from the first, whose total read rate reaches `needed`; one more than there are if all do not suffice.
function countEngines (rates: readonly number[], needed: number): number {
  let left = needed
  for (let i = 0; i < rates.length; i++) {
    if (left <= 0) return i
    left -= rates[i]
  }
  return left <= 0 ? rates.length : rates.length + 1
}
