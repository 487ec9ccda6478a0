/**
 * The memory of load reports, on the account of the process: datagrams aren't authenticated, so anyone who reaches the
 * port can send reports of ever new boxes. A report for which there is no room is dropped, as the network may drop it.
 */
import type { BoxId } from '../core/index.js'
import type { Arrival, ClientMemory } from '../runtime/index.js'

/** Memory of decoded values for each byte of their encoding: that of empty lists. */
const valueFactor = 40

export class ReportMemory {
  #memory: ClientMemory
  #arrivals = new Map<BoxId, Arrival>()
  #drop: (box: BoxId) => void

  /** `drop`: is to forget the reports of a box, as others need the memory. */
  constructor (memory: ClientMemory, drop: (box: BoxId) => void) {
    this.#memory = memory
    this.#drop = drop
  }

  /** Accounts for a report of `bytes`, beside earlier ones of the same box if `isAdded`, else in their place. False if there is no room for it. */
  reserve (box: BoxId, bytes: number, isAdded: boolean): boolean {
    const arrival = this.#arrivals.get(box) ?? this.#open(box)
    return arrival.resize((isAdded ? arrival.heldBytes : 0) + bytes * valueFactor)
  }

  /** Frees the memory of a box whose reports have been forgotten. */
  free (box: BoxId): void {
    this.#arrivals.get(box)?.end()
    this.#arrivals.delete(box)
  }

  #open (box: BoxId): Arrival {
    const arrival = this.#memory.open(() => {
      this.#arrivals.delete(box)
      this.#drop(box)
    })
    this.#arrivals.set(box, arrival)
    return arrival
  }
}
