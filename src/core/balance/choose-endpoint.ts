/** The choice among the endpoints that a request may go to, of a plain service or of engines. */
import { pickLowestCost } from './choice.js'
import type { Choice } from './choice.js'
import { findMedianFailureShare, estimateFirstEventMs, estimateCallMs, estimatePenaltyMs } from './endpoint-costs.js'
import type { PromptRequest, BoxContext } from './endpoint-costs.js'
import type { EndpointView } from './endpoint-view.js'
import { estimateReadTokens, findAffinityEngines } from './prompt-affinity.js'
import { planPrompt } from './prompt-plan.js'
import type { PromptHolder, PromptPlan } from './prompt-plan.js'

/** What an engine is chosen from. None of the lists of engines may be empty but `holders`. */
export interface EngineChoiceInput {
  readonly candidates: readonly EndpointView[]
  /** Engines among which a shared prompt has its home. */
  readonly affinityCandidates: readonly EndpointView[]
  /** Engines that keep a part of the prompt. */
  readonly holders: readonly PromptHolder[]
  readonly prompt: PromptRequest
  /** Engines set apart, for the log. */
  readonly dedicatedCount: number
  readonly boxContext: BoxContext
}

const emptyPlan: PromptPlan = { readTokens: 0, fetch: null }

/** Chooses among endpoints of a plain service; `usable` must not be empty. */
export function choosePlain (usable: readonly EndpointView[], boxContext: BoxContext, at: number, draw: number): Choice {
  const medianFailureShare = findMedianFailureShare(usable)
  const estimateMs = (view: EndpointView): number => estimateCallMs(view) + estimatePenaltyMs(view, boxContext, medianFailureShare, false, at)
  return pickLowestCost({ views: usable, estimateMs, plan: () => emptyPlan, dedicatedCount: 0 }, draw)
}

/** Chooses an engine and how it comes by the prompt. */
export function chooseEngine ({ candidates, affinityCandidates, holders, prompt, dedicatedCount, boxContext }: EngineChoiceInput, at: number, draw: number): Choice {
  const { cost, engine: { transfer } } = prompt
  // Where engines take prompts from one another, any may become a holder.
  const affinityEngines = transfer === null ? findAffinityEngines(cost, affinityCandidates) : []
  const medianFailureShare = findMedianFailureShare(candidates)
  const plan = (view: EndpointView): PromptPlan => planPrompt(view, cost, estimateReadTokens(view, cost, affinityEngines), holders, transfer)
  const estimateMs = (view: EndpointView): number => estimateFirstEventMs(view, prompt, plan(view), at) + estimatePenaltyMs(view, boxContext, medianFailureShare, true, at)
  return pickLowestCost({ views: candidates, estimateMs, plan, dedicatedCount, affinityEngine: affinityEngines[0] }, draw)
}
