/**
 * What counts against an endpoint, in ms: the time that a request is expected
 * to take there, and what doubt, distance and lack of room are worth.
 */
import type { ZoneName } from '../ids.js'
import type { EngineProfile } from '../routes/index.js'
import { findMiddle } from './average.js'
import type { EndpointView } from './endpoint-view.js'
import type { PromptPlan } from './prompt-plan.js'
import { countShared } from './prompt-reading.js'
import type { PromptCost, Work } from './work.js'
import type { ZoneWatch } from './zone-watch.js'

/** What an endpoint in another zone is worth less for a plain call, ms: bytes between zones are priced. */
const otherZoneMs = 8
/** The same for a stream, ms: it runs for seconds, and is lost where the zones part meanwhile. */
const otherZoneStreamMs = 30
/** What a doubtful endpoint, or one in a zone that fell silent, is worth less, ms: about what a lost request costs. */
const doubtMs = 400
/** What each stream more slows the others, ms. */
const crowdMs = 0.4
/** What each request beyond the slots waits, ms: a slot comes free every so often. */
export const queueMs = 60
/** What a request waits where memory is used up, ms. */
const memoryMs = 1500
/**
 * What a stream is worth that may have its pauses broken by a prompt that is read
 * beside it, ms: half of what a lost request is, as one prompt alone breaks few.
 */
const harmMs = doubtMs / 2
/** Reading for less than this part of the pause that bears reading breaks none. */
const harmlessShare = 0.5
/** Part of an engine's memory that requests in flight may be expected to take. */
const memoryLimit = 0.9
/** An endpoint whose failures exceed the middle of its service's by so much is taken last. */
const worseShare = 0.25
/** What each box counts against an endpoint that has asked it to back off, ms: the endpoint is loaded. */
const backedOffMs = 30
/** What they count together at most, ms. */
const mostBackedOffMs = doubtMs
/**
 * Reading that may wait at an engine, ms. An engine reads prompts in the order in
 * which they came, whatever their rank, so that what is less urgent waits here,
 * where it can be passed; so much keeps an engine busy until the next word.
 */
const backlogMs = 220
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
export interface Standpoint {
  readonly zone: ZoneName
  readonly zones: ZoneWatch
  /** True where a connection to an endpoint is open and at rest. */
  readonly isConnected: (view: EndpointView) => boolean
}

/** A prompt that is to be read at an engine, and how long its request has waited for one. */
export interface PromptCase {
  readonly work: Work
  readonly cost: PromptCost
  readonly engine: EngineProfile
  readonly waitedMs: number
  /** The shortest pause with which a request goes beside reading, ms. */
  readonly patienceMs: number
  /** True where the request's own pauses bear reading beside it. */
  readonly isPatient: boolean
}

/** Expected time of a plain call, ms: the usual time, longer where others run or wait. */
export function weighPlain (view: EndpointView): number {
  const { slots } = view.record
  const running = view.running
  const queued = Math.max(0, running + 1 - slots) / Math.max(1, slots)
  return view.answerMs.value * (1 + queued + 0.5 * running / Math.max(1, slots))
}

/** Expected time until an engine's first event, ms, where it comes by the prompt as planned. */
export function weighEngine (view: EndpointView, { work, cost, engine, waitedMs, patienceMs, isPatient }: PromptCase, { readTokens: read, fetch }: PromptPlan, at: number): number {
  const running = view.running
  const readingMs = (view.countAhead(work.priority, at) + read) * view.paceMs
  const ms = readingMs + running * crowdMs + (fetch?.ms ?? 0)
  const again = rateAgain(read, cost) * Math.max(0, work.targetMs * holderWaitShare - waitedMs)
  const queued = Math.max(0, running + 1 - engine.slots) * queueMs
  const short = view.memoryInUse + cost.promptTokens > engine.memoryTokens * memoryLimit ? memoryMs : 0
  const harm = isPatient ? view.countBrisk(patienceMs) * harmMs * rateBreak(readingMs, patienceMs) : 0
  return ms + again + queued + short + harm
}

// Part of the shared tokens that are read again.
function rateAgain (read: number, cost: PromptCost): number {
  const shared = countShared(cost)
  return shared === 0 ? 0 : Math.max(0, read - (cost.promptTokens - shared)) / shared
}

// How surely reading for so long breaks a pause that doesn't bear reading all the time: a short read stretches only a part of it.
function rateBreak (readingMs: number, patienceMs: number): number {
  const share = readingMs / patienceMs
  return Math.min(1, Math.max(0, (share - harmlessShare) / (1 - harmlessShare)))
}

/** What distance, a missing connection, silence and failures count against an endpoint, ms. `middle`: share of failures of the middle one beside it. */
export function weighTrust (view: EndpointView, from: Standpoint, middle: number, isStream: boolean, at: number): number {
  const { zone } = view.record
  let ms = 0
  if (zone !== from.zone) ms += isStream ? otherZoneStreamMs : otherZoneMs
  if (!from.isConnected(view)) ms += connectMs
  if (from.zones.isCut(zone, at)) ms += doubtMs
  if (view.trust.look(at) !== 'good') ms += doubtMs
  ms += Math.min(mostBackedOffMs, view.backedOffOthers * backedOffMs)
  if (view.trust.failureShare > middle + worseShare) ms += doubtMs
  return ms + Math.max(0, view.measureOverdue(at))
}

/**
 * True where an engine can begin a prompt soon: what finds no room waits in the box, where it can be passed. `sharers`: boxes
 * that may be filling the engine unheard, this one included. Three that each filled it whole left tags 2 s behind quotes.
 */
export function hasRoom (view: EndpointView, cost: PromptCost, engine: EngineProfile, sharers: number, at: number): boolean {
  if (view.running >= engine.slots) return false
  if (view.running > 0 && view.memoryInUse + cost.promptTokens > engine.memoryTokens * memoryLimit) return false
  return view.countAhead(Infinity, at) * view.paceMs <= backlogMs / sharers
}

/** Share of failures of the middle one of some endpoints; 0 for none. */
export function findMiddleFailures (views: readonly EndpointView[]): number {
  return findMiddle(views.map(view => view.trust.failureShare)) ?? 0
}
