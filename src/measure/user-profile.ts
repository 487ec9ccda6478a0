/** Deployments and workloads of the two example users. */
import { brandId } from '../core/index.js'
import type { ClassName, RequestClass } from '../core/index.js'
import type { EngineShape } from '../standin/index.js'

/** Traffic of one request class. */
export interface ClassTraffic {
  readonly class: RequestClass
  /** Requests a second outside bursts. */
  readonly rate: number
  /** Median tokens of an answer; lengths are log-normal with `spread` as their standard deviation in log space. */
  readonly tokens: number
  readonly spread: number
  readonly promptTokens: number
  /** How long a caller waits for the first token before it cancels, ms. */
  readonly callerTimeoutMs: number
}

/** Deployment and workload of a user. */
export interface UserProfile {
  readonly name: 'campsites' | 'tyres'
  readonly zones: number
  readonly engines: number
  readonly boxes: number
  readonly workspaces: number
  readonly places: number
  readonly floorPlaces: number
  readonly shape: EngineShape
  readonly traffic: readonly ClassTraffic[]
  /** The class whose rate rises during a burst. */
  readonly burstingClass: ClassName
}

const shape: EngineShape = {
  batch: 9,
  baseMs: 20,
  streamMs: 2,
  contextMs: 0.2,
  prefillMs: 60,
  kvTokens: 40_000,
  prefixTokens: 256,
  prefixEntries: 64
}

const minuteMs = 60_000

function describeClass (name: string, priority: number, firstTokenMs: number, betweenTokenMs: number, mayWait: boolean, wholeMs: number | null = null): RequestClass {
  return { name: brandId<ClassName>(name), priority, firstTokenMs, betweenTokenMs, wholeMs, mayWait, maxWaitMs: 60 * minuteMs }
}

const campsites: UserProfile = {
  name: 'campsites',
  zones: 4,
  engines: 60,
  boxes: 8,
  workspaces: 10,
  places: 8,
  floorPlaces: 1,
  shape,
  burstingClass: brandId<ClassName>('pitch-question'),
  traffic: [
    { class: describeClass('pitch-question', 0, 400, 80, false), rate: 60, tokens: 60, spread: 0.5, promptTokens: 500, callerTimeoutMs: 5000 },
    { class: describeClass('ranger-lookup', 0, 600, 80, false), rate: 25, tokens: 40, spread: 0.4, promptTokens: 300, callerTimeoutMs: 5000 },
    { class: describeClass('itinerary-draft', 4, 20_000, 500, true), rate: 4, tokens: 700, spread: 0.6, promptTokens: 800, callerTimeoutMs: 60 * minuteMs }
  ]
}

const tyres: UserProfile = {
  name: 'tyres',
  zones: 3,
  engines: 65,
  boxes: 9,
  workspaces: 10,
  places: 8,
  floorPlaces: 1,
  shape,
  burstingClass: brandId<ClassName>('quick-question'),
  traffic: [
    { class: describeClass('quick-question', 0, 400, 80, false), rate: 50, tokens: 50, spread: 0.5, promptTokens: 250, callerTimeoutMs: 5000 },
    { class: describeClass('fitting-quote', 1, 1500, 100, false, 45_000), rate: 10, tokens: 350, spread: 0.5, promptTokens: 1200, callerTimeoutMs: 10_000 },
    { class: describeClass('claim-tag', 5, 30_000, 500, true), rate: 20, tokens: 25, spread: 0.3, promptTokens: 600, callerTimeoutMs: 60 * minuteMs }
  ]
}

export const userProfiles: readonly UserProfile[] = [campsites, tyres]

/** Tokens a second that all engines generate together with full batches; context and prefill time are not counted. */
export function computeCapacity (user: UserProfile): number {
  const { batch, baseMs, streamMs } = user.shape
  return user.engines * batch * 1000 / (baseMs + streamMs * batch)
}
