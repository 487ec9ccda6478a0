import type { BoxId, ClassName, EngineId, ModelName, RequestId, WorkspaceName } from './ids.js'

/** What a box tells a scheduler of a request it wants placed. */
export interface Submission {
  readonly request: RequestId
  /** Rises with each try at the same request; late word of an older one is dropped. */
  readonly attempt: number
  readonly box: BoxId
  readonly class: ClassName
  readonly workspace: WorkspaceName
  readonly model: ModelName
  readonly promptTokens: number
  /** Digest of the prompt's beginning, or null where it is short. */
  readonly prefix: string | null
  /** Time on the scheduler's clock by which the first token is wanted, ms. */
  readonly deadline: number
  /** Engines that failed this request already. */
  readonly exclude: readonly EngineId[]
  /** True where tokens were given already: such a request is never shed. */
  readonly resumed: boolean
}
