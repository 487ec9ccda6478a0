/** Costs of using an endpoint, in ms: the expected time of a request there, plus penalties for doubtful health, distance and lack of capacity. */
import type { ZoneName } from '../ids.js'
import type { EngineProfile } from '../routes/index.js'
import { findMedian } from './average.js'
import type { EndpointView } from './endpoint-view.js'
import { estimatePauseCostMs } from './pause-forecast.js'
import type { PauseLimits } from './pause-forecast.js'
import type { PromptPlan } from './prompt-plan.js'
import { countSharedTokens } from './prompt-reading.js'
import type { PromptCost, RequestProfile } from './work.js'
import type { ZoneMonitor } from './zone-monitor.js'

/** Penalty of an endpoint in another zone for a plain call, ms: traffic between zones is billed. */
export const crossZoneMs = 8
/** The same for a stream, ms: it runs for seconds and is lost if the link between the zones fails. */
const crossZoneStreamMs = 30
/** Penalty of an endpoint that is doubtful, failing or in an unreachable zone, ms: about the cost of a lost request. */
export const doubtfulPenaltyMs = 400
/** Penalty of an endpoint without a free slot for a plain call, ms: a refused call may be sent again, a lost one often may not. */
const fullPenaltyMs = doubtfulPenaltyMs / 2
/**
 * From this fraction of its slots on, an endpoint may be full by now, as totals of the other boxes lag. This counts for a call
 * that is not sent again if it is refused.
 */
const doubtfulUseShare = 0.5
/** Delay that each stream causes to the others, ms. */
const perStreamMs = 0.4
/**
 * The same while there is contention and the request is pause-sensitive: where streams run for half a second, each one stands for two prompts a
 * second that the engine reads in 10 to 20 ms. Otherwise 29 streams ran at one engine and 5 at the next, and every fifth broke its limit.
 */
const perSensitiveStreamMs = 2
/** Wait for each request beyond the slots, ms: about the interval at which slots are released. */
export const queueMs = 60
/** Wait of a request for an engine whose memory is exhausted, ms. */
const memoryExhaustedMs = 1500
/**
 * Penalty for each stream whose pause limit may be violated by reading a prompt beside it, ms: half the cost of a
 * lost request, as a single prompt rarely violates it.
 */
const pauseBreakPenaltyMs = doubtfulPenaltyMs / 2
/** Reading that takes less than this fraction of the shortest tolerant pause violates no limit. */
const harmlessShare = 0.5
/** Fraction of an engine's memory that requests in flight may be expected to take. */
const maxMemoryShare = 0.9
/** An endpoint whose failure share exceeds the median of its service by more than this is avoided. */
const failureMargin = 0.25
/** Penalty for each other box that the endpoint has asked to back off, ms: the endpoint is loaded. */
const backedOffMs = 30
/** Upper bound on the sum of these penalties, ms. */
const maxBackedOffMs = doubtfulPenaltyMs
/**
 * Maximum read time of the prompts queued at an engine, ms. Engines read in order of arrival, whatever the
 * priority, so less urgent requests wait in the box, where urgent ones can overtake them. This is enough to keep
 * an engine busy until the next load report.
 */
const maxEngineBacklogMs = 220
/**
 * Fraction of its target that a request waits for an engine that has its shared parts cached, before they are read
 * again elsewhere: over all user load, reading all of them again costs other requests about as much as a late
 * answer costs this one.
 */
const holderWaitShare = 1
/**
 * Penalty of an endpoint to which a connection must first be opened, ms: two round trips and the endpoint's work
 * for it, and as much again for the connection slot that it takes there.
 */
const connectMs = 8

/** The zone and connectivity of this box, from which endpoints are rated. */
export interface BoxContext {
  readonly zone: ZoneName
  readonly zones: ZoneMonitor
  /** True if there is an open, idle connection to an endpoint. */
  readonly isConnected: (view: EndpointView) => boolean
}

/** A request whose prompt is to be read by an engine, and how long it has waited for one. */
export interface PromptRequest {
  readonly work: RequestProfile
  readonly cost: PromptCost
  readonly engine: EngineProfile
  readonly waitedMs: number
  /** The shortest allowed pause with which a request is pause-tolerant, ms. */
  readonly minTolerantPauseMs: number
  /** Limits for the forecast of pauses; null while the measures against contention are off. */
  readonly pauseLimits: PauseLimits | null
  /** True if the request itself tolerates prompt reading beside it. */
  readonly isPauseTolerant: boolean
}

/**
 * Expected time of a plain call, ms: the time that calls take there, `answerMs`, increased by running and queued requests; a full
 * endpoint refuses. `isLastSend`: whether the call is not sent again then.
 */
export function estimateCallMs (view: EndpointView, answerMs: number, isLastSend: boolean): number {
  const { slots } = view.record
  const running = view.running
  const queued = Math.max(0, running + 1 - slots) / Math.max(1, slots)
  const refusalMs = slots > 0 ? fullPenaltyMs * estimateRefusalRisk(running / slots, isLastSend) : 0
  return answerMs * (1 + queued + 0.5 * running / Math.max(1, slots)) + refusalMs
}

function estimateRefusalRisk (usedShare: number, isLastSend: boolean): number {
  if (usedShare >= 1) return 1
  return isLastSend ? Math.max(0, usedShare - doubtfulUseShare) / (1 - doubtfulUseShare) : 0
}

/** Expected time until an engine's first event, ms, if it obtains the prompt as planned. */
export function estimateFirstEventMs (view: EndpointView, request: PromptRequest, { readTokens, fetch }: PromptPlan, at: number): number {
  const { work, cost, engine, waitedMs } = request
  const running = view.running
  const readingMs = (view.countTokensAhead(work.priority, at) + readTokens) * view.readMsPerToken
  const streamMs = request.pauseLimits !== null && !request.isPauseTolerant ? perSensitiveStreamMs : perStreamMs
  const busyMs = readingMs + running * streamMs + (fetch?.ms ?? 0)
  const rereadMs = computeRereadShare(readTokens, cost) * Math.max(0, work.targetMs * holderWaitShare - waitedMs)
  const queuedMs = Math.max(0, running + 1 - engine.slots) * queueMs
  const memoryWaitMs = view.memoryInUse + cost.promptTokens > engine.memoryTokens * maxMemoryShare ? memoryExhaustedMs : 0
  return busyMs + rereadMs + queuedMs + memoryWaitMs + estimatePauseBreakMs(view, request, readTokens, at)
}

// Cost of the pause limits that reading the prompt may violate.
function estimatePauseBreakMs (view: EndpointView, { work, minTolerantPauseMs, pauseLimits, isPauseTolerant }: PromptRequest, readTokens: number, at: number): number {
  const sensitiveStreams = view.countPauseSensitive(minTolerantPauseMs)
  if (pauseLimits !== null) {
    return estimatePauseCostMs({
      limits: pauseLimits,
      slowness: view.slowness,
      aheadMs: view.countTokensAhead(Infinity, at) * view.readMsPerToken,
      readingMs: readTokens * view.readMsPerToken,
      sensitiveStreams,
      pauseMs: work.pauseMs
    })
  }
  if (!isPauseTolerant) return 0
  const readingMs = (view.countTokensAhead(work.priority, at) + readTokens) * view.readMsPerToken
  return sensitiveStreams * pauseBreakPenaltyMs * estimatePauseBreakRisk(readingMs, minTolerantPauseMs)
}

// Fraction of the shared tokens that is read again.
function computeRereadShare (readTokens: number, cost: PromptCost): number {
  const shared = countSharedTokens(cost)
  return shared === 0 ? 0 : Math.max(0, readTokens - (cost.promptTokens - shared)) / shared
}

// Probability, as a rough estimate, that reading for this time violates the pause limit of a pause-sensitive stream: a short read lengthens only
// part of a pause.
function estimatePauseBreakRisk (readingMs: number, minTolerantPauseMs: number): number {
  const share = readingMs / minTolerantPauseMs
  return Math.min(1, Math.max(0, (share - harmlessShare) / (1 - harmlessShare)))
}

/** Penalties for distance, a missing connection, overdue answers and failures, ms. `medianFailureShare`: over the endpoints it competes with. */
export function estimatePenaltyMs (view: EndpointView, boxContext: BoxContext, medianFailureShare: number, isStream: boolean, at: number): number {
  const { zone } = view.record
  let ms = 0
  if (zone !== boxContext.zone) ms += isStream ? crossZoneStreamMs : crossZoneMs
  if (!boxContext.isConnected(view)) ms += connectMs
  if (boxContext.zones.isUnreachable(zone, at)) ms += doubtfulPenaltyMs
  if (view.health.findState(at) !== 'good') ms += doubtfulPenaltyMs
  ms += Math.min(maxBackedOffMs, view.backedOffOthers * backedOffMs)
  if (view.health.failureShare > medianFailureShare + failureMargin) ms += doubtfulPenaltyMs
  return ms + Math.max(0, view.measureOverdue(at))
}

/**
 * True if an engine can start a prompt soon; otherwise the request waits in the box, where more urgent ones can
 * overtake it. `sharers`: number of boxes, including this one, that may send to the engine without their load
 * being known here. Each gets an equal part of the backlog limit: with the whole limit each, three boxes delayed
 * urgent requests by 2 s.
 */
export function hasRoom (view: EndpointView, cost: PromptCost, engine: EngineProfile, sharers: number, at: number): boolean {
  if (view.running >= engine.slots) return false
  if (view.running > 0 && view.memoryInUse + cost.promptTokens > engine.memoryTokens * maxMemoryShare) return false
  return view.countTokensAhead(Infinity, at) * view.readMsPerToken <= maxEngineBacklogMs / sharers
}

/** Median failure share of some endpoints; 0 for none. */
export function findMedianFailureShare (views: readonly EndpointView[]): number {
  return findMedian(views.map(view => view.health.failureShare)) ?? 0
}
