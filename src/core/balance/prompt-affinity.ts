/** Which engines all boxes hold for the homes of a prompt's shared part, and what that leaves them to read. */
import { chooseByHash } from '../hash.js'
import type { EndpointId } from '../ids.js'
import type { PromptTransfer } from '../routes/index.js'
import type { EndpointView } from './endpoint-view.js'
import { planPrompt } from './prompt-plan.js'
import type { PromptHolder } from './prompt-plan.js'
import { countSharedTokens, affinityHitShare } from './prompt-reading.js'
import type { PromptCost } from './work.js'

/** Part of the shared tokens that the first home and the second, to which some are sent when the first has much to read, are believed to hold. */
const affinityHitShares = [affinityHitShare, 0.3]

/** The engines to which all boxes send prompts that share their longest part: the first, and the one that takes what it can't. */
export function findAffinityEngines (cost: PromptCost, engines: readonly EndpointView[]): EndpointId[] {
  const shared = cost.parts.at(-2)
  if (shared === undefined) return []
  const ids = engines.map(view => view.id)
  const first = chooseByHash(shared.id, ids)
  const second = chooseByHash(shared.id, ids.filter(id => id !== first))
  return [first, second].filter(id => id !== undefined)
}

/** Tokens that the engine is expected to read; homes are believed to hold a part of what is shared, the first one most of it. */
export function estimateReadTokens (view: EndpointView, cost: PromptCost, affinityEngines: readonly EndpointId[]): number {
  const held = view.prompts.countHeld(cost.parts)
  const believed = countSharedTokens(cost) * (affinityHitShares[affinityEngines.indexOf(view.id)] ?? 0)
  return cost.promptTokens - Math.max(held, believed)
}

/** Time that the engine which has least to do for a prompt takes over it, ms. */
export function estimateReadingMs (cost: PromptCost, engines: readonly EndpointView[], holders: readonly PromptHolder[], transfer: PromptTransfer | null): number {
  const times = engines.map(view => {
    const { readTokens, fetch } = planPrompt(view, cost, estimateReadTokens(view, cost, []), holders, transfer)
    return readTokens * view.readMsPerToken + (fetch?.ms ?? 0)
  })
  return Math.min(...times)
}
