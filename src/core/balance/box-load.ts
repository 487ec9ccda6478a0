/**
 * Load reports of boxes: for each endpoint, for each service, and the speed of engines. Each box reports to a hub,
 * and the hub sends the totals to all boxes.
 */
import type { EndpointId, ServiceName, ZoneName } from '../ids.js'
import type { CpuRange } from './contention.js'
import type { KeptCounts } from './kept-slots.js'
import type { OutcomeCounts } from './recent-outcomes.js'
import type { ReturnReport } from './return-slots.js'
import type { WorkspaceRates } from './workspace-demand.js'

/** Prompt tokens waiting to be read, by the priority of their requests. */
export type WaitingTokens = readonly (readonly [priority: number, tokens: number])[]

/** Arrival rates by the level of the kind, in prompt tokens/s; for a plain service in requests/s. */
export type KindRates = readonly (readonly [level: number, rate: number])[]

/** Load of one box, or of several, at one endpoint. */
export interface EndpointLoad {
  readonly endpoint: EndpointId
  /** Requests in flight. */
  readonly running: number
  /** Those of them that are pause-sensitive: reading a prompt beside them violates their pause limit. */
  readonly brisk: number
  /** Memory that they are expected to take, tokens. */
  readonly memory: number
  readonly waiting: WaitingTokens
  /** The most unread tokens of one waiting prompt: a prompt that was started is not preempted. */
  readonly largest: number
  /** Number of boxes that the endpoint has asked to back off. */
  readonly backedOff: number
}

/** Time between events at an engine while it reads no prompt, ms: as measured by one box, or the median over several. */
export type EngineGap = readonly [endpoint: EndpointId, gapMs: number]

/** Shared parts of a prompt that was recently sent to an engine; once `isKept`, they are cached there, and other engines may fetch them. */
export type PromptReport = readonly [endpoint: EndpointId, parts: readonly (readonly [id: string, tokens: number])[], isKept: boolean]

/** Demand for a service at one box or at several; arrival rates in prompt tokens/s. Rates by workspace are only sent while the measures against contention are on. */
export interface ServiceDemand extends Partial<WorkspaceRates> {
  readonly service: ServiceName
  /** Arrival rate of pause-tolerant requests. */
  readonly patient: number
  /** Arrival rate of pause-sensitive requests. */
  readonly brisk: number
  /** Number of engines that the box would dedicate to long prompts; the maximum over several boxes. */
  readonly apart: number
  /** Those of them among which affinity engines of shared prompts are selected; the maximum over several boxes. */
  readonly base: number
  /** The pause of streams at an engine that reads continuously, ms; the median over several boxes; null if none was measured. */
  readonly readingPauseMs: number | null
  /** Tokens of requests that are queued in the boxes. */
  readonly held: WaitingTokens
  /** Arrival rate of each kind; not sent by boxes of earlier versions. */
  readonly rates?: KindRates
  /** Reading rate of requests whose first event has arrived, in prompt tokens/s; not sent by boxes of earlier versions. */
  readonly read?: number
  /** Learned start time and time per prompt token to the first event, ms; the median over several boxes; omitted until learned. */
  readonly firstEvent?: readonly [startMs: number, msPerToken: number]
  /** CPU shares of the boxes; only sent where boxes need to know whether they are alike. */
  readonly boxCpu?: CpuRange
  /** What refused callers were told to return with; only sent while the measures against contention are on. */
  readonly returns?: ReturnReport
  /** Free slots of a plain service's endpoints that boxes are about to use again; only sent while the measures against contention are on. */
  readonly kept?: KeptCounts
  /** Outcomes at endpoints where requests recently broke; only sent while the measures against contention are on. */
  readonly outcomes?: OutcomeCounts
}

/** The load report of a box to its hub. */
export interface BoxLoad {
  readonly loads: readonly EndpointLoad[]
  readonly demands: readonly ServiceDemand[]
  readonly gaps: readonly EngineGap[]
  readonly prompts: readonly PromptReport[]
}

/** The demand for a service over several boxes. */
export interface ServiceTotal extends ServiceDemand {
  /** Number of boxes that queue requests of the service. */
  readonly holders: number
}

/** The totals that a hub reports, over all boxes known to it. */
export interface LoadTotals {
  readonly loads: readonly EndpointLoad[]
  readonly demands: readonly ServiceTotal[]
  readonly gaps: readonly EngineGap[]
  readonly prompts: readonly PromptReport[]
  /** Zones with a recent report of a box. */
  readonly zones: readonly ZoneName[]
}

/** Empty totals, used while no hub is reachable. */
export const noTotals: LoadTotals = { loads: [], demands: [], gaps: [], prompts: [], zones: [] }
