/**
 * Plain calls that wait in this box for a free slot, while the measures against contention are on: the most urgent
 * first, those of workspaces within their share before those over it, then by arrival. They are tried again as soon as a send of this box ends or the load of the others
 * changes. Load: calls that arrive while others wait, which must not overtake them between two retries.
 */
import type { RequestProfile, ServiceName } from '../core/index.js'

export interface WaitingCall {
  readonly request: { readonly work: RequestProfile, readonly arrivedAt: number }
  /** Sends the call if there is room, or gives it up; else it goes on waiting. */
  tryPlace (): void
}

export class PlainWaitQueue<C extends WaitingCall> {
  #waiting: C[] = []
  #isScheduled = false
  #isOverShare: (work: RequestProfile) => boolean

  /** `isOverShare`: true for a call whose workspace is over its share. */
  constructor (isOverShare: (work: RequestProfile) => boolean = () => false) {
    this.#isOverShare = isOverShare
  }

  get length (): number { return this.#waiting.length }

  /** Number of calls of a service that wait at this priority or a more urgent one. */
  count (service: ServiceName, priority: number): number {
    return this.#waiting.filter(({ request: { work } }) => work.service === service && work.priority <= priority).length
  }

  add (call: C): void {
    this.#waiting.push(call)
    this.schedule()
  }

  /** Removes a call; does nothing if it isn't waiting. */
  remove (call: C): void {
    const at = this.#waiting.indexOf(call)
    if (at >= 0) this.#waiting.splice(at, 1)
  }

  /** Tries all calls once the current event has been handled. */
  schedule (): void {
    if (this.#isScheduled || this.#waiting.length === 0) return
    this.#isScheduled = true
    queueMicrotask(() => this.retry())
  }

  /** Tries all calls now, in order. */
  retry (): void {
    this.#isScheduled = false
    for (const call of [...this.#waiting].sort((a, b) => this.#compareUrgency(a, b))) call.tryPlace()
  }

  #compareUrgency ({ request: a }: C, { request: b }: C): number {
    return a.work.priority - b.work.priority || Number(this.#isOverShare(a.work)) - Number(this.#isOverShare(b.work)) || a.arrivedAt - b.arrivedAt
  }
}
