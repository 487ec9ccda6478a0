/**
 * How many engines of a service are set apart for long prompts. An engine reads
 * prompts piece by piece between the tokens of what runs there, so that a long
 * prompt stretches the pauses of all streams beside it. Requests that bear such
 * pauses go to the engines set apart; the others keep the rest to themselves.
 */

/** What the share is worked out from; tokens are prompt tokens still to be read. */
export interface ReadingDemand {
  readonly engines: number
  /** Tokens a second of requests that bear long pauses. */
  readonly patientRate: number
  /** Tokens a second of the others. */
  readonly briskRate: number
  /** Tokens of patient requests that wait already. */
  readonly patientWaiting: number
  /** Streams of the others that run. */
  readonly briskRunning: number
  /** Streams that one engine runs at once. */
  readonly slots: number
  /** Tokens that one engine reads in a second. */
  readonly engineRate: number
}

/** Load that engines set apart are filled to; above it, first events wait too long. */
const patientLoad = 0.65
/** Load by reading that the other engines bear without breaking pauses. */
const briskLoad = 0.4
/** Share of the slots that the other engines are filled to. */
const briskSlots = 0.6
/** Tokens that wait already are to be read within this time, s. */
const clearWaitingS = 1
/** The share shrinks only after so long, ms: prompts that were read where engines came free are still in memory there. */
const shrinkAfterMs = 1500

export class ReadingShare {
  #count = 0
  #wantedLessSince: number | null = null

  /** The number of engines set apart at present. */
  get count (): number { return this.#count }

  update (at: number, demand: ReadingDemand): number {
    const wanted = computeShare(demand)
    if (wanted >= this.#count) {
      this.#count = wanted
      this.#wantedLessSince = null
    } else {
      this.#wantedLessSince ??= at
      if (at - this.#wantedLessSince >= shrinkAfterMs) {
        this.#count -= 1
        this.#wantedLessSince = at
      }
    }
    this.#count = Math.min(this.#count, demand.engines)
    return this.#count
  }
}

/** The number of engines to set apart; at least one for each side where there are two. */
export function computeShare (demand: ReadingDemand): number {
  const { engines, engineRate } = demand
  if (engines <= 1) return engines
  const patient = demand.patientRate / engineRate / patientLoad + demand.patientWaiting / engineRate / clearWaitingS
  const brisk = Math.max(demand.briskRate / engineRate / briskLoad, demand.briskRunning / demand.slots / briskSlots, 1)
  const room = engines - Math.ceil(brisk)
  const fair = Math.round(engines * patient / (patient + brisk))
  const wanted = patient <= room ? Math.ceil(patient) : Math.max(room, fair)
  return Math.min(engines - 1, Math.max(1, wanted))
}
