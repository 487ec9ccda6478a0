/**
 * Applies the rate limits and back-off that endpoints ask for: tracks their notices, obtains
 * permits to send, and decides whether a request waits when no endpoint accepts it.
 */
import { NoticeStore, RetryAfterPlanner, sumLimits } from '../core/index.js'
import type { BoxId, EndpointNotice, EndpointRecord, EndpointView, Fleet, ServiceName, ServiceAvailability, RequestProfile, ZoneName } from '../core/index.js'
import type { EndpointNotices, RouteMessage } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { NoticeTracker } from './notice-tracker.js'
import { PermitClient } from './permit-client.js'
import { SlotClient } from './slot-client.js'
import type { SlotRequest } from './slot-client.js'
import type { PermitAnswer, SlotAnswer } from './registry-follower.js'

/** What this class needs from its box. */
export interface EndpointLimitsHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly fleet: Fleet
  readonly zone: ZoneName
  now (): number
  /** At least 0 and less than 1. */
  draw (): number
  /** Number of boxes that share a limit, including this one; 0 if unknown. */
  countBoxes (): number
  /** Number of requests of the service queued in this box at this priority or a more urgent one. */
  countQueued (service: ServiceName, priority: number): number
  /** There is something new to report to the hub. */
  noteNoticeChange (): void
  /** Sends to the registry that issues permits, or to one that may know it; false if none is reachable. */
  askIssuer (message: RouteMessage): boolean
  setIssuer (host: string | null): void
}

/** Decision on a request that no endpoint accepts now: it waits, or the caller is to retry after `afterMs`. */
export type ClosedDecision =
  | { readonly type: 'wait' }
  | { readonly type: 'retry', readonly afterMs: number }

export class EndpointLimits {
  #host: EndpointLimitsHost
  #notices: NoticeStore
  #noticeTracker: NoticeTracker
  #permitClient: PermitClient
  #slotClient: SlotClient
  #retryAfterPlanner = new RetryAfterPlanner()

  /** `notices`: the notices of the endpoints, shared with the fleet. */
  constructor (host: EndpointLimitsHost, notices: NoticeStore) {
    this.#host = host
    this.#notices = notices
    this.#noticeTracker = new NoticeTracker(host, notices)
    this.#slotClient = new SlotClient({
      log: host.log,
      fleet: host.fleet,
      zone: host.zone,
      now: () => host.now(),
      draw: () => host.draw(),
      countBoxes: () => host.countBoxes(),
      schedule: (delayMs, run) => { setTimeout(run, delayMs) },
      askIssuer: message => host.askIssuer(message),
      setIssuer: registry => host.setIssuer(registry)
    })
    this.#permitClient = new PermitClient({
      log: host.log,
      now: () => host.now(),
      countBoxes: () => host.countBoxes(),
      findView: endpoint => host.fleet.findView(endpoint),
      findNotice: endpoint => this.#notices.find(endpoint),
      send: message => host.askIssuer(message),
      setIssuer: registry => host.setIssuer(registry)
    })
  }

  /** Applies the notices in an answer; `hasRun`: the endpoint ran the request. */
  noteAnswer (view: EndpointView, notices: EndpointNotices, hasRun: boolean): void { this.#noticeTracker.noteAnswer(view, notices, hasRun) }

  /** Merges notices from the hub or a registry. */
  mergeNotices (notices: readonly EndpointNotice[], hub: BoxId): void { this.#noticeTracker.merge(notices, hub) }

  /** Notices that the hub has not confirmed. */
  listUnconfirmed (): readonly EndpointNotice[] { return this.#noticeTracker.listUnconfirmed() }

  /** The box reports to another hub from now on. */
  noteHubChange (): void { this.#noticeTracker.noteHubChange() }

  noteRecords (records: readonly EndpointRecord[]): void { this.#noticeTracker.noteRecords(records) }

  noteArrival ({ service, priority }: RequestProfile, at: number): void { this.#retryAfterPlanner.noteArrival(service, priority, at) }

  /** Requests a permit for one send; `respond` is called once with whether it was granted. */
  requestPermit (view: EndpointView, { priority }: RequestProfile, respond: (isGiven: boolean) => void): void { this.#permitClient.request(view, priority, respond) }

  /** Handles a registry's answer about permits. */
  takePermits (answer: PermitAnswer): void { this.#permitClient.receive(answer) }

  /** Waits for a slot of a service with brittle endpoints. */
  requestSlot (request: SlotRequest): void { this.#slotClient.request(request) }

  /** Withdraws a request for a slot. */
  cancelSlot (request: SlotRequest): void { this.#slotClient.cancel(request) }

  /** Handles a registry's answer about slots. */
  takeSlots (answer: SlotAnswer): void {
    if (answer.type === 'slots') this.#slotClient.receive(answer.service, answer.grants)
    else this.#slotClient.redirect(answer.service, answer.leader)
  }

  /** A send of this box has begun or ended. */
  noteLoad (): void { this.#slotClient.noteLoad() }

  /** Applies the time-outs of calls for permits and slots. */
  check (now: number): void {
    this.#permitClient.check(now)
    this.#slotClient.check(now)
  }

  /** Decides on a request that no endpoint accepts at `at`: it waits if an endpoint is expected to accept it by `until`. */
  decideClosed ({ service, priority }: RequestProfile, openAt: number, until: number, at: number): ClosedDecision {
    const availability = this.#findAvailability(service, openAt, at)
    const waitMs = this.#retryAfterPlanner.estimateWait(availability, this.#host.countQueued(service, priority) + this.#slotClient.count(service, priority))
    if (at + waitMs <= until) return { type: 'wait' }
    return { type: 'retry', afterMs: this.#retryAfterPlanner.plan(service, priority, availability, at) }
  }

  #findAvailability (service: ServiceName, openAt: number, at: number): ServiceAvailability {
    const perSecond = sumLimits(this.#host.fleet.findUsable(service, at)) / Math.max(1, this.#host.countBoxes())
    return { availableInMs: Math.max(0, openAt - at), perSecond }
  }
}
