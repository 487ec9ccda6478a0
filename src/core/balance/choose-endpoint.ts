/** Chooses among the endpoints that may serve a request, of a plain service or of one with engines. */
import { findMedian } from './average.js'
import { pickLowestCost } from './choice.js'
import type { Choice } from './choice.js'
import { findMedianFailureShare, estimateFirstEventMs, estimateCallMs, estimatePenaltyMs } from './endpoint-costs.js'
import type { PromptRequest, BoxContext } from './endpoint-costs.js'
import type { EndpointView } from './endpoint-view.js'
import { hungMs } from './overdue.js'
import { estimateReadTokens, findAffinityEngines } from './prompt-affinity.js'
import { planPrompt } from './prompt-plan.js'
import type { PromptHolder, PromptPlan } from './prompt-plan.js'

/** What has happened since the other boxes made the reports behind the totals. */
export interface TotalsDelay {
  readonly ageMs: number
  /** Time in which the engines read what the other boxes have sent since, ms. */
  readonly unreportedMs: number
}

/** Inputs of the choice of an engine. No list may be empty, except `holders`. */
export interface EngineChoiceInput {
  readonly candidates: readonly EndpointView[]
  /** Engines among which the affinity engine of a shared prompt is selected. */
  readonly affinityCandidates: readonly EndpointView[]
  /** Engines that have a part of the prompt cached. */
  readonly holders: readonly PromptHolder[]
  readonly prompt: PromptRequest
  /** Number of dedicated engines, for the log. */
  readonly dedicatedCount: number
  readonly boxContext: BoxContext
  /** How far the totals lag behind; null to choose by cost alone. */
  readonly delay: TotalsDelay | null
}

const emptyPlan: PromptPlan = { readTokens: 0, fetch: null }

/** Chooses among endpoints of a plain service; `all` must not be empty. `isLastSend`: whether the call is not sent again if it is refused. */
export function choosePlain (all: readonly EndpointView[], boxContext: BoxContext, isLastSend: boolean, at: number, draw: number): Choice {
  const usable = listFreePlain(all, boxContext, at)
  const medianFailureShare = findMedianFailureShare(usable)
  const usualMs = findMedian(usable.map(({ answerMs }) => answerMs.value)) ?? 0
  const estimateMs = (view: EndpointView): number => estimateCallMs(view, view.answerMs.estimate(usualMs, at), isLastSend) + estimatePenaltyMs(view, boxContext, medianFailureShare, false, at)
  return pickLowestCost({ views: usable, estimateMs, plan: () => emptyPlan, dedicatedCount: 0 }, draw)
}

// A full endpoint refuses the call, while one with overdue answers may go on and answer it, unless the full ones show that
// silence is not common to all. A doubtful one may lose the call, which is worse.
function listFreePlain (all: readonly EndpointView[], { zones }: BoxContext, at: number): readonly EndpointView[] {
  const isFull = ({ running, record: { slots } }: EndpointView): boolean => slots > 0 && running >= slots
  const free = all.filter(view => !isFull(view))
  if (free.length === all.length) return all
  const maxOverdueMs = all.some(view => isFull(view) && view.findActivity(at) === 'answering') ? 0 : hungMs
  const isPreferred = (view: EndpointView): boolean => view.health.findState(at) === 'good' && !zones.isUnreachable(view.record.zone, at) && view.measureOverdue(at) <= maxOverdueMs
  return free.some(isPreferred) ? free : all
}

/** Chooses an engine and how it obtains the prompt. */
export function chooseEngine ({ candidates, affinityCandidates, holders, prompt, dedicatedCount, boxContext, delay }: EngineChoiceInput, at: number, draw: number): Choice {
  const { cost, engine: { transfer } } = prompt
  // No affinity is needed if engines can transfer cached prompts between them.
  const affinityEngines = transfer === null ? findAffinityEngines(cost, affinityCandidates) : []
  const medianFailureShare = findMedianFailureShare(candidates)
  const plan = (view: EndpointView): PromptPlan => planPrompt(view, cost, estimateReadTokens(view, cost, affinityEngines), holders, transfer)
  // What the totals show as unread may have been read since: otherwise all boxes choose among the few engines that were idle when they were made.
  const estimateReadMs = (view: EndpointView): number => delay === null ? 0 : Math.min(delay.ageMs, view.countBacklog(prompt.work.priority, at).others * view.readMsPerToken)
  const estimateMs = (view: EndpointView): number => estimateFirstEventMs(view, prompt, plan(view), at) - estimateReadMs(view) + estimatePenaltyMs(view, boxContext, medianFailureShare, true, at)
  return pickLowestCost({ views: candidates, estimateMs, plan, dedicatedCount, affinityEngine: affinityEngines[0], unreportedMs: delay?.unreportedMs }, draw)
}
