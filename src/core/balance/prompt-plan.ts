/**
 * How an engine comes by a prompt: what it keeps of it already, what it takes
 * from another engine, and what is left to read.
 */
import type { EndpointId } from '../ids.js'
import type { PromptTransfer } from '../routes/index.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { PromptMemory } from './prompt-memory.js'
import type { PromptCost } from './work.js'

/** As much of an engine as it takes to plan for it. */
export interface PromptEngine {
  readonly id: EndpointId
  readonly record: EndpointRecord
  /** Time to read a token, ms. */
  readonly readMsPerToken: number
}

/** What an engine takes from another. */
export interface PromptFetch {
  readonly from: PromptEngine
  /** Tokens beyond those that the taker keeps itself. */
  readonly tokens: number
  readonly ms: number
}

/** What an engine has to do for a prompt. */
export interface PromptPlan {
  readonly readTokens: number
  readonly fetch: PromptFetch | null
}

/** An engine that keeps the beginning of a prompt, as far as is known. */
export interface PromptHolder {
  readonly view: PromptEngine
  readonly tokens: number
}

/** Time of a move beside its bytes, ms: a call between two engines and its beginning. */
const transferSetupMs = 3
/** How many times longer a move takes between zones, as the users' platform says. */
const crossZoneFactor = 2
/** A move must take at most this part of the reading that it saves: what is believed of the holder may be wrong. */
const maxTransferShare = 0.5

/** The engines that keep a part of the prompt, those that keep most first. `views` must be in good standing. */
export function listHolders (views: readonly (PromptEngine & { readonly kept: PromptMemory })[], cost: PromptCost): PromptHolder[] {
  return views
    .map(view => ({ view, tokens: view.kept.countHeld(cost.parts) }))
    .filter(({ tokens }) => tokens > 0)
    .sort((a, b) => b.tokens - a.tokens)
}

/** What `view` would have to do for a prompt; `expectedRead`: what it would read by itself. */
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

// Of those that keep most, one of the own zone.
function pickHolder (view: PromptEngine, holders: readonly PromptHolder[]): PromptHolder | null {
  const others = holders.filter(holder => holder.view !== view)
  if (others.length === 0) return null
  const best = others.filter(holder => holder.tokens === others[0].tokens)
  return best.find(holder => holder.view.record.zone === view.record.zone) ?? best[0]
}

function estimateTransferMs (tokens: number, crossesZones: boolean, { tokenBytes, bytesPerMs }: PromptTransfer): number {
  return transferSetupMs + tokens * tokenBytes / bytesPerMs * (crossesZones ? crossZoneFactor : 1)
}
