/**
 * What reading a prompt comes to, whichever engine does it: its shared part, the
 * tokens that are left to read, and who bears the pauses beside it.
 */
import type { PromptCost, PromptPart, Work } from './work.js'

/** Tokens that an engine is believed to read at a time before its pauses were seen: what engines are commonly set to. */
const initialChunkTokens = 2048
/** How much longer a piece takes than its tokens at the usual pace, before it was seen: the step itself, and looking back at what was read. */
const initialChunkOverhead = 1.3
/** A pause must be this many times longer than one beside reading to be safe there: prompts that look back on much take longer to read. */
const pauseMargin = 1.2
/** Part of the shared tokens that an engine is believed to hold of a prompt that all boxes send there. */
export const affinityHitShare = 0.7

/** The pause beside reading before any was seen, ms: a piece for each token of an event. */
export function estimateInitialPause (tokensPerEvent: number, readMsPerToken: number): number {
  return tokensPerEvent * initialChunkTokens * readMsPerToken * initialChunkOverhead
}

/**
 * The shortest pause with which a request goes beside reading, ms. Where kinds of request
 * bear different pauses, those that bear the longest (`longestMs`; null where all are alike)
 * always do: somebody must, and they lose least.
 */
export function computeMinTolerantPause (readingPauseMs: number, longestMs: number | null): number {
  return Math.min(readingPauseMs * pauseMargin, longestMs ?? Infinity)
}

/** True where a request goes beside prompts that are being read; `patienceMs`: the shortest pause that does. */
export function isPauseTolerant ({ pauseMs }: Pick<Work, 'pauseMs'>, minTolerantPauseMs: number): boolean {
  return pauseMs === null || pauseMs >= minTolerantPauseMs
}

/** Tokens that are expected to be read for a prompt, wherever it goes. */
export function countExpectedTokens (cost: PromptCost): number {
  return Math.round(cost.promptTokens - countSharedTokens(cost) * affinityHitShare)
}

/** Tokens of the parts that other requests may share: all but the last. */
export function countSharedTokens (cost: PromptCost): number {
  let tokens = 0
  for (let i = 0; i + 1 < cost.parts.length; i++) tokens += cost.parts[i].tokens
  return tokens
}

/** The parts that other requests may share: all but the last. */
export function listSharedParts (cost: PromptCost): readonly PromptPart[] { return cost.parts.slice(0, -1) }
