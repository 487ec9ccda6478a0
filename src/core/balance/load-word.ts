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
}

/** Prompt tokens a second that arrive at one box for a service. */
export interface ServiceDemand {
  readonly service: ServiceName
  /** Of requests that bear long pauses. */
  readonly patient: number
  /** Of requests whose pauses must stay short. */
  readonly brisk: number
}

/** What a box tells its peers of its work. */
export interface BoxLoad {
  readonly loads: readonly EndpointLoad[]
  readonly demands: readonly ServiceDemand[]
}
