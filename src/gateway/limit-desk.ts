/**
 * Limits and back-off that endpoints ask for, as one gateway keeps to them: what was said, who
 * gives leave to send, and what a request meets that finds all endpoints closed.
 */
import { NoticeBook, ReturnPlanner } from '../core/index.js'
import type { BoxId, EndpointNotice, EndpointRecord, EndpointView, Fleet, ServiceName, ServiceOpening, Work } from '../core/index.js'
import type { EndpointNotices, RouteMessage } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { NoticeTracker } from './notice-tracker.js'
import { PermitClient } from './permit-client.js'
import type { PermitAnswer } from './registry-follower.js'

/** What the desk needs of its box. */
export interface LimitDeskHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly fleet: Fleet
  now (): number
  /** Boxes that share a limit, this one included; 0 where that isn't known. */
  countBoxes (): number
  /** Requests of the service that wait in this box and don't go after one of this priority. */
  countHeld (service: ServiceName, priority: number): number
  /** There is something new to tell the hub. */
  noteNews (): void
  /** Sends to the registry that gives permits, as far as it is known; false where none can be reached. */
  askIssuer (message: RouteMessage): boolean
  setIssuer (host: string | null): void
}

/** What becomes of a request that no endpoint takes now, and after how long, ms. */
export type ClosedRuling =
  | { readonly type: 'wait' }
  | { readonly type: 'return', readonly afterMs: number }

export class LimitDesk {
  #host: LimitDeskHost
  #book: NoticeBook
  #noticeTracker: NoticeTracker
  #permitClient: PermitClient
  #returns = new ReturnPlanner()

  /** `book`: what endpoints have said, shared with the fleet. */
  constructor (host: LimitDeskHost, book: NoticeBook) {
    this.#host = host
    this.#book = book
    this.#noticeTracker = new NoticeTracker(host, book)
    this.#permitClient = new PermitClient({
      log: host.log,
      now: () => host.now(),
      countBoxes: () => host.countBoxes(),
      findView: endpoint => host.fleet.findView(endpoint),
      findNotice: endpoint => this.#book.find(endpoint),
      send: message => host.askIssuer(message),
      setIssuer: registry => host.setIssuer(registry)
    })
  }

  /** Takes what an endpoint says of itself on an answer; `hasRun`: the answer is that of a run. */
  noteAnswer (view: EndpointView, notices: EndpointNotices, hasRun: boolean): void { this.#noticeTracker.noteAnswer(view, notices, hasRun) }

  /** Takes what the hub tells. */
  mergeNotices (notices: readonly EndpointNotice[], hub: BoxId): void { this.#noticeTracker.merge(notices, hub) }

  /** The notices that the hub may not know. */
  listUntold (): readonly EndpointNotice[] { return this.#noticeTracker.listUntold() }

  /** Another hub is told from now on. */
  noteHubChange (): void { this.#noticeTracker.noteHubChange() }

  noteRecords (records: readonly EndpointRecord[]): void { this.#noticeTracker.noteRecords(records) }

  /** Takes word that a request arrived. */
  noteArrival ({ service, priority }: Work, at: number): void { this.#returns.noteArrival(service, priority, at) }

  /** Asks for a permit for one send; `take` hears once whether there is one. */
  askPermit (view: EndpointView, { priority }: Work, respond: (isGiven: boolean) => void): void { this.#permitClient.request(view, priority, respond) }

  /** Takes a registry's answer about permits. */
  takePermits (answer: PermitAnswer): void { this.#permitClient.receive(answer) }

  /** Looks at the time: calls that were not answered. */
  check (now: number): void { this.#permitClient.check(now) }

  /** Rules on a request that no endpoint takes at `at`: it waits where an endpoint is expected to take it by `until`. */
  ruleClosed ({ service, priority }: Work, openAt: number, until: number, at: number): ClosedRuling {
    const opening = this.#findOpening(service, openAt, at)
    const waitMs = this.#returns.estimateWait(opening, this.#host.countHeld(service, priority))
    if (at + waitMs <= until) return { type: 'wait' }
    return { type: 'return', afterMs: this.#returns.plan(service, priority, opening, at) }
  }

  #findOpening (service: ServiceName, openAt: number, at: number): ServiceOpening {
    const perSecond = this.#host.fleet.sumLimits(service, at) / Math.max(1, this.#host.countBoxes())
    return { openMs: Math.max(0, openAt - at), perSecond }
  }
}
