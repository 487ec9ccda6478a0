/**
 * Properties of prompt reading (prefill) that do not depend on the engine: shared tokens, tokens expected to be
 * read, and which requests tolerate its pauses.
 */
import type { PromptCost, PromptPart, RequestProfile } from './work.js'

/** Assumed chunk size in which engines read prompts, in tokens, before pauses were measured: the common default. */
const initialChunkTokens = 2048
/**
 * Assumed ratio of the time of a chunk to that of its tokens at the average rate, before pauses were measured: for
 * the decoding step and attention to what was read before.
 */
const initialChunkOverhead = 1.3
/** Safety factor between the reading pause and the pause limit of a tolerant request: prompts with a long context take longer to read. */
const pauseMargin = 1.2
/** Assumed fraction of the shared tokens that an affinity engine has cached. */
export const affinityHitShare = 0.7

/** The reading pause before any was measured, ms: one chunk for each token of an event. */
export function estimateInitialPause (tokensPerEvent: number, readMsPerToken: number): number {
  return tokensPerEvent * initialChunkTokens * readMsPerToken * initialChunkOverhead
}

/**
 * The shortest allowed pause with which a request is pause-tolerant, ms. If kinds of request allow different
 * pauses, those that allow the longest (`longestMs`; null if all are alike) are always tolerant: some must share
 * engines with reading, and these lose least.
 */
export function computeMinTolerantPause (readingPauseMs: number, longestMs: number | null): number {
  return Math.min(readingPauseMs * pauseMargin, longestMs ?? Infinity)
}

/** True if a request may share an engine with prompt reading; `minTolerantPauseMs`: the shortest allowed pause of one that may. */
export function isPauseTolerant ({ pauseMs }: Pick<RequestProfile, 'pauseMs'>, minTolerantPauseMs: number): boolean {
  return pauseMs === null || pauseMs >= minTolerantPauseMs
}

/** Tokens that are expected to be read for a prompt, on any engine. */
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
