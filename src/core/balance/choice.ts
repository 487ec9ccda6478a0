/** The choice of an endpoint, why there may be none, and the pick of the one that is expected to take least. */
import type { EndpointId } from '../ids.js'
import type { EndpointView } from './endpoint-view.js'
import type { PromptPlan } from './prompt-plan.js'

/** A choice, with what decided it, for the log. */
export interface Choice {
  readonly view: EndpointView
  /** Expected time to the answer, or to its first event, ms; what else counts against the endpoint included. */
  readonly expectedMs: number
  /** How the engine comes by the prompt. */
  readonly plan: PromptPlan
  /** True where all boxes send prompts with the same shared part to this engine. */
  readonly isHome: boolean
  readonly candidates: number
  /** Engines set apart for long prompts. */
  readonly share: number
}

/** Why there is no choice: the service has no endpoint at all, none that isn't out, none that takes requests now (the box backs off, or their limits are used up), or none that has room now. */
export type NoChoice = 'none-known' | 'none-usable' | 'closed' | 'later'

/** Endpoints that differ by less are alike, ms: less than a word between boxes takes. */
const tieMs = 3

/** What a pick is made from. */
export interface PickInput {
  readonly views: readonly EndpointView[]
  /** Expected time at an endpoint, ms; what else counts against it included. */
  readonly estimateMs: (view: EndpointView) => number
  /** How an engine would come by the prompt. */
  readonly plan: (view: EndpointView) => PromptPlan
  /** Engines set apart. */
  readonly dedicatedCount: number
  readonly affinityEngine?: EndpointId
}

/** Picks the endpoint of the least time; `draw`, from 0 up to 1, parts those that are alike. `views` must not be empty. */
export function pickLowestCost ({ views, estimateMs, plan, dedicatedCount, affinityEngine }: PickInput, draw: number): Choice {
  const costs = views.map(view => ({ view, ms: estimateMs(view) }))
  const least = costs.reduce((ms, one) => Math.min(ms, one.ms), Infinity)
  const ties = costs.filter(one => one.ms <= least + tieMs)
  const { view, ms } = ties[Math.floor(draw * ties.length)]
  return { view, expectedMs: ms, plan: plan(view), isHome: view.id === affinityEngine, candidates: views.length, share: dedicatedCount }
}
