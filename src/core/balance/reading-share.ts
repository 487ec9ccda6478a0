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
  readonly patientRate: number
  /** Tokens a second of the others. */
  readonly briskRate: number
  /** Tokens of patient requests that wait already. */
  readonly waiting: number
  /** Memory that patient requests in flight take, in engines. */
  readonly patientEngines: number
  /** Places that the others take, in engines. */
  readonly briskEngines: number
}

/** Engines set apart, and those of them that are homes. */
export interface ApartCount {
  readonly count: number
  readonly base: number
}

/**
 * Load by reading that engines set apart are filled to. An engine that reads all
 * the time gives its streams a token for each piece read, five times slower than
 * one that doesn't read: at 0.85 streams of the users' days took up all slots.
 */
const patientLoad = 0.65
/** Load by reading that the other engines bear: their prompts are short, and bursts of them must find room. */
const briskLoad = 0.6
/** Tokens that wait already are to be read within this time, s. */
const clearWaitingS = 2
/** Part of the engines that are never set apart: quick questions go on in any burst. */
const leastBriskShare = 0.2
/** Part of the engines that requests which bear long pauses get in any burst of the others: they still finish. */
const leastPatientShare = 0.3
/** Part of the engines set apart before anything was seen: what long prompts came to on the users' quiet days. */
const firstShare = 0.38
/** The share shrinks by one after so long without a need for it, ms. */
const shrinkAfterMs = 1500
/** The base moves by one after so long on another side of what is wanted, ms. */
const baseAfterMs = 10_000

export class ReadingShare {
  #count = 0
  #base = 0
  /** How far the base has moved from what it was at first. */
  #moved = 0
  #lessSince: number | null = null
  #awaySince: number | null = null

  /** Engines set apart at present, by this box's own measure, and those of them that are homes. */
  get counts (): ApartCount { return { count: this.#count, base: this.#base } }

  update (at: number, demand: ReadingDemand): ApartCount {
    const engines = demand.rates.length
    const wanted = computeShare(demand)
    const room = countRoom(demand)
    this.#moveBase(at, engines, wanted, room)
    this.#moveCount(at, Math.max(this.#base, wanted), Math.max(this.#base, room))
    this.#count = Math.min(this.#count, Math.max(1, engines - 1))
    return this.counts
  }

  #moveBase (at: number, engines: number, wanted: number, room: number): void {
    const first = Math.ceil(engines * firstShare)
    const isAway = wanted > first + this.#moved || wanted < first + this.#moved
    if (!isAway) this.#awaySince = null
    else this.#awaySince ??= at
    if (this.#awaySince !== null && at - this.#awaySince >= baseAfterMs) {
      this.#moved += wanted > first + this.#moved ? 1 : -1
      this.#awaySince = at
    }
    this.#base = Math.max(1, Math.min(engines - 1, room, first + this.#moved))
  }

  // What the quick questions need is given up at once, what long prompts leave over slowly.
  #moveCount (at: number, wanted: number, room: number): void {
    this.#count = Math.min(this.#count, room)
    if (wanted >= this.#count) {
      this.#count = wanted
      this.#lessSince = null
      return
    }
    this.#lessSince ??= at
    if (at - this.#lessSince < shrinkAfterMs) return
    this.#count -= 1
    this.#lessSince = at
  }
}

/**
 * The number of engines to set apart; at least one for each side where there are
 * two. Where both sides want more than there is, quick questions go first.
 */
export function computeShare (demand: ReadingDemand): number {
  const { rates } = demand
  const engines = rates.length
  if (engines <= 1) return engines
  const needed = demand.patientRate / patientLoad + demand.waiting / clearWaitingS
  const patient = Math.max(countEngines(rates, needed), Math.ceil(demand.patientEngines))
  return Math.min(engines - 1, Math.max(1, Math.min(patient, countRoom(demand))))
}

// Engines that the requests with short pauses leave to long prompts.
function countRoom (demand: ReadingDemand): number {
  const engines = demand.rates.length
  return Math.max(1, engines - countBrisk(demand), Math.ceil(engines * leastPatientShare))
}

// Engines that the requests with short pauses need.
function countBrisk ({ rates, briskRate, briskEngines }: ReadingDemand): number {
  const rate = rates[rates.length - 1]
  return Math.ceil(Math.max(briskRate / rate / briskLoad, briskEngines, rates.length * leastBriskShare, 1))
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
