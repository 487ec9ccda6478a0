/**
 * What reading a prompt comes to: its shared part, the engine that holds it, the
 * tokens that are left to read, and who bears the pauses beside it.
 */
import { chooseByHash } from '../hash.js'
import type { EndpointId } from '../ids.js'
import type { EndpointView } from './endpoint-view.js'
import type { PromptCost, Work } from './work.js'

/** Tokens that an engine reads at a time, between the tokens of what runs there. */
const pieceTokens = 1024
/** Time of a step of an engine without reading, ms. */
const stepMs = 4
/** A pause must be this many times longer than one beside a long prompt to count as long. */
const pauseMargin = 1.2
/** Part of the shared tokens that an engine is believed to hold of a prompt that all boxes send there. */
const homeShare = 0.7

/** True where a request's pauses stay in time even beside a prompt that is being read. */
export function isPatient (work: Work, tokensPerEvent: number, paceMs: number): boolean {
  const besideReadingMs = tokensPerEvent * (pieceTokens * paceMs + stepMs)
  return work.pauseMs === null || work.pauseMs >= besideReadingMs * pauseMargin
}

/** Tokens that are expected to be read for a prompt, wherever it goes. */
export function countExpected (cost: PromptCost): number {
  return Math.round(cost.promptTokens - countShared(cost) * homeShare)
}

/** Tokens of the parts that other requests may share: all but the last. */
export function countShared (cost: PromptCost): number {
  let tokens = 0
  for (let i = 0; i + 1 < cost.parts.length; i++) tokens += cost.parts[i].tokens
  return tokens
}

/** The engine to which all boxes send prompts that share their longest part. */
export function findHome (cost: PromptCost, engines: readonly EndpointView[]): EndpointId | undefined {
  const shared = cost.parts.at(-2)
  return shared === undefined ? undefined : chooseByHash(shared.id, engines.map(view => view.id))
}

/** Tokens that the engine is expected to read; its home is believed to hold most of the shared part. */
export function expectRead (view: EndpointView, cost: PromptCost, isHome: boolean): number {
  const held = view.prompts.countHeld(cost.parts)
  return cost.promptTokens - Math.max(held, isHome ? countShared(cost) * homeShare : 0)
}
