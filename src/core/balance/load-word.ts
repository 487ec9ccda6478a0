/** What boxes tell each other of their work: at each endpoint, of each service, and the speed of engines. */
import type { EndpointId, ServiceName } from '../ids.js'

/** Prompt tokens that wait to be read, by the priority of their requests. */
export type WaitingTokens = readonly (readonly [priority: number, tokens: number])[]

/** What one box has at one endpoint. */
export interface EndpointLoad {
  readonly endpoint: EndpointId
  /** Requests in flight. */
  readonly running: number
  /** Memory that they are expected to take, tokens. */
  readonly memory: number
  readonly waiting: WaitingTokens
  /** The most that one waiting prompt still has to be read, tokens: a prompt that is begun is not put back. */
  readonly largest: number
}

/** Time between events at an engine while it reads no prompt, as one box measured it, ms. */
export type EngineGap = readonly [endpoint: EndpointId, gapMs: number]

/** Prompt tokens a second that arrive at one box for a service. */
export interface ServiceDemand {
  readonly service: ServiceName
  /** Of requests that bear long pauses. */
  readonly patient: number
  /** Of requests whose pauses must stay short. */
  readonly brisk: number
  /** Engines that the box would set apart for long prompts, and those of them that are homes of shared prompts. */
  readonly apart: number
  readonly base: number
  /** Tokens of requests that wait in the box itself. */
  readonly held: WaitingTokens
}

/** What a box tells its peers of its work. */
export interface BoxLoad {
  readonly loads: readonly EndpointLoad[]
  readonly demands: readonly ServiceDemand[]
  readonly gaps: readonly EngineGap[]
}
