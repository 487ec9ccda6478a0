/** The result of choosing an endpoint, the reasons for having none, and the selection by lowest cost. */
import type { EndpointId } from '../ids.js'
import type { EndpointView } from './endpoint-view.js'
import type { PromptPlan } from './prompt-plan.js'
import { countExpectedTokens } from './prompt-reading.js'
import { pickBelowLevel } from './stale-choice.js'
import type { RequestProfile } from './work.js'

/** A chosen endpoint, with the inputs of the decision for the log. */
export interface Choice {
  readonly view: EndpointView
  /** Expected time to the answer or its first event, plus penalties, ms. */
  readonly expectedMs: number
  /** How the engine obtains the prompt. */
  readonly plan: PromptPlan
  /** True if this is the engine to which all boxes send prompts with the same shared part. */
  readonly isAffinityEngine: boolean
  readonly candidates: number
  /** Number of engines dedicated to long prompts. */
  readonly dedicatedCount: number
}

/**
 * Why no endpoint was chosen: the service has no endpoint (`none-known`), all are ejected or were tried
 * (`none-usable`), none accepts requests now because of back-off or limits (`closed`), none has room now
 * (`later`), or none is expected to answer a plain call within its target (`late`).
 */
export type NoChoice = 'none-known' | 'none-usable' | 'closed' | 'later' | 'late'

/** Endpoints whose costs differ by at most this are equivalent, ms: messages between boxes take longer. */
const tieMs = 3

export interface PickInput {
  readonly views: readonly EndpointView[]
  /** Expected time at an endpoint plus penalties, ms. */
  readonly estimateMs: (view: EndpointView) => number
  /** How an engine would obtain the prompt. */
  readonly plan: (view: EndpointView) => PromptPlan
  readonly dedicatedCount: number
  readonly affinityEngine?: EndpointId
  /** Time in which the engines read what the other boxes have sent since their reports, ms; null to choose by cost alone. */
  readonly unreportedMs?: number | null
}

/** Picks the endpoint with the lowest cost; `draw`, from 0 up to 1, breaks ties. `views` must not be empty. */
export function pickLowestCost ({ views, estimateMs, plan, dedicatedCount, affinityEngine, unreportedMs = null }: PickInput, draw: number): Choice {
  const costs = views.map(view => ({ view, ms: estimateMs(view) }))
  const compose = ({ view, ms }: { readonly view: EndpointView, readonly ms: number }): Choice => ({ view, expectedMs: ms, plan: plan(view), isAffinityEngine: view.id === affinityEngine, candidates: views.length, dedicatedCount })
  if (unreportedMs !== null) return compose(costs[pickBelowLevel({ costs: costs.map(({ ms }) => ms), unreportedMs }, draw)])
  const minMs = costs.reduce((ms, one) => Math.min(ms, one.ms), Infinity)
  const ties = costs.filter(one => one.ms <= minMs + tieMs)
  return compose(ties[Math.floor(draw * ties.length)])
}

/** The choice of an endpoint at which a slot was granted for the request. */
export function chooseGranted (view: EndpointView, { cost }: RequestProfile): Choice {
  return { view, expectedMs: view.answerMs.value, plan: { readTokens: cost === null ? 0 : countExpectedTokens(cost), fetch: null }, isAffinityEngine: false, candidates: 1, dedicatedCount: 0 }
}
