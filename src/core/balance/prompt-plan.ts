/** Plans how an engine obtains a prompt: which part it has cached, which it fetches from another engine, and what is left to read. */
import type { EndpointId } from '../ids.js'
import type { PromptTransfer } from '../routes/index.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { PromptCacheModel } from './prompt-cache-model.js'
import type { PromptCost } from './work.js'

/** The properties of an engine that planning needs. */
export interface PromptEngine {
  readonly id: EndpointId
  readonly record: EndpointRecord
  /** Time to read a token, ms. */
  readonly readMsPerToken: number
}

/** The part of a prompt that an engine fetches from another. */
export interface PromptFetch {
  readonly from: PromptEngine
  /** Tokens beyond those that the fetching engine has cached itself. */
  readonly tokens: number
  readonly ms: number
}

export interface PromptPlan {
  readonly readTokens: number
  readonly fetch: PromptFetch | null
}

/** An engine that has a prefix of a prompt cached, as far as is known. */
export interface PromptHolder {
  readonly view: PromptEngine
  readonly tokens: number
}

/** Fixed time of a transfer, ms: a call between two engines and the start of the transfer. */
const transferSetupMs = 3
/** Factor by which a transfer between zones takes longer, as specified by the platform. */
const crossZoneFactor = 2
/** A transfer must take at most this fraction of the read time that it saves, because the estimate of the holder's cache may be wrong. */
const maxTransferShare = 0.5

/** The engines that have a prefix of the prompt cached, longest first. `views` must contain healthy engines only. */
export function listHolders (views: readonly (PromptEngine & { readonly cachedPrompts: PromptCacheModel })[], cost: PromptCost): PromptHolder[] {
  return views
    .map(view => ({ view, tokens: view.cachedPrompts.countCachedTokens(cost.parts) }))
    .filter(({ tokens }) => tokens > 0)
    .sort((a, b) => b.tokens - a.tokens)
}

/** Plans a prompt at `view`; `expectedReadTokens`: what it would read without a transfer. */
export function planPrompt (view: PromptEngine, cost: PromptCost, expectedReadTokens: number, holders: readonly PromptHolder[], transfer: PromptTransfer | null): PromptPlan {
  const alone: PromptPlan = { readTokens: expectedReadTokens, fetch: null }
  if (transfer === null) return alone
  const holder = pickHolder(view, holders)
  if (holder === null) return alone
  const tokens = holder.tokens - (cost.promptTokens - expectedReadTokens)
  const ms = estimateTransferMs(tokens, holder.view.record.zone !== view.record.zone, transfer)
  if (tokens <= 0 || ms > tokens * view.readMsPerToken * maxTransferShare) return alone
  return { readTokens: cost.promptTokens - holder.tokens, fetch: { from: holder.view, tokens, ms } }
}

// Returns the holder with the longest prefix, preferably one in the same zone; what another software version has in memory may not fit.
function pickHolder (view: PromptEngine, holders: readonly PromptHolder[]): PromptHolder | null {
  const others = holders.filter(holder => holder.view !== view && holder.view.record.software === view.record.software)
  if (others.length === 0) return null
  const longest = others.filter(holder => holder.tokens === others[0].tokens)
  return longest.find(holder => holder.view.record.zone === view.record.zone) ?? longest[0]
}

function estimateTransferMs (tokens: number, crossesZones: boolean, { tokenBytes, bytesPerMs }: PromptTransfer): number {
  return transferSetupMs + tokens * tokenBytes / bytesPerMs * (crossesZones ? crossZoneFactor : 1)
}
