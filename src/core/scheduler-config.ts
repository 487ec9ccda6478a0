import type { EngineId, ModelName } from './ids.js'
import type { RequestClass } from './request-class.js'

/** An engine as a scheduler knows it from the configuration. */
export interface EngineSpec {
  readonly id: EngineId
  readonly models: readonly ModelName[]
  /** Streams that requests which may not wait can use together. */
  readonly places: number
  /** Streams beside those, for requests that may wait. */
  readonly floorPlaces: number
  /** Time to take in 1,000 prompt tokens that are not cached, ms. */
  readonly prefillMs: number
}

/** Everything a scheduler takes from the configuration. */
export interface SchedulerConfig {
  readonly classes: readonly RequestClass[]
  readonly engines: readonly EngineSpec[]
  /** Requests that may wait are kept up to this number for each engine. */
  readonly queuePerEngine: number
  /** At most this share of the engines is set aside as slow, 0 to 1. */
  readonly ejectShare: number
  /** Factor on the predicted wait when deciding whether a target can be met. */
  readonly waitMargin: number
}

/** Bounds that suit the sizes of today. */
export const defaultTuning = {
  queuePerEngine: 16,
  ejectShare: 0.3,
  waitMargin: 1
} as const
