/**
 * One account of all memory that a process holds for its clients: requests that arrive, whole ones until they have
 * ended, and answers that were not read. All listeners of a process share it.
 */
import { BlockPool } from './block-pool.js'
import { collectYoungGarbage } from './collect-garbage.js'
import { chooseRefused, computeLargestRequest, isLarge, mayGrow } from './refusal-choice.js'
import type { ArrivingRequest } from './refusal-choice.js'

/** Memory of something that has been accepted; it is never refused afterwards. */
export interface MemoryHold {
  /** Accounts for `bytes` more, but for no more than the largest request; false, and nothing is changed, if there is no room for them. */
  grow (bytes: number): boolean
  /** Further calls do nothing. */
  release (): void
}

/** Share of the budget that is kept of blocks which are not in use. */
const freeBlocksShare = 1 / 4
/** Share of the budget that is read before buffers are looked at, and the share that may be left uncollected then. */
const readShare = 1 / 4
const uncollectedShare = 1 / 2

export class ClientMemory {
  readonly budgetBytes: number
  /** Memory in which bodies arrive. */
  readonly blocks: BlockPool
  #arrivals = new Set<Arrival>()
  #arrivingBytes = 0
  #acceptedBytes = 0
  #answerBytes = 0
  /** Bytes that were read since buffers were last looked at. */
  #readBytes = 0

  constructor (budgetBytes: number) {
    this.budgetBytes = budgetBytes
    this.blocks = new BlockPool(budgetBytes * freeBlocksShare)
  }

  /** All that is held, bytes. */
  get totalBytes (): number { return this.#arrivingBytes + this.#acceptedBytes + this.#answerBytes }
  /** What is held of requests, bytes. */
  get requestBytes (): number { return this.#arrivingBytes + this.#acceptedBytes }
  /** What is held for accepted requests and their answers, bytes. */
  get acceptedBytes (): number { return this.#acceptedBytes + this.#answerBytes }
  /** The largest body that is accepted, whatever the limit on one body is, bytes. */
  get largestRequestBytes (): number { return computeLargestRequest(this.budgetBytes) }

  /** Notes a request that begins to arrive; `refuse` is called at most once, when its memory is needed for others. */
  open (refuse: () => void): Arrival { return new Arrival(this, refuse) }

  /** Notes that answers hold `delta` bytes more than before. */
  noteAnswers (delta: number): void { this.#answerBytes += delta }

  /** Notes that `bytes` were read from a client, also of what is refused or discarded. */
  noteRead (bytes: number): void {
    this.#readBytes += bytes
    if (this.#readBytes < this.budgetBytes * readShare) return
    this.#readBytes = 0
    // Collecting more often than needed keeps what is young until the next full collection.
    if (process.memoryUsage().arrayBuffers - this.totalBytes > this.budgetBytes * uncollectedShare) collectYoungGarbage()
  }

  /** Refuses arriving requests while the budget is exceeded. */
  check (): void {
    while (this.totalBytes > this.budgetBytes && this.#refuseOne(null)) { /* the next one */ }
  }

  /** For `Arrival`: reserves memory, and refuses others if that is needed. False if `arrival` itself has to be refused. */
  reserve (arrival: Arrival, bytes: number): boolean {
    this.#arrivals.add(arrival)
    const size = arrival.heldBytes + bytes
    while (!mayGrow(size, bytes, this)) {
      if (!this.#refuseOne(isLarge(size) ? arrival : null) || arrival.isEnded) return false
    }
    this.#arrivingBytes += bytes
    return true
  }

  /** For `Arrival`: the memory of a part of an arriving request is free again. */
  free (bytes: number): void { this.#arrivingBytes -= bytes }

  /** For `Arrival`: nothing of the request arrives any more. */
  forget (arrival: Arrival): void {
    this.#arrivals.delete(arrival)
    this.#arrivingBytes -= arrival.heldBytes
  }

  /** Accounts for an accepted request. */
  hold (bytes: number): MemoryHold {
    let heldBytes = bytes
    this.#acceptedBytes += bytes
    return {
      grow: more => {
        const counted = Math.max(0, Math.min(more, this.largestRequestBytes - heldBytes))
        if (counted > 0 && !mayGrow(heldBytes + counted, counted, this)) return false
        heldBytes += counted
        this.#acceptedBytes += counted
        return true
      },
      release: () => {
        this.#acceptedBytes -= heldBytes
        heldBytes = 0
      }
    }
  }

  #refuseOne (large: Arrival | null): boolean {
    const refused = chooseRefused(this.#arrivals, performance.now(), large)
    refused?.refuse()
    return refused !== null
  }
}

/** The memory of one arriving request. */
export class Arrival implements ArrivingRequest {
  readonly startedAt = performance.now()
  movedAt = this.startedAt
  #memory: ClientMemory
  #refuse: () => void
  #heldBytes = 0
  #isEnded = false

  constructor (memory: ClientMemory, refuse: () => void) {
    this.#memory = memory
    this.#refuse = refuse
  }

  get heldBytes (): number { return this.#heldBytes }
  get isEnded (): boolean { return this.#isEnded }

  /** Sets the memory that the request uses; false if it is refused. */
  resize (bytes: number): boolean {
    if (this.#isEnded) return false
    this.movedAt = performance.now()
    const more = bytes - this.#heldBytes
    if (more <= 0) this.#memory.free(-more)
    else if (!this.#memory.reserve(this, more)) {
      if (!this.#isEnded) this.refuse()
      return false
    }
    this.#heldBytes = bytes
    return true
  }

  /** Notes that some of the request has arrived. */
  noteMove (): void { this.movedAt = performance.now() }

  refuse (): void {
    this.end()
    this.#refuse()
  }

  /** The request is complete: `bytes` are accounted for until the hold is released. */
  accept (bytes: number): MemoryHold {
    this.end()
    return this.#memory.hold(bytes)
  }

  /** Frees its memory. */
  end (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#memory.forget(this)
    this.#heldBytes = 0
  }
}
