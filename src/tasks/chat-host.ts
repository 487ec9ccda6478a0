/** What a chat exchange depends on, the request that it handles, and the outcome that it reports. */
import type { Agent } from 'node:http'
import type { EngineEntry, Workspace } from '../config/index.js'
import type { BoxId, EngineId, ErrorKind, Placement, RequestClass, RequestId, StreamEnd, Submission } from '../core/index.js'
import type { ChatRequest } from '../protocol/index.js'

/** Functions of the box that an exchange depends on. */
export interface ChatHost {
  readonly box: BoxId
  readonly agent: Agent
  now (): number
  findEngine (id: EngineId): EngineEntry | undefined
  /** True if the engine's pool can resume a partial response. */
  canResume (engine: EngineEntry): boolean
  place (submission: Submission, mayWait: boolean): Promise<Placement>
  noteFirstToken (request: RequestId): void
  /** Reports the end of a granted stream. `backoffMs`: time for which the engine asked to get no further requests. */
  end (request: RequestId, how: StreamEnd, tokens: number, backoffMs?: number): void
  cancel (request: RequestId): void
  /** Takes a retry from the budget of the named class; false if it is used up. */
  takeRetry (name: string): boolean
  /** Returns a retry that was taken but not sent to an engine. */
  putBackRetry (name: string): void
  /** Called when an engine has been silent for longer than the time-out of the request's class. */
  noteSilence (request: RequestId, engine: EngineId): void
  noteEnd (summary: ChatSummary): void
}

/** A validated chat request and what is known about it. */
export interface ChatContext {
  readonly requestId: RequestId
  readonly workspace: Workspace
  readonly class: RequestClass
  readonly chat: ChatRequest
  readonly promptTokens: number
  readonly prefix: string | null
  /** Arrival time on the box's monotonic clock, ms. */
  readonly arrivedAt: number
}

/** The outcome of a request, for logs and metrics. */
export interface ChatSummary {
  readonly context: ChatContext
  /** `left`: the caller disconnected. */
  readonly kind: ErrorKind | 'ok' | 'left'
  readonly status: number
  readonly attempts: number
  readonly engine: string
  readonly tokens: number
  /** Time from arrival to the first token; null if there was none. */
  readonly firstTokenMs: number | null
  readonly totalMs: number
  /** Tokens that engines generated for a response that was not completed. */
  readonly wastedTokens: number
}

/** Explains to the caller why no engine was granted. */
export function describeRefusal (reason: string, context: ChatContext): string {
  switch (reason) {
    case 'no-engine': return `no engine for model ${context.chat.model} can take the request`
    case 'queue-full': return `the queue of class ${context.class.name} is full`
    default: return `demand of class ${context.class.name} exceeds capacity; its target could not be met`
  }
}
