/**
 * Requests that wait in this box for room at an engine. They are retried when the
 * load of the engines changes, and every few ms: the most urgent first; within a
 * priority first those that can still meet their target, then by arrival.
 */
import type { Fleet, ServiceName, RequestProfile } from '../core/index.js'
import type { Exchange } from './exchange.js'
import { PlainWaitQueue } from './plain-wait-queue.js'

/** What the queue needs from its box. */
export interface WaitQueueHost {
  now (): number
  draw (): number
  /** True if the workspace of a plain call is over its share. */
  isOverShare (work: RequestProfile): boolean
  /** True if plain calls wait in an order of their own. */
  isPlainOrdered (): boolean
  /** Number of boxes, including this one, in which requests of the service wait at this priority or a more urgent one. */
  countWaitingBoxes (service: ServiceName, priority: number): number
  /** Number of engines of the service that are reserved for waiting requests. */
  countReservedEngines (service: ServiceName): number
}

/** Composes the queue's host from the box's view of the endpoints. */
export function createQueueHost (fleet: Fleet, now: () => number): WaitQueueHost {
  return {
    now,
    draw: Math.random,
    isPlainOrdered: () => fleet.contention.isOn,
    isOverShare: work => fleet.plain.isOverShare(work),
    countWaitingBoxes: (service, priority) => fleet.countHolders(service, priority),
    countReservedEngines: service => fleet.countDedicated(service)
  }
}

/** Interval of retries while requests wait, ms: several times within the prefill of one prompt. */
const retryIntervalMs = 15
/** Turns per reserved engine: waiting requests prefer different engines, but not evenly. */
const turnsPerEngine = 0.5
/** Requests tried in one retry; those behind them would find no room either. */
const maxTries = 12

export class WaitQueue {
  #host: WaitQueueHost
  #waiting: Exchange[] = []
  #plain: PlainWaitQueue<Exchange>
  #timer: NodeJS.Timeout | null = null
  #stalenessMs = 0

  constructor (host: WaitQueueHost) {
    this.#host = host
    this.#plain = new PlainWaitQueue(work => host.isOverShare(work))
  }

  /** Number of waiting requests. */
  get length (): number { return this.#waiting.length + this.#plain.length }

  /** Number of requests of a service that wait at this priority or a more urgent one. */
  count (service: ServiceName, priority: number): number {
    return this.#plain.count(service, priority) + this.#waiting.filter(({ request: { work } }) => work.service === service && work.priority <= priority).length
  }

  /** Sets how old the load of the other boxes is when it is received, ms. */
  setStaleness (ms: number): void { this.#stalenessMs = ms }

  /** Adds a request, which waits until `remove`. */
  add (exchange: Exchange): void {
    if (exchange.request.work.cost === null && this.#host.isPlainOrdered()) this.#plain.add(exchange)
    else this.#waiting.push(exchange)
    this.#timer ??= setInterval(() => this.retry(), retryIntervalMs)
  }

  /** Removes a request; does nothing if it isn't waiting. */
  remove (exchange: Exchange): void {
    const at = this.#waiting.indexOf(exchange)
    if (at >= 0) this.#waiting.splice(at, 1)
    this.#plain.remove(exchange)
    if (this.length === 0) this.close()
  }

  /**
   * Retries waiting requests. Boxes that see the same engine become free would all
   * fill it before they learn of each other's load. If requests wait in several
   * boxes, a random draw lets about one box per engine go ahead in the time that a
   * load update takes. Boxes with only less urgent requests don't take part.
   */
  retry (): void {
    this.#plain.retry()
    if (this.#waiting.length === 0) return
    const now = this.#host.now()
    const ordered = [...this.#waiting].sort((a, b) => compareUrgency(a, b, now))
    if (!this.#drawTurn(ordered[0].request.work)) return
    for (const exchange of ordered.slice(0, maxTries)) exchange.tryPlace()
  }

  /** A send of this box has begun or ended. */
  noteLoad (): void { this.#plain.schedule() }

  /** Stops the retries; waiting requests are left as they are. */
  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
  }

  // The probability of a turn is engines over boxes, divided by the retries within the time that a load update takes.
  #drawTurn ({ service, priority }: RequestProfile): boolean {
    const boxes = this.#host.countWaitingBoxes(service, priority)
    if (boxes <= 1) return true
    const retriesPerUpdate = Math.max(1, this.#stalenessMs / retryIntervalMs)
    return this.#host.draw() * boxes * retriesPerUpdate < Math.max(1, this.#host.countReservedEngines(service) * turnsPerEngine)
  }
}

function compareUrgency (a: Exchange, b: Exchange, now: number): number {
  const first = a.request
  const second = b.request
  if (first.work.priority !== second.work.priority) return first.work.priority - second.work.priority
  const lateness = Number(isLate(a, now)) - Number(isLate(b, now))
  return lateness !== 0 ? lateness : first.arrivedAt - second.arrivedAt
}

function isLate ({ request }: Exchange, now: number): boolean {
  return now - request.arrivedAt > request.work.targetMs
}
