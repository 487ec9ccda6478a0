/**
 * Admission of requests to a service's engines, and the check that holds back less urgent requests while more
 * urgent ones are late. Pause-tolerant requests are queued in the box until an engine has room; all others are sent
 * immediately or refused, whichever engine they go to.
 */
import { limitToShare } from './service-shares.js'
import type { WorkspaceShare } from './workspace-shares.js'
import { decideAdmission, decideImmediateAdmission, isOverloaded, limitAdmission, measureBacklog } from './admission.js'
import type { Admission, Backlog } from './admission.js'
import { countQueuedTokens } from './agreed-dedicated-count.js'
import type { DedicatedKind } from './dedicated-parts.js'
import { divideCapacity } from './capacity-division.js'
import type { EndpointView } from './endpoint-view.js'
import type { KnownKind } from './kind-tracker.js'
import { addAmounts } from './load-sum.js'
import type { KindRates, ServiceTotal } from './box-load.js'
import type { ServiceSnapshot } from './service-snapshot.js'
import { estimateReadingMs } from './prompt-affinity.js'
import type { PromptHolder } from './prompt-plan.js'
import { isPauseTolerant } from './prompt-reading.js'
import type { EngineProfile } from '../routes/index.js'
import type { ServiceState } from './service-state.js'
import { congestedWaitShare, findShortestWait, listSensitiveEngines, listWithinWait } from './usable-endpoints.js'
import type { PromptCost, RequestProfile } from './work.js'

/** State of a service, as known to this box, on which admission is decided. */
export interface AdmissionContext {
  readonly state: ServiceState
  readonly engine: EngineProfile
  readonly snapshot: ServiceSnapshot
  /** Load reported for the other boxes; null if none is reported. */
  readonly others: ServiceTotal | null
  /** Boxes that may use the same engines without their load being known here, including this one. */
  readonly sharers: number
  /** Position in the dedication order of the first engine that is reserved for pause-sensitive requests, however many are dedicated; null while the measures against contention are off. */
  readonly reservedFrom: number | null
  /** The shortest tolerated pause with which a request is pause-tolerant, ms. */
  readonly minTolerantPauseMs: number
  listHolders (cost: PromptCost): PromptHolder[]
}

/** Fraction of the reading capacity that is divided among the kinds while they are limited. */
const plannedCapacityShare = 0.95

/**
 * Decides whether to admit a request; returns null for one that is not pause-tolerant if engines are not congested for it.
 * `workspaceShare`: null while the capacity is not divided among workspaces.
 */
export function admitToEngines (context: AdmissionContext, work: RequestProfile, cost: PromptCost, workspaceShare: WorkspaceShare | null, at: number): Admission | null {
  return isPauseTolerant(work, context.minTolerantPauseMs) ? admitPauseTolerant(context, work, cost, workspaceShare, at) : admitImmediate(context, work, cost, workspaceShare, at)
}

function admitPauseTolerant (context: AdmissionContext, work: RequestProfile, cost: PromptCost, workspaceShare: WorkspaceShare | null, at: number): Admission {
  const { state, snapshot: { dedicationOrder, counts } } = context
  const dedicated = dedicationOrder.slice(0, Math.max(1, counts.count))
  const backlog = measureBacklogFor(context, work, at)
  if (backlog.lessUrgentTokens > 0) state.kinds.noteStarted(work.level + 1, at)
  const admission = decideAdmission({
    backlog,
    lateness: state.lateness.find(work.level),
    readingMs: estimateReadingMs(cost, dedicated, context.listHolders(cost), context.engine.transfer),
    targetMs: work.targetMs,
    urgentRate: sumUrgentRates(context, work.level, at),
    sinceLessUrgentMs: at - state.kinds.findLastLessUrgentStart(work.level),
    maxLessUrgentTargetMs: state.kinds.findMaxLessUrgentTarget(work.level, at)
  })
  if (workspaceShare !== null) return limitToShare(admission, workspaceShare, state.workspaces.findCredits(work.workspace, work.level), work.level)
  return limitAdmission(admission, findKindShares(context, at).get(work.level) ?? 1, state.credits, work.level)
}

function admitImmediate (context: AdmissionContext, work: RequestProfile, cost: PromptCost, workspaceShare: WorkspaceShare | null, at: number): Admission | null {
  const { state, snapshot: { dedicationOrder } } = context
  const share = workspaceShare?.fraction ?? findKindShares(context, at).get(work.level) ?? 1
  const engineWaitMs = findShortestWait(listImmediateEngines(context, work.targetMs, at), context.engine.slots, at)
  const lateness = state.lateness.find(work.level)
  if (!isCongested(engineWaitMs, lateness, work.targetMs)) return null
  const admission = decideImmediateAdmission({
    backlog: measureBacklog(dedicationOrder, 0, work.priority, state.kinds.findLowestPriority(work.level, work.priority), at),
    lateness,
    engineWaitMs,
    readingMs: estimateReadingMs(cost, dedicationOrder, context.listHolders(cost), context.engine.transfer),
    targetMs: work.targetMs,
    share,
    credits: workspaceShare === null ? state.credits : state.workspaces.findCredits(work.workspace, work.level),
    level: work.level
  })
  return workspaceShare === null ? admission : { ...admission, workspaceShare, isOverShare: share < 1 }
}

/**
 * Returns the level of the most urgent kind whose requests wait too long at the dedicated engines, or Infinity if there is none.
 * Less urgent requests are held back meanwhile, because engines read in order of arrival, whatever the priority. Kinds that are
 * not pause-tolerant are ignored: they use the other engines, and a long burst of them would block all reading at the dedicated engines.
 */
export function findOverloadedLevel (context: AdmissionContext, at: number): number {
  const { state, snapshot, minTolerantPauseMs } = context
  const isLate = (kind: KnownKind): boolean => isPauseTolerant(kind, minTolerantPauseMs) && isOverloaded(measureBacklogFor(context, kind, at), state.lateness.find(kind.level), kind.targetMs)
  snapshot.overloadedLevel ??= state.kinds.list(at).find(isLate)?.level ?? Infinity
  return snapshot.overloadedLevel
}

// Backlog that is read before a request at the dedicated engines.
function measureBacklogFor ({ state, snapshot: { dedicationOrder, counts }, others }: AdmissionContext, { level, priority }: Pick<RequestProfile, 'level' | 'priority'>, at: number): Backlog {
  const dedicated = dedicationOrder.slice(0, Math.max(1, counts.count))
  return measureBacklog(dedicated, countQueuedTokens(state, others, priority), priority, state.kinds.findLowestPriority(level, priority), at)
}

// Total arrival rate, in tokens/ms, of the pause-tolerant kinds that are more urgent than `level`.
function sumUrgentRates (context: AdmissionContext, level: number, at: number): number {
  const { state, minTolerantPauseMs } = context
  const tolerantLevels = new Set(state.kinds.list(at).filter(kind => isPauseTolerant(kind, minTolerantPauseMs)).map(kind => kind.level))
  return listTotalRates(context, at).reduce((sum, [otherLevel, rate]) => otherLevel < level && tolerantLevels.has(otherLevel) ? sum + rate / 1000 : sum, 0)
}

/** The kinds that use the dedicated engines, with their arrival rates over all boxes. */
export function listTolerantKinds (context: AdmissionContext, at: number): DedicatedKind[] {
  const rates = new Map(listTotalRates(context, at))
  return context.state.kinds.list(at).flatMap(({ level, pauseMs }) => pauseMs !== null && pauseMs >= context.minTolerantPauseMs ? [{ level, pauseMs, rate: rates.get(level) ?? 0 }] : [])
}

// Arrival rates summed over this box and the others that report theirs.
function listTotalRates ({ state, others }: AdmissionContext, at: number): KindRates {
  return addAmounts(state.kinds.measureRates(at), others?.rates ?? [], 1)
}

// Fraction of each kind's requests that the engines can read beside the other kinds, by level; empty if kinds are not limited.
function findKindShares (context: AdmissionContext, at: number): ReadonlyMap<number, number> {
  const { snapshot } = context
  snapshot.kindShares ??= computeKindShares(context, at)
  return snapshot.kindShares
}

function computeKindShares (context: AdmissionContext, at: number): ReadonlyMap<number, number> {
  const { state } = context
  const congestedLevel = state.congestion.update(findCongestedLevel(context, at), at)
  return divideCapacity(measureCapacity(context, at) * plannedCapacityShare, listTotalRates(context, at), congestedLevel)
}

/** Reading capacity of the engines, tokens/s; `sharers`: boxes among which it is divided, as their load is not known here. */
export function measureCapacity ({ state, snapshot: { usable }, others, sharers: known }: AdmissionContext, at: number, sharers = known): number {
  return measureReadingCapacity(state, usable, others, sharers, at)
}

/** Rate at which the engines read prompts, tokens/s: as measured, or as expected if they have not been busy. */
export function measureReadingCapacity (state: ServiceState, usable: readonly EndpointView[], others: ServiceTotal | null, sharers: number, at: number): number {
  const expectedRate = usable.reduce((sum, view) => sum + 1000 / view.readMsPerToken, 0) / sharers
  const readRate = state.readMeter.rate(at) + (others?.read ?? 0)
  // The measured rate equals the capacity only if engines have been busy for the whole window.
  return state.congestion.isSustained(at) ? readRate : Math.max(readRate, expectedRate)
}

// Level of the most urgent kind, of those that are never queued, for which engines are congested; Infinity if there is none.
function findCongestedLevel (context: AdmissionContext, at: number): number {
  const { state, engine, minTolerantPauseMs, snapshot: { dedicationOrder, counts } } = context
  const engineWaitMs = findShortestWait(listSensitiveEngines(dedicationOrder, counts.count, engine), engine.slots, at)
  const isCongestedFor = ({ level, targetMs, pauseMs }: KnownKind): boolean => !isPauseTolerant({ pauseMs }, minTolerantPauseMs) && isCongested(engineWaitMs, state.lateness.find(level), targetMs)
  return state.kinds.list(at).find(isCongestedFor)?.level ?? Infinity
}

function isCongested (engineWaitMs: number, lateness: number, targetMs: number): boolean {
  return Number.isFinite(engineWaitMs) && engineWaitMs * Math.max(1, lateness) > targetMs * congestedWaitShare
}

/**
 * Engines for requests that are never queued. Includes dedicated ones only if the others have no free slot, or are congested
 * while kinds are limited: streams pause longer beside prompt reading, but idle dedicated engines would waste capacity.
 */
export function listImmediateEngines (context: AdmissionContext, targetMs: number, at: number): readonly EndpointView[] {
  const { snapshot: { dedicationOrder, counts }, engine } = context
  const candidates = listSensitiveEngines(dedicationOrder, counts.count, engine)
  const maxWaitMs = targetMs * congestedWaitShare
  // Streams on the engines between would pause beside long reads once a burst of these needs more engines.
  const reserved = context.reservedFrom === null ? [] : dedicationOrder.slice(Math.max(counts.count, context.reservedFrom))
  if (findShortestWait(reserved, engine.slots, at) <= maxWaitMs) return reserved
  if (findShortestWait(candidates, engine.slots, at) <= maxWaitMs || findKindShares(context, at).size === 0) return candidates
  return listWithinWait(dedicationOrder, engine.slots, maxWaitMs, at)
}
