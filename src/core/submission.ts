import type { BoxId, ClassName, EngineId, ModelName, RequestId, WorkspaceName } from './ids.js'

/** A request that a box submits to a scheduler. */
export interface Submission {
  readonly request: RequestId
  /** Incremented with each attempt at the same request; late messages of older attempts are ignored. */
  readonly attempt: number
  readonly box: BoxId
  readonly class: ClassName
  readonly workspace: WorkspaceName
  readonly model: ModelName
  readonly promptTokens: number
  /** Digest of the prompt's prefix; null for short prompts. */
  readonly prefix: string | null
  /** Deadline of the first token on the scheduler's clock, ms. */
  readonly deadline: number
  /** Engines that have already failed this request. */
  readonly exclude: readonly EngineId[]
  /** True if tokens were already delivered: such a request is never shed. */
  readonly resumed: boolean
}
