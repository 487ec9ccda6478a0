/** What a box learns of one service: its share, its pace, its demand, and what waits in the box. */
import type { RoutedService } from '../routes/index.js'
import { FadingAverage, RunningQuantile } from './average.js'
import { DemandMeter } from './demand-meter.js'
import { PauseRange } from './pause-range.js'
import { ReadingPause } from './reading-pause.js'
import { ReadingShare } from './reading-share.js'

/** Time to read a prompt token before any was measured, ms: a middling engine of the users' days. */
const firstPaceMs = 0.024
/** Prompts of which all tokens ahead were known are read the fastest; they tell the pace. */
const paceQuantile = 0.3
/** Part by which samples move what is believed of a service's time per token. */
const paceStep = 0.05

/** Weight of the newest first event in how late they are: a burst makes them late within a second. */
const latenessGain = 0.08

export interface ServiceState {
  readonly service: RoutedService
  readonly share: ReadingShare
  /** Time to read a prompt token at the service's engines, ms. */
  readonly pace: RunningQuantile
  /** Pauses of streams beside reading. */
  readonly readingPause: ReadingPause
  /** How many times longer first events took than was expected of prompts as they were sent. */
  readonly lateness: FadingAverage
  /** Pauses that requests bear. */
  readonly pauses: PauseRange
  /** Prompt tokens of requests that bear long pauses, and of the others. */
  readonly patient: DemandMeter
  readonly brisk: DemandMeter
  /** Tokens of requests that wait in this box, by priority. */
  readonly held: Map<number, number>
}

/** A service of which nothing has been learned. */
export function createState (service: RoutedService): ServiceState {
  return { service, share: new ReadingShare(), pace: createPace(), readingPause: new ReadingPause(), lateness: createLateness(), pauses: new PauseRange(), patient: new DemandMeter(), brisk: new DemandMeter(), held: new Map() }
}

/** That first events take as long as expected is believed before any was seen. */
export function createLateness (): FadingAverage { return new FadingAverage(1, latenessGain) }

/** The pace that is believed before any was measured. */
export function createPace (): RunningQuantile {
  return new RunningQuantile(firstPaceMs, paceQuantile, paceStep)
}
