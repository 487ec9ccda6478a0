import type { EngineId, ModelName } from './ids.js'
import type { RequestClass } from './request-class.js'

/** Configuration of an engine. */
export interface EngineSpec {
  readonly id: EngineId
  readonly models: readonly ModelName[]
  /** Maximum number of concurrent interactive streams. */
  readonly places: number
  /** Additional concurrent streams that are reserved for deferrable requests. */
  readonly floorPlaces: number
  /** Prefill time of 1,000 uncached prompt tokens, ms. */
  readonly prefillMs: number
}

export interface SchedulerConfig {
  readonly classes: readonly RequestClass[]
  readonly engines: readonly EngineSpec[]
  /** Maximum number of queued deferrable requests per engine. */
  readonly queuePerEngine: number
  /** Upper bound on the fraction of engines marked as slow, 0 to 1. */
  readonly ejectShare: number
  /** Safety factor on the predicted wait when deciding whether a target can be met. */
  readonly waitMargin: number
}

/** Defaults that suit the current sizes of deployments. */
export const defaultTuning = {
  queuePerEngine: 16,
  ejectShare: 0.3,
  waitMargin: 1
} as const
