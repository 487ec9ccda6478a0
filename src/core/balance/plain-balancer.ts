/**
 * The plain calls of one box while the measures against contention are on: which of them wait, and what is known of
 * the endpoints when one is chosen. The decision itself is `decidePlain`. Load: calls of several services and
 * priorities that arrive while earlier ones wait, beside endpoints of a zone that is cut off.
 */
import type { ServiceName } from '../ids.js'
import { findMedian } from './average.js'
import type { Choice, NoChoice } from './choice.js'
import { crossZoneMs, doubtfulPenaltyMs, estimatePenaltyMs, findMedianFailureShare } from './endpoint-costs.js'
import type { BoxContext } from './endpoint-costs.js'
import type { EndpointView } from './endpoint-view.js'
import type { ServiceDemand } from './box-load.js'
import { composeKept } from './kept-slots.js'
import type { KeptCounts } from './kept-slots.js'
import { decidePlain, estimateRefusal } from './plain-choice.js'
import type { PlainCandidate, PlainDecision } from './plain-choice.js'
import { RateMeter } from './rate-meter.js'
import type { RequestProfile } from './work.js'

/** The newest decision on a call, for the log. */
export interface PlainExplanation {
  readonly type: PlainDecision['type']
  /** Expected time from arrival to the answer if the call waits or is given up; else from sending, plus penalties; ms. */
  readonly expectedMs: number
  /** Calls that wait in this box and go first. */
  readonly ahead: number
  /** Endpoints that are more likely to have a free slot than not, of those usable. */
  readonly free: number
  readonly candidates: number
  /** Until an answer would be in time, ms; null unless the call is given up. */
  readonly retryAfterMs: number | null
  /** Age of the totals, ms; null without a hub. */
  readonly totalsMs: number | null
}

export interface PlainContext {
  readonly boxContext: BoxContext
  /** Boxes that may send to the same endpoints without their load being known here, including this one. */
  readonly sharers: number
  readonly waitedMs: number
  readonly at: number
  readonly draw: number
}

/** What is known of a service. */
interface PlainService {
  /** In the order in which they began to wait. */
  readonly waiting: Set<RequestProfile>
  readonly arrivals: RateMeter
  /** Free slots by which estimates exceed what refusals show: the endpoint with the highest estimate is chosen, and other boxes choose it too. */
  excess: number
}

/** Assumed time of an answer while none of the service was received, ms. */
const initialAnswerMs = 100
/** Older totals count as none, ms: they are then discarded. */
const maxTotalsMs = 1500
/** Window over which the arrival rate is measured, ms. */
const rateWindowMs = 1000
/** Step by which a refusal corrects the estimates, in slots; sends correct them back by as much as refusals were expected. */
const excessStep = 0.1
/** Bound on the correction, in slots. */
const maxExcess = 2

export class PlainBalancer {
  #services = new Map<ServiceName, PlainService>()
  #explanations = new WeakMap<RequestProfile, PlainExplanation>()
  /** Calls that are not sent again if they are refused as full. */
  #lastSends = new WeakSet<RequestProfile>()
  /** Calls of workspaces over their share. */
  #overShare = new WeakSet<RequestProfile>()
  #countedAt = -Infinity

  noteArrival (work: RequestProfile, at: number): void { this.#find(work.service).arrivals.add(at, 1) }

  /** Notes that the workspace of a call is over its share: the call waits behind those of others. */
  noteOverShare (work: RequestProfile): void { this.#overShare.add(work) }

  isOverShare (work: RequestProfile): boolean { return this.#overShare.has(work) }

  /** Notes that a call starts or stops waiting in this box. */
  noteQueued (work: RequestProfile, isQueued: boolean): void {
    const { waiting } = this.#find(work.service)
    if (isQueued) waiting.add(work)
    else waiting.delete(work)
  }

  /** Notes that a call is not sent again if it is refused as full: it is sent only where a slot is probably free. */
  noteLastSend (work: RequestProfile): void { this.#lastSends.add(work) }

  isLastSend (work: RequestProfile): boolean { return this.#lastSends.has(work) }

  /** Applies the load of other boxes, as counted at `countedAt`. */
  noteTotals (views: Iterable<EndpointView>, demands: readonly ServiceDemand[], countedAt: number): void {
    this.#countedAt = countedAt
    const kept = new Map(demands.flatMap(demand => demand.kept ?? []))
    for (const view of views) view.plainOccupancy.noteTotal(view.othersRunning + (kept.get(view.id) ?? 0), countedAt)
  }

  /** Notes that an endpoint refused a call of this box as full; the call no longer counts as running there. */
  noteRefused (view: EndpointView, work: RequestProfile, at: number): void {
    const service = this.#find(work.service)
    service.excess = Math.min(maxExcess, service.excess + excessStep)
    this.#lastSends.add(work)
    view.keptSlots.clear()
    view.plainOccupancy.noteRefused(view.record.slots, view.ownRunning, at)
  }

  /** The slots that this box keeps, for its load report. */
  composeKept (views: readonly EndpointView[] | undefined, at: number): { kept?: KeptCounts } {
    return composeKept(views?.map(view => [view.id, view.keptSlots.count(at)] as const).filter(([, slots]) => slots > 0))
  }

  /** The newest decision on a call; undefined if there was none. */
  explain (work: RequestProfile): PlainExplanation | undefined { return this.#explanations.get(work) }

  /** Chooses among `views`, which may not be empty, for a plain call. */
  choose (views: readonly EndpointView[], work: RequestProfile, context: PlainContext): Choice | NoChoice {
    const { boxContext, waitedMs, at, draw } = context
    const service = this.#find(work.service)
    const ahead = this.#countAhead(service, work)
    // A new call goes behind those that wait; the queue tries them in order.
    if (ahead > 0 && !service.waiting.has(work)) return 'later'
    const reached = views.filter(({ record }) => !boxContext.zones.isUnreachable(record.zone, at))
    const usable = reached.length > 0 ? reached : views
    const candidates = describeCandidates(usable, context, service.excess)
    const perMs = service.arrivals.rate(at) / 1000
    usable.forEach(({ keptSlots }, index) => keptSlots.setUse(1 / perMs, candidates[index].slotMs))
    const ownSlots = perMs * (findMedian(candidates.map(({ slotMs }) => slotMs)) ?? 0)
    const decision = decidePlain({ candidates, targetMs: work.targetMs, waitedMs, ahead, ownSlots, share: findShare(usable, candidates), isLastSend: this.#lastSends.has(work), draw })
    const totalsMs = at - this.#countedAt
    this.#explanations.set(work, {
      type: decision.type,
      expectedMs: decision.expectedMs,
      ahead,
      free: candidates.filter(one => estimateRefusal(one) < 0.5).length,
      candidates: candidates.length,
      retryAfterMs: decision.type === 'late' ? decision.retryAfterMs : null,
      totalsMs: totalsMs > maxTotalsMs ? null : totalsMs
    })
    if (decision.type === 'wait') return 'later'
    if (decision.type === 'late') return 'late'
    service.excess = Math.max(-maxExcess, service.excess - excessStep * estimateRefusal(candidates[decision.index]))
    return { view: usable[decision.index], expectedMs: decision.expectedMs, plan: { readTokens: 0, fetch: null }, isAffinityEngine: false, candidates: views.length, dedicatedCount: 0 }
  }

  // Calls that wait and go first: more urgent ones, those of workspaces within their share, and earlier ones.
  #countAhead ({ waiting }: PlainService, work: RequestProfile): number {
    let ahead = 0
    let isBefore = true
    for (const other of waiting) {
      if (other === work) isBefore = false
      else if (this.#compare(other, work) < 0 || (isBefore && this.#compare(other, work) === 0)) ahead += 1
    }
    return ahead
  }

  #compare (a: RequestProfile, b: RequestProfile): number {
    return a.priority - b.priority || Number(this.isOverShare(a)) - Number(this.isOverShare(b))
  }

  #find (name: ServiceName): PlainService {
    let service = this.#services.get(name)
    if (service === undefined) this.#services.set(name, service = { waiting: new Set(), arrivals: new RateMeter(rateWindowMs), excess: 0 })
    return service
  }
}

function describeCandidates (views: readonly EndpointView[], { boxContext, sharers, at }: PlainContext, excess: number): PlainCandidate[] {
  const serviceMs = findMedian(views.flatMap(({ plainSpeed: { usualMs } }) => usualMs ?? [])) ?? initialAnswerMs
  const medianFailureShare = findMedianFailureShare(views)
  return views.map(view => {
    const { slots, zone } = view.record
    const answerMs = view.plainSpeed.estimate(serviceMs, view.measureLongest(at), at)
    const slotMs = view.plainOccupancy.estimateSlotMs(answerMs)
    const occupancy = { slots, own: view.ownRunning, slotMs, sharers }
    const { free, spread } = view.plainOccupancy.estimate(occupancy, at)
    // Where nothing is known to come from other boxes, the estimate is exact.
    const estimate = spread === 0 ? { free, spread } : { free: free - excess, spread }
    const kept = view.keptSlots.count(at)
    const distanceMs = zone === boxContext.zone ? 0 : crossZoneMs
    const penaltyMs = estimatePenaltyMs(view, boxContext, medianFailureShare, false, at) - distanceMs
    const isRefusing = view.plainOccupancy.isRefusing(occupancy, at)
    return { answerMs, slotMs, slots, ...(kept > estimate.free ? { free: kept, spread: 0 } : estimate), isRefusing, penaltyMs, isSound: penaltyMs < doubtfulPenaltyMs, distanceMs }
  })
}

// Fraction of the slots in use that this box uses, as if it had sent this call.
function findShare (views: readonly EndpointView[], candidates: readonly PlainCandidate[]): number {
  const own = 1 + views.reduce((sum, { ownRunning }) => sum + ownRunning, 0)
  const all = 1 + candidates.reduce((sum, { slots, free }) => sum + Math.max(0, slots - free), 0)
  return Math.min(1, own / all)
}
