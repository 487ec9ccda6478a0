/** Selects the affinity engines of a prompt's shared part, and estimates what engines have to read of a prompt. */
import { chooseByHash } from '../hash.js'
import type { EndpointId } from '../ids.js'
import type { PromptTransfer } from '../routes/index.js'
import type { EndpointView } from './endpoint-view.js'
import { planPrompt } from './prompt-plan.js'
import type { PromptHolder } from './prompt-plan.js'
import { countSharedTokens, affinityHitShare } from './prompt-reading.js'
import type { PromptCost } from './work.js'

/**
 * Assumed fraction of the shared tokens that the first affinity engine has cached, and the second, which receives
 * the prompts that the first has no capacity for.
 */
const affinityHitShares = [affinityHitShare, 0.3]

/** The engines to which all boxes send prompts with the same longest shared part: the first, and the second for overflow. */
export function findAffinityEngines (cost: PromptCost, engines: readonly EndpointView[]): EndpointId[] {
  const shared = cost.parts.at(-2)
  if (shared === undefined) return []
  const ids = engines.map(view => view.id)
  const first = chooseByHash(shared.id, ids)
  const second = chooseByHash(shared.id, ids.filter(id => id !== first))
  return [first, second].filter(id => id !== undefined)
}

/**
 * Tokens that an engine is expected to read; affinity engines are assumed to have a fraction of the shared tokens
 * cached, the first one most of them.
 */
export function estimateReadTokens (view: EndpointView, cost: PromptCost, affinityEngines: readonly EndpointId[]): number {
  const cached = view.prompts.countCachedTokens(cost.parts)
  const assumed = countSharedTokens(cost) * (affinityHitShares[affinityEngines.indexOf(view.id)] ?? 0)
  return cost.promptTokens - Math.max(cached, assumed)
}

/** Shortest expected time in which one of the engines obtains and reads a prompt, ms. */
export function estimateReadingMs (cost: PromptCost, engines: readonly EndpointView[], holders: readonly PromptHolder[], transfer: PromptTransfer | null): number {
  const times = engines.map(view => {
    const { readTokens, fetch } = planPrompt(view, cost, estimateReadTokens(view, cost, []), holders, transfer)
    return readTokens * view.readMsPerToken + (fetch?.ms ?? 0)
  })
  return Math.min(...times)
}
