/**
 * What boxes tell of their work: at each endpoint, of each service, and the
 * speed of engines. Each box tells a hub; the hub tells all boxes the totals.
 */
import type { EndpointId, ServiceName, ZoneName } from '../ids.js'

/** Prompt tokens that wait to be read, by the priority of their requests. */
export type WaitingTokens = readonly (readonly [priority: number, tokens: number])[]

/** Arrival rates in prompt tokens/s, by the level of the kind. */
export type KindRates = readonly (readonly [level: number, rate: number])[]

/** What one box, or all of them, have at one endpoint. */
export interface EndpointLoad {
  readonly endpoint: EndpointId
  /** Requests in flight. */
  readonly running: number
  /** Those of them whose pauses break where a prompt is read beside them. */
  readonly brisk: number
  /** Memory that they are expected to take, tokens. */
  readonly memory: number
  readonly waiting: WaitingTokens
  /** The most that one waiting prompt still has to be read, tokens: a prompt that is begun is not put back. */
  readonly largest: number
  /** Boxes that the endpoint has asked to back off. */
  readonly backedOff: number
}

/** Time between events at an engine while it reads no prompt, ms: as one box measured it, or the middle of what all did. */
export type EngineGap = readonly [endpoint: EndpointId, gapMs: number]

/** Shared parts of a prompt that was just sent to an engine; once `isKept`, it has been read there and may be taken by others. */
export type ReadPrompt = readonly [endpoint: EndpointId, parts: readonly (readonly [id: string, tokens: number])[], isKept: boolean]

/** Prompt tokens a second that arrive for a service, at one box or at all of them. */
export interface ServiceDemand {
  readonly service: ServiceName
  /** Of requests that bear long pauses. */
  readonly patient: number
  /** Of requests whose pauses must stay short. */
  readonly brisk: number
  /** Engines that the box would set apart for long prompts; of several boxes the most. */
  readonly apart: number
  /** Those of them that are homes of shared prompts; of several boxes the most. */
  readonly base: number
  /** The pause of streams beside an engine that reads all the time, ms; of several boxes the middle; null where none was seen. */
  readonly readingPauseMs: number | null
  /** Tokens of requests that wait in the boxes themselves. */
  readonly held: WaitingTokens
  /** Arrival rate of each kind; not sent by boxes of earlier versions. */
  readonly rates?: KindRates
  /** Reading rate of requests whose first event has arrived, in prompt tokens/s; not sent by boxes of earlier versions. */
  readonly read?: number
}

/** What a box tells its hub of its work. */
export interface BoxLoad {
  readonly loads: readonly EndpointLoad[]
  readonly demands: readonly ServiceDemand[]
  readonly gaps: readonly EngineGap[]
  readonly prompts: readonly ReadPrompt[]
}

/** The demand for a service over several boxes. */
export interface ServiceTotal extends ServiceDemand {
  /** Boxes in which requests of the service wait. */
  readonly holders: number
}

/** What a hub tells of the work of all boxes that it hears. */
export interface LoadTotals {
  readonly loads: readonly EndpointLoad[]
  readonly demands: readonly ServiceTotal[]
  readonly gaps: readonly EngineGap[]
  readonly prompts: readonly ReadPrompt[]
  /** Zones from which a box was heard just now. */
  readonly zones: readonly ZoneName[]
}

/** Nothing at all: what is known of the others where no hub is heard. */
export const noTotals: LoadTotals = { loads: [], demands: [], gaps: [], prompts: [], zones: [] }
