/** A request as the balancer sees it: what it asks for and what it is expected to cost. */
import type { ServiceName } from '../ids.js'

/** A part of a prompt that other requests may share, by its id. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a request is expected to cost at an engine; described by the caller, never read from its body. */
export interface PromptCost {
  readonly promptTokens: number
  /** The most that may be generated. */
  readonly mostTokens: number
  /** In the prompt's order; the last belongs to the request or its session. */
  readonly parts: readonly PromptPart[]
}

/** One request as the balancer sees it. */
export interface Work {
  readonly service: ServiceName
  /** Rank of its kind alone, 0 first: the same whichever workspace asks. */
  readonly level: number
  /** Rank among all, 0 first: by kind, then by workspace. */
  readonly priority: number
  /** Null for a plain call. */
  readonly cost: PromptCost | null
  /** The longest pause between events that its route allows, ms; null where it has no events. */
  readonly pauseMs: number | null
  readonly targetMs: number
}
