/**
 * Decides which kinds of request share engines with long reads.
 *
 * The load that this answers: three kinds with pause limits of 250, 400 and 1,000 ms, and prompts of 1,500, 9,000 and
 * 17,000 tokens. Compared with the pauses at engines that read without a break, the middle kind counts as
 * pause-sensitive. It is then placed among the streams with the strictest limit, which its own prompts break.
 */
import type { RequestProfile } from './work.js'

/** Kinds whose limits exceed the strictest one by at most this factor belong to the strictest. */
const sameLimitRatio = 1.2
/** Reading this many mean prompts of a kind must fit into `readingShare` of the strictest limit if it is placed beside streams with that limit: prompts arrive at random, so that two often follow one another. */
const promptsInARow = 2
const readingShare = 0.5
/** A kind that is placed beside long reads stays there until its prompts take less than this fraction of the bound. */
const exitShare = 0.8
/** Lower bound of the weight of the newest prompt in the mean of a kind: prompt sizes vary widely. Before, all prompts have the same weight, as the first may be the largest. */
const minNewestWeight = 0.02
/** A kind with no arrival for this long is ignored, ms. */
const retentionMs = 60_000

interface PauseKind {
  prompts: number
  meanTokens: number
  readonly pauseMs: number
  at: number
}

export class PauseClasses {
  /** By level and pause limit: kinds of one level may have different limits. */
  #kinds = new Map<string, PauseKind>()
  /** Keys of the kinds that were placed beside long reads at the last decision. */
  #tolerant = new Set<string>()

  /** Records the arrival of a request. */
  note ({ level, pauseMs, cost }: RequestProfile, at: number): void {
    if (pauseMs === null || cost === null) return
    const key = `${level} ${pauseMs}`
    const kind = this.#kinds.get(key) ?? { prompts: 0, meanTokens: 0, pauseMs, at }
    this.#kinds.set(key, kind)
    kind.prompts += 1
    kind.meanTokens += (cost.promptTokens - kind.meanTokens) * Math.max(minNewestWeight, 1 / kind.prompts)
    kind.at = at
  }

  /**
   * The lowest pause limit of a kind that must not be placed beside streams with the strictest limit, ms; null if there
   * is none. `msPerToken`: time to read a prompt token at an engine of median speed.
   */
  findTolerantLimit (msPerToken: number, at: number): number | null {
    for (const [key, kind] of this.#kinds) if (at - kind.at > retentionMs) this.#kinds.delete(key)
    const recent = [...this.#kinds]
    const strictestMs = Math.min(...recent.map(([, { pauseMs }]) => pauseMs))
    const boundTokens = strictestMs * readingShare / promptsInARow / msPerToken
    const isTolerant = ([key, { pauseMs, meanTokens }]: [string, PauseKind]): boolean =>
      pauseMs > strictestMs * sameLimitRatio && meanTokens > boundTokens * (this.#tolerant.has(key) ? exitShare : 1)
    const tolerant = recent.filter(isTolerant)
    this.#tolerant = new Set(tolerant.map(([key]) => key))
    return tolerant.length === 0 ? null : Math.min(...tolerant.map(([, { pauseMs }]) => pauseMs))
  }
}
