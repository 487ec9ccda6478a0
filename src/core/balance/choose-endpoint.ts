/** The choice among the endpoints that a request may go to, of a plain service or of engines. */
import { pickLeast } from './choice.js'
import type { Choice } from './choice.js'
import { findMiddleFailures, weighEngine, weighPlain, weighTrust } from './endpoint-weights.js'
import type { PromptCase, Standpoint } from './endpoint-weights.js'
import type { EndpointView } from './endpoint-view.js'
import { expectRead, findHomes } from './prompt-homes.js'
import { planPrompt } from './prompt-plan.js'
import type { PromptHolder, PromptPlan } from './prompt-plan.js'

/** What an engine is chosen from. None of the lists of engines may be empty but `holders`. */
export interface EngineCase {
  readonly side: readonly EndpointView[]
  /** Engines among which a shared prompt has its home. */
  readonly homes: readonly EndpointView[]
  /** Engines that keep a part of the prompt. */
  readonly holders: readonly PromptHolder[]
  readonly prompt: PromptCase
  /** Engines set apart, for the log. */
  readonly share: number
  readonly from: Standpoint
}

const nothingToRead: PromptPlan = { readTokens: 0, fetch: null }

/** Chooses among endpoints of a plain service; `usable` must not be empty. */
export function choosePlain (usable: readonly EndpointView[], from: Standpoint, at: number, draw: number): Choice {
  const middle = findMiddleFailures(usable)
  const weigh = (view: EndpointView): number => weighPlain(view) + weighTrust(view, from, middle, false, at)
  return pickLeast({ views: usable, weigh, plan: () => nothingToRead, share: 0 }, draw)
}

/** Chooses an engine and how it comes by the prompt. */
export function chooseEngine ({ side, homes, holders, prompt, share, from }: EngineCase, at: number, draw: number): Choice {
  const { cost, engine: { transfer } } = prompt
  // Where engines take prompts from one another, any may become a holder.
  const chosen = transfer === null ? findHomes(cost, homes) : []
  const middle = findMiddleFailures(side)
  const plan = (view: EndpointView): PromptPlan => planPrompt(view, cost, expectRead(view, cost, chosen), holders, transfer)
  const weigh = (view: EndpointView): number => weighEngine(view, prompt, plan(view), at) + weighTrust(view, from, middle, true, at)
  return pickLeast({ views: side, weigh, plan, share, home: chosen[0] }, draw)
}
