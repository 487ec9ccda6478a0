/**
 * How many engines of a service are set apart for long prompts. An engine reads
 * prompts piece by piece between the tokens of what runs there, so that a long
 * prompt stretches the pauses of all streams beside it. Requests that bear such
 * pauses go to the engines set apart; the others keep the rest to themselves.
 *
 * A part of the engines set apart, the base, changes slowly: prompts that share
 * a part have their home there, and a home that moves is read again elsewhere.
 * What a burst needs beyond the base comes and goes with the burst.
 */

/** What the share is worked out from; tokens are prompt tokens still to be read. */
export interface ReadingDemand {
  /** Tokens that each engine reads in a second, in the order in which engines are set apart. */
  readonly rates: readonly number[]
  /** Tokens a second of requests that bear long pauses. */
  readonly tolerantRate: number
  /** Tokens a second of the others. */
  readonly sensitiveRate: number
  /** Tokens of patient requests that wait already. */
  readonly waiting: number
  /** Memory that patient requests in flight take, in engines. */
  readonly tolerantEngines: number
  /** Places that the others take, in engines. */
  readonly sensitiveEngines: number
}

/** Engines set apart, and those of them that are homes. */
export interface DedicatedCount {
  readonly count: number
  readonly base: number
}

/**
 * Load by reading that engines set apart are filled to. An engine that reads all
 * the time gives its streams a token for each piece read, five times slower than
 * one that doesn't read: at 0.85 streams of the users' days took up all slots.
 */
const tolerantLoad = 0.65
/** Load by reading that the other engines bear: their prompts are short, and bursts of them must find room. */
const sensitiveLoad = 0.6
/** Tokens that wait already are to be read within this time, s. */
const backlogTargetS = 2
/** Part of the engines that are never set apart: quick questions go on in any burst. */
const minSensitiveShare = 0.2
/** Part of the engines that requests which bear long pauses get in any burst of the others: they still finish. */
const minTolerantShare = 0.3
/** Part of the engines set apart before anything was seen: what long prompts came to on the users' quiet days. */
const initialShare = 0.38
/** The share shrinks by one after so long without a need for it, ms. */
const shrinkAfterMs = 1500
/** The base moves by one after so long on another side of what is wanted, ms. */
const baseAfterMs = 10_000

export class DedicatedCountController {
  #count = 0
  #base = 0
  /** How far the base has moved from what it was at first. */
  #baseOffset = 0
  #excessSince: number | null = null
  #baseDriftSince: number | null = null

  /** Engines set apart at present, by this box's own measure, and those of them that are homes. */
  get counts (): DedicatedCount { return { count: this.#count, base: this.#base } }

  update (at: number, demand: ReadingDemand): DedicatedCount {
    const engines = demand.rates.length
    const wanted = computeDedicatedCount(demand)
    const maxDedicated = countMaxDedicated(demand)
    this.#moveBase(at, engines, wanted, maxDedicated)
    this.#moveCount(at, Math.max(this.#base, wanted), Math.max(this.#base, maxDedicated))
    this.#count = Math.min(this.#count, Math.max(1, engines - 1))
    return this.counts
  }

  #moveBase (at: number, engines: number, wanted: number, maxDedicated: number): void {
    const first = Math.ceil(engines * initialShare)
    const isDrifting = wanted > first + this.#baseOffset || wanted < first + this.#baseOffset
    if (!isDrifting) this.#baseDriftSince = null
    else this.#baseDriftSince ??= at
    if (this.#baseDriftSince !== null && at - this.#baseDriftSince >= baseAfterMs) {
      this.#baseOffset += wanted > first + this.#baseOffset ? 1 : -1
      this.#baseDriftSince = at
    }
    this.#base = Math.max(1, Math.min(engines - 1, maxDedicated, first + this.#baseOffset))
  }

  // What the quick questions need is given up at once, what long prompts leave over slowly.
  #moveCount (at: number, wanted: number, maxDedicated: number): void {
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
 * The number of engines to set apart; at least one for each side where there are
 * two. Where both sides want more than there is, quick questions go first.
 */
export function computeDedicatedCount (demand: ReadingDemand): number {
  const { rates } = demand
  const engines = rates.length
  if (engines <= 1) return engines
  const needed = demand.tolerantRate / tolerantLoad + demand.waiting / backlogTargetS
  const tolerant = Math.max(countEngines(rates, needed), Math.ceil(demand.tolerantEngines))
  return Math.min(engines - 1, Math.max(1, Math.min(tolerant, countMaxDedicated(demand))))
}

// Engines that the requests with short pauses leave to long prompts.
function countMaxDedicated (demand: ReadingDemand): number {
  const engines = demand.rates.length
  return Math.max(1, engines - countSensitiveEngines(demand), Math.ceil(engines * minTolerantShare))
}

// Engines that the requests with short pauses need.
function countSensitiveEngines ({ rates, sensitiveRate: briskRate, sensitiveEngines: briskEngines }: ReadingDemand): number {
  const rate = rates[rates.length - 1]
  return Math.ceil(Math.max(briskRate / rate / sensitiveLoad, briskEngines, rates.length * minSensitiveShare, 1))
}

// The first engines that together read so much; one more than there are where they can't.
function countEngines (rates: readonly number[], needed: number): number {
  let left = needed
  for (let i = 0; i < rates.length; i++) {
    if (left <= 0) return i
    left -= rates[i]
  }
  return left <= 0 ? rates.length : rates.length + 1
}
