/** What is learned of the engines of a service as a whole, shared by the views of its engines. */
import { RunningQuantile } from './average.js'
import { DemandMeter } from './demand-meter.js'
import { rateWindowMs } from './kind-tracker.js'
import { Lateness } from './lateness.js'
import { ReadingPause } from './reading-pause.js'

/** Time to read a prompt token before any was measured, ms: a middling engine of the users' days. */
const initialReadMsPerToken = 0.024
/** Prompts of which all tokens ahead were known are read the fastest; they tell the pace. */
const readTimeQuantile = 0.3
/** Part by which samples move what is believed of a service's time per token. */
const readTimeStep = 0.05

export interface EngineStats {
  /** Time to read a prompt token, ms. */
  readonly readMsPerToken: RunningQuantile
  /** Pauses of streams beside reading. */
  readonly readingPause: ReadingPause
  readonly lateness: Lateness
  /** Prompt tokens of this box's requests whose first event has arrived. */
  readonly readMeter: DemandMeter
}

/** What is believed before anything was measured. */
export function createEngineStats (): EngineStats {
  return {
    readMsPerToken: new RunningQuantile(initialReadMsPerToken, readTimeQuantile, readTimeStep),
    readingPause: new ReadingPause(),
    lateness: new Lateness(),
    readMeter: new DemandMeter(rateWindowMs)
  }
}
