/** What a box knows of one service: its share, its demand, what is learned of its engines, and what waits in the box. */
import type { RoutedService } from '../routes/index.js'
import { AdmissionCredits } from './admission-credits.js'
import { CongestionTracker } from './congestion-tracker.js'
import { DemandMeter } from './demand-meter.js'
import { createEngineStats } from './engine-stats.js'
import type { EngineStats } from './engine-stats.js'
import { KindTracker } from './kind-tracker.js'
import type { ServiceDemand } from './load-word.js'
import { PauseRange } from './pause-range.js'
import { DedicatedCountController } from './dedicated-count.js'

export interface ServiceState extends EngineStats {
  readonly service: RoutedService
  readonly dedicatedCount: DedicatedCountController
  /** Pauses that requests bear. */
  readonly pauses: PauseRange
  readonly kinds: KindTracker
  /** Prompt tokens of requests that bear long pauses, and of the others. */
  readonly tolerantDemand: DemandMeter
  readonly sensitiveDemand: DemandMeter
  /** Tokens of requests that wait in this box, by priority. */
  readonly held: Map<number, number>
  readonly credits: AdmissionCredits
  readonly congestion: CongestionTracker
}

/** A service of which nothing has been learned. */
export function createServiceState (service: RoutedService): ServiceState {
  return { ...createEngineStats(), service, dedicatedCount: new DedicatedCountController(), pauses: new PauseRange(), kinds: new KindTracker(), tolerantDemand: new DemandMeter(), sensitiveDemand: new DemandMeter(), held: new Map(), credits: new AdmissionCredits(), congestion: new CongestionTracker() }
}

/** What a box tells its hub of a service. */
export function composeDemand ({ service, tolerantDemand, sensitiveDemand, dedicatedCount, held, kinds, readMeter, readingPause }: ServiceState, at: number): ServiceDemand {
  const { count, base } = dedicatedCount.counts
  return { service: service.name, patient: Math.round(tolerantDemand.rate(at)), brisk: Math.round(sensitiveDemand.rate(at)), apart: count, base, readingPauseMs: readingPause.find(at), held: [...held], rates: kinds.measureRates(at), read: Math.round(readMeter.rate(at)) }
}
