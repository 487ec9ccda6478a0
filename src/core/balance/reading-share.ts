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
  readonly engines: number
  /** Tokens a second of requests that bear long pauses. */
  readonly patientRate: number
  /** Tokens a second of the others. */
  readonly briskRate: number
  /** Tokens that wait already. */
  readonly waiting: number
  /** Memory that patient requests in flight take, in engines. */
  readonly patientEngines: number
  /** Tokens that one engine reads in a second. */
  readonly engineRate: number
}

/** Engines set apart, and those of them that are homes. */
export interface ApartCount {
  readonly count: number
  readonly base: number
}

/** Load by reading that engines set apart are filled to: their requests bear waits of a second. */
const patientLoad = 0.9
/** Load by reading that the other engines bear without breaking pauses. */
const briskLoad = 0.4
/** Tokens that wait already are to be read within this time, s. */
const clearWaitingS = 2
/** Part of the engines set apart before anything was seen: what long prompts came to on the users' quiet days. */
const firstShare = 0.38
/** The share shrinks by one after so long, ms. */
const shrinkAfterMs = 1500
/** The base moves by one after so long on another side of what is wanted, ms. */
const baseAfterMs = 8000

export class ReadingShare {
  #count = 0
  #base = 0
  #lessSince: number | null = null
  #awaySince: number | null = null

  /** Engines set apart at present, by this box's own measure. */
  get count (): number { return this.#count }
  get base (): number { return this.#base }

  update (at: number, demand: ReadingDemand): ApartCount {
    const most = Math.max(1, demand.engines - 1)
    if (this.#base === 0) this.#base = Math.min(most, Math.ceil(demand.engines * firstShare))
    const wanted = computeShare(demand)
    this.#moveBase(at, Math.min(most, wanted))
    this.#moveCount(at, Math.max(this.#base, wanted))
    return { count: Math.min(this.#count, demand.engines), base: Math.min(this.#base, demand.engines) }
  }

  #moveBase (at: number, wanted: number): void {
    const isAway = wanted > this.#base || wanted < this.#base - 1
    if (!isAway) this.#awaySince = null
    else this.#awaySince ??= at
    if (this.#awaySince === null || at - this.#awaySince < baseAfterMs) return
    this.#base += wanted > this.#base ? 1 : -1
    this.#awaySince = at
  }

  #moveCount (at: number, wanted: number): void {
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

/** The number of engines to set apart; at least one for each side where there are two. */
export function computeShare (demand: ReadingDemand): number {
  const { engines, engineRate } = demand
  if (engines <= 1) return engines
  const reading = demand.patientRate / engineRate / patientLoad + demand.waiting / engineRate / clearWaitingS
  const patient = Math.max(reading, demand.patientEngines)
  const brisk = Math.max(demand.briskRate / engineRate / briskLoad, 1)
  const room = engines - Math.ceil(brisk)
  const fair = Math.round(engines * patient / (patient + brisk))
  const wanted = patient <= room ? Math.ceil(patient) : Math.max(room, fair)
  return Math.min(engines - 1, Math.max(1, wanted))
}
