/**
 * What counts against an endpoint, in ms: the time that a request is expected
 * to take there, and what doubt, distance and lack of room are worth.
 */
import type { ZoneName } from '../ids.js'
import type { EngineProfile } from '../routes/index.js'
import { findMedian } from './average.js'
import type { EndpointView } from './endpoint-view.js'
import type { PromptPlan } from './prompt-plan.js'
import { countSharedTokens } from './prompt-reading.js'
import type { PromptCost, Work } from './work.js'
import type { ZoneMonitor } from './zone-monitor.js'

/** What an endpoint in another zone is worth less for a plain call, ms: bytes between zones are priced. */
const crossZoneMs = 8
/** The same for a stream, ms: it runs for seconds, and is lost where the zones part meanwhile. */
const crossZoneStreamMs = 30
/** What a doubtful endpoint, or one in a zone that fell silent, is worth less, ms: about what a lost request costs. */
const doubtfulPenaltyMs = 400
/** What each stream more slows the others, ms. */
const perStreamMs = 0.4
/** What each request beyond the slots waits, ms: a slot comes free every so often. */
export const queueMs = 60
/** What a request waits where memory is used up, ms. */
const memoryMs = 1500
/**
 * What a stream is worth that may have its pauses broken by a prompt that is read
 * beside it, ms: half of what a lost request is, as one prompt alone breaks few.
 */
const pauseBreakPenaltyMs = doubtfulPenaltyMs / 2
/** Reading for less than this part of the pause that bears reading breaks none. */
const harmlessShare = 0.5
/** Part of an engine's memory that requests in flight may be expected to take. */
const maxMemoryShare = 0.9
/** An endpoint whose failures exceed the middle of its service's by so much is taken last. */
const failureMargin = 0.25
/** What each box counts against an endpoint that has asked it to back off, ms: the endpoint is loaded. */
const backedOffMs = 30
/** What they count together at most, ms. */
const maxBackedOffMs = doubtfulPenaltyMs
/**
 * Reading that may wait at an engine, ms. An engine reads prompts in the order in
 * which they came, whatever their rank, so that what is less urgent waits here,
 * where it can be passed; so much keeps an engine busy until the next word.
 */
const maxEngineBacklogMs = 220
/**
 * Part of its target that a request waits for an engine that holds its shared parts,
 * before it is read anew elsewhere: reading all of them again costs others about what
 * a late answer costs its caller, on all users' days.
 */
const holderWaitShare = 1
/**
 * What a connection that must first be opened is worth, ms: two journeys and the
 * endpoint's work on it, and as much again for the place that it takes there.
 */
const connectMs = 8

/** Where a box stands and which zones it hears. */
export interface BoxContext {
  readonly zone: ZoneName
  readonly zones: ZoneMonitor
  /** True where a connection to an endpoint is open and at rest. */
  readonly isConnected: (view: EndpointView) => boolean
}

/** A prompt that is to be read at an engine, and how long its request has waited for one. */
export interface PromptRequest {
  readonly work: Work
  readonly cost: PromptCost
  readonly engine: EngineProfile
  readonly waitedMs: number
  /** The shortest pause with which a request goes beside reading, ms. */
  readonly minTolerantPauseMs: number
  /** True where the request's own pauses bear reading beside it. */
  readonly isPauseTolerant: boolean
}

/** Expected time of a plain call, ms: the usual time, longer where others run or wait. */
export function estimateCallMs (view: EndpointView): number {
  const { slots } = view.record
  const running = view.running
  const queued = Math.max(0, running + 1 - slots) / Math.max(1, slots)
  return view.answerMs.value * (1 + queued + 0.5 * running / Math.max(1, slots))
}

/** Expected time until an engine's first event, ms, where it comes by the prompt as planned. */
export function estimateFirstEventMs (view: EndpointView, { work, cost, engine, waitedMs, minTolerantPauseMs, isPauseTolerant }: PromptRequest, { readTokens, fetch }: PromptPlan, at: number): number {
  const running = view.running
  const readingMs = (view.countTokensAhead(work.priority, at) + readTokens) * view.readMsPerToken
  const ms = readingMs + running * perStreamMs + (fetch?.ms ?? 0)
  const rereadMs = computeRereadShare(readTokens, cost) * Math.max(0, work.targetMs * holderWaitShare - waitedMs)
  const queuedMs = Math.max(0, running + 1 - engine.slots) * queueMs
  const memoryWaitMs = view.memoryInUse + cost.promptTokens > engine.memoryTokens * maxMemoryShare ? memoryMs : 0
  const pauseBreakMs = isPauseTolerant ? view.countPauseSensitive(minTolerantPauseMs) * pauseBreakPenaltyMs * estimatePauseBreakRisk(readingMs, minTolerantPauseMs) : 0
  return ms + rereadMs + queuedMs + memoryWaitMs + pauseBreakMs
}

// Part of the shared tokens that are read again.
function computeRereadShare (readTokens: number, cost: PromptCost): number {
  const shared = countSharedTokens(cost)
  return shared === 0 ? 0 : Math.max(0, readTokens - (cost.promptTokens - shared)) / shared
}

// How surely reading for so long breaks a pause that doesn't bear reading all the time: a short read stretches only a part of it.
function estimatePauseBreakRisk (readingMs: number, minTolerantPauseMs: number): number {
  const share = readingMs / minTolerantPauseMs
  return Math.min(1, Math.max(0, (share - harmlessShare) / (1 - harmlessShare)))
}

/** What distance, a missing connection, silence and failures count against an endpoint, ms. `middle`: share of failures of the middle one beside it. */
export function estimatePenaltyMs (view: EndpointView, boxContext: BoxContext, medianFailureShare: number, isStream: boolean, at: number): number {
  const { zone } = view.record
  let ms = 0
  if (zone !== boxContext.zone) ms += isStream ? crossZoneStreamMs : crossZoneMs
  if (!boxContext.isConnected(view)) ms += connectMs
  if (boxContext.zones.isCut(zone, at)) ms += doubtfulPenaltyMs
  if (view.trust.look(at) !== 'good') ms += doubtfulPenaltyMs
  ms += Math.min(maxBackedOffMs, view.backedOffOthers * backedOffMs)
  if (view.trust.failureShare > medianFailureShare + failureMargin) ms += doubtfulPenaltyMs
  return ms + Math.max(0, view.measureOverdue(at))
}

/**
 * True where an engine can begin a prompt soon: what finds no room waits in the box, where it can be passed. `sharers`: boxes
 * that may be filling the engine unheard, this one included. Three that each filled it whole left tags 2 s behind quotes.
 */
export function hasRoom (view: EndpointView, cost: PromptCost, engine: EngineProfile, sharers: number, at: number): boolean {
  if (view.running >= engine.slots) return false
  if (view.running > 0 && view.memoryInUse + cost.promptTokens > engine.memoryTokens * maxMemoryShare) return false
  return view.countTokensAhead(Infinity, at) * view.readMsPerToken <= maxEngineBacklogMs / sharers
}

/** Share of failures of the middle one of some endpoints; 0 for none. */
export function findMedianFailureShare (views: readonly EndpointView[]): number {
  return findMedian(views.map(view => view.trust.failureShare)) ?? 0
}
