/** What a box knows of one service: its share, its demand, what is learned of its engines, and what waits in the box. */
import type { RoutedService } from '../routes/index.js'
import { DemandMeter } from './demand-meter.js'
import { createLearning } from './engine-learning.js'
import type { EngineLearning } from './engine-learning.js'
import { KindWatch } from './kind-watch.js'
import { PauseRange } from './pause-range.js'
import { ReadingShare } from './reading-share.js'

export interface ServiceState extends EngineLearning {
  readonly service: RoutedService
  readonly share: ReadingShare
  /** Pauses that requests bear. */
  readonly pauses: PauseRange
  readonly kinds: KindWatch
  /** Prompt tokens of requests that bear long pauses, and of the others. */
  readonly patient: DemandMeter
  readonly brisk: DemandMeter
  /** Tokens of requests that wait in this box, by priority. */
  readonly held: Map<number, number>
}

/** A service of which nothing has been learned. */
export function createState (service: RoutedService): ServiceState {
  return { ...createLearning(), service, share: new ReadingShare(), pauses: new PauseRange(), kinds: new KindWatch(), patient: new DemandMeter(), brisk: new DemandMeter(), held: new Map() }
}
