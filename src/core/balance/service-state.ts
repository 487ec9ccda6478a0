/** What a box knows of one service: its share, its demand, what is learned of its engines, and what waits in the box. */
import type { RoutedService } from '../routes/index.js'
import { AdmissionCredits } from './admission-credits.js'
import { CongestionTracker } from './congestion-tracker.js'
import { DemandMeter } from './demand-meter.js'
import { createLearning } from './engine-learning.js'
import type { EngineLearning } from './engine-learning.js'
import { KindWatch } from './kind-watch.js'
import type { ServiceDemand } from './load-word.js'
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
  readonly credits: AdmissionCredits
  readonly congestion: CongestionTracker
}

/** A service of which nothing has been learned. */
export function createState (service: RoutedService): ServiceState {
  return { ...createLearning(), service, share: new ReadingShare(), pauses: new PauseRange(), kinds: new KindWatch(), patient: new DemandMeter(), brisk: new DemandMeter(), held: new Map(), credits: new AdmissionCredits(), congestion: new CongestionTracker() }
}

/** What a box tells its hub of a service. */
export function composeDemand ({ service, patient, brisk, share, held, kinds, readMeter, readingPause }: ServiceState, at: number): ServiceDemand {
  const { count, base } = share.counts
  return { service: service.name, patient: Math.round(patient.rate(at)), brisk: Math.round(brisk.rate(at)), apart: count, base, readingPauseMs: readingPause.find(at), held: [...held], rates: kinds.measureRates(at), read: Math.round(readMeter.rate(at)) }
}
