/**
 * Forecasts the pauses that reading prompts causes to the streams of an engine, and what they cost. An engine reads a
 * prompt in chunks between decoding steps, so streams pause the longer, the more is read within one event.
 *
 * The load that this answers: short streams with a strict pause limit beside kinds with long prompts. The first event of
 * nearly every stream is in time, but where streams and long prompts meet, a third of the streams break their limit.
 */

/** What the forecast needs to know of a service. */
export interface PauseLimits {
  /** The shortest pause that any recent kind of request tolerates, ms. */
  readonly strictestMs: number
  /** Pause of streams at an engine of median speed that reads without a break, ms. */
  readonly readingPauseMs: number
}

export interface PauseInput {
  readonly limits: PauseLimits
  /** How much slower the engine is than the median. */
  readonly slowness: number
  /** Time in which the engine reads the prompts ahead, ms. */
  readonly aheadMs: number
  /** Time in which it reads the prompt of the request, ms. */
  readonly readingMs: number
  /** Streams at the engine that do not tolerate long reads. */
  readonly sensitiveStreams: number
  /** Pause that the request itself tolerates, ms; null if it has no events. */
  readonly pauseMs: number | null
}

/** Cost of a stream that breaks its limit, ms: that of a lost request, as a late answer is of little use to its caller. */
const brokenStreamMs = 400
/** A pause of less than this fraction of the limit breaks no stream: the forecast counts whole prompts, and only a part of one falls between two events. */
const harmlessShare = 0.5
/** Engines read without a break only at times, so a stream is at risk only where that would pass its limit by far. */
const minOwnShare = 0.75
const maxOwnShare = 2.25

/** Cost of the streams that are expected to break their pause limit if a request is placed at an engine, ms. */
export function estimatePauseCostMs ({ limits, slowness, aheadMs, readingMs, sensitiveStreams, pauseMs }: PauseInput): number {
  const continuousMs = limits.readingPauseMs * slowness
  const before = estimateBreakRisk(Math.min(aheadMs, continuousMs), limits.strictestMs)
  const after = estimateBreakRisk(Math.min(aheadMs + readingMs, continuousMs), limits.strictestMs)
  const ownRisk = pauseMs === null ? 0 : convertToFraction(continuousMs / pauseMs, minOwnShare, maxOwnShare)
  return brokenStreamMs * (sensitiveStreams * (after - before) + ownRisk)
}

function estimateBreakRisk (pauseMs: number, limitMs: number): number { return convertToFraction(pauseMs / limitMs, harmlessShare, 1) }

// From 0 at `from` to 1 at `to`.
function convertToFraction (value: number, from: number, to: number): number { return Math.min(1, Math.max(0, (value - from) / (to - from))) }
