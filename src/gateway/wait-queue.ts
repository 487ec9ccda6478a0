/**
 * Requests that wait in this box for room at an engine. They are looked at again
 * whenever the work at the engines changes, and every few ms: the most urgent
 * first; of one rank those that can still be in time, then in order of arrival.
 */
import type { ServiceName, Work } from '../core/index.js'
import type { Exchange } from './exchange.js'

/** What the line needs of its box. */
export interface WaitQueueHost {
  now (): number
  draw (): number
  /** Boxes, this one included, in which requests of the service wait that don't go after one of this priority. */
  countWaitingBoxes (service: ServiceName, priority: number): number
  /** Engines of the service that are set apart for what waits. */
  countReservedEngines (service: ServiceName): number
}

/** How often the line is looked at while something waits, ms: a few times in the reading of one prompt. */
const retryIntervalMs = 15
/** Turns for each engine set apart: those that wait want different engines, though not evenly. */
const turnsPerEngine = 0.5
/** Requests that are tried at one look; those behind them would find no room either. */
const maxTries = 12

export class WaitQueue {
  #host: WaitQueueHost
  #waiting: Exchange[] = []
  #timer: NodeJS.Timeout | null = null
  #stalenessMs = 0

  constructor (host: WaitQueueHost) {
    this.#host = host
  }

  /** Requests that wait. */
  get length (): number { return this.#waiting.length }

  /** Requests of a service that wait and don't go after one of this priority. */
  count (service: ServiceName, priority: number): number {
    return this.#waiting.filter(({ order: { work } }) => work.service === service && work.priority <= priority).length
  }

  /** Takes how old the other boxes' work is when it is told, ms. */
  setStaleness (ms: number): void { this.#stalenessMs = ms }

  /** Lets a request wait until it is taken out with `remove`. */
  add (exchange: Exchange): void {
    this.#waiting.push(exchange)
    this.#timer ??= setInterval(() => this.retry(), retryIntervalMs)
  }

  /** Takes a request out; does nothing for one that doesn't wait. */
  remove (exchange: Exchange): void {
    const at = this.#waiting.indexOf(exchange)
    if (at >= 0) this.#waiting.splice(at, 1)
    if (this.#waiting.length === 0) this.close()
  }

  /**
   * Tries those that wait. Boxes that see the same engine come free would all
   * fill it before they hear of each other: where several wait, about one of
   * them for each engine goes ahead in the time that a word takes, by lot. Boxes
   * whose requests all go after the first of this one don't take part.
   */
  retry (): void {
    if (this.#waiting.length === 0) return
    const now = this.#host.now()
    const ordered = [...this.#waiting].sort((a, b) => compareUrgency(a, b, now))
    if (!this.#drawTurn(ordered[0].order.work)) return
    for (const exchange of ordered.slice(0, maxTries)) exchange.tryPlace()
  }

  /** Stops looking; whatever waits is left as it is. */
  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
  }

  // The share of turns is the engines' over the boxes', spread over the looks of the time that a word takes.
  #drawTurn ({ service, priority }: Work): boolean {
    const boxes = this.#host.countWaitingBoxes(service, priority)
    if (boxes <= 1) return true
    const retriesPerUpdate = Math.max(1, this.#stalenessMs / retryIntervalMs)
    return this.#host.draw() * boxes * retriesPerUpdate < Math.max(1, this.#host.countReservedEngines(service) * turnsPerEngine)
  }
}

function compareUrgency (a: Exchange, b: Exchange, now: number): number {
  const first = a.order
  const second = b.order
  if (first.work.priority !== second.work.priority) return first.work.priority - second.work.priority
  const lateness = Number(isLate(a, now)) - Number(isLate(b, now))
  return lateness !== 0 ? lateness : first.arrivedAt - second.arrivedAt
}

function isLate ({ order }: Exchange, now: number): boolean {
  return now - order.arrivedAt > order.work.targetMs
}
