/** Measurements over all engines of a service, shared by the views of its engines. */
import { RunningQuantile } from './average.js'
import { RateMeter } from './rate-meter.js'
import { rateWindowMs } from './kind-tracker.js'
import { Lateness } from './lateness.js'
import { ReadingPause } from './reading-pause.js'
import { SlotReserve } from './slot-reserve.js'

/** Time to read a prompt token before any was measured, ms: that of a typical engine in production. */
const initialReadMsPerToken = 0.024
/** A low quantile of the measured read times is used: prompts with all tokens ahead known are read the fastest, and others include unknown waits. */
const readTimeQuantile = 0.3
/** Relative step by which samples adjust the read time per token of a service. */
const readTimeStep = 0.05

export interface EngineStats {
  /** Time to read a prompt token, ms. */
  readonly readMsPerToken: RunningQuantile
  /** Pauses of streams while prompts are read beside them. */
  readonly readingPause: ReadingPause
  readonly lateness: Lateness
  /** Prompt tokens of this box's requests whose first event has arrived. */
  readonly readMeter: RateMeter
  /** Of a plain service. */
  readonly slotReserve: SlotReserve
}

/** Initial values before anything was measured. */
export function createEngineStats (): EngineStats {
  return {
    readMsPerToken: new RunningQuantile(initialReadMsPerToken, readTimeQuantile, readTimeStep),
    readingPause: new ReadingPause(),
    lateness: new Lateness(),
    readMeter: new RateMeter(rateWindowMs),
    slotReserve: new SlotReserve()
  }
}
