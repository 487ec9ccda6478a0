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
const alikeMs = 3

/** What a pick is made from. */
export interface Rating {
  readonly views: readonly EndpointView[]
  /** Expected time at an endpoint, ms; what else counts against it included. */
  readonly weigh: (view: EndpointView) => number
  /** How an engine would come by the prompt. */
  readonly plan: (view: EndpointView) => PromptPlan
  /** Engines set apart. */
  readonly share: number
  readonly home?: EndpointId
}

/** Picks the endpoint of the least time; `draw`, from 0 up to 1, parts those that are alike. `views` must not be empty. */
export function pickLeast ({ views, weigh, plan, share, home }: Rating, draw: number): Choice {
  const rated = views.map(view => ({ view, ms: weigh(view) }))
  const least = rated.reduce((ms, one) => Math.min(ms, one.ms), Infinity)
  const alike = rated.filter(one => one.ms <= least + alikeMs)
  const { view, ms } = alike[Math.floor(draw * alike.length)]
  return { view, expectedMs: ms, plan: plan(view), isHome: view.id === home, candidates: views.length, share }
}
