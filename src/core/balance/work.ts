/** Properties of a request on which balancing depends: what it asks for and its expected cost. */
import type { ServiceName, WorkspaceName } from '../ids.js'

/** A part of a prompt, identified by its id, that other requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Expected cost of a request at an engine; declared by the caller, never read from its body. */
export interface PromptCost {
  readonly promptTokens: number
  /** Maximum number of tokens that may be generated. */
  readonly maxTokens: number
  /** In prompt order; the last is specific to the request or its session. */
  readonly parts: readonly PromptPart[]
}

export interface RequestProfile {
  readonly service: ServiceName
  /** Absent for a request without a key. */
  readonly workspace?: WorkspaceName
  /** Rank of its kind, 0 is the most urgent; the same for all workspaces. */
  readonly level: number
  /** Rank among all requests, 0 is the most urgent: by kind, then by workspace. */
  readonly priority: number
  /** Null for a plain call. */
  readonly cost: PromptCost | null
  /** Longest pause between events that its route allows, ms; null if it has no events. */
  readonly pauseMs: number | null
  readonly targetMs: number
}
