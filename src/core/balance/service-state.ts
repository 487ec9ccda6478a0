/** The state of one service on a box: dedicated engines, demand, measurements of its engines, and queued requests. */
import type { RoutedService } from '../routes/index.js'
import { AdmissionCredits } from './admission-credits.js'
import type { ContentionSwitch } from './contention.js'
import { CongestionTracker } from './congestion-tracker.js'
import { RateMeter } from './rate-meter.js'
import { createEngineStats } from './engine-stats.js'
import type { EngineStats } from './engine-stats.js'
import { KindTracker } from './kind-tracker.js'
import type { ServiceDemand } from './box-load.js'
import { PauseClasses } from './pause-classes.js'
import { PauseRange } from './pause-range.js'
import { DedicatedCountController } from './dedicated-count.js'
import { WorkspaceDemand } from './workspace-demand.js'
import { ShareMemo } from './workspace-shares.js'

export interface ServiceState extends EngineStats {
  readonly service: RoutedService
  readonly dedicatedCount: DedicatedCountController
  /** Pauses that requests tolerate. */
  readonly pauses: PauseRange
  /** Kinds that share engines with long reads; only recorded while the measures against contention are on. */
  readonly pauseClasses: PauseClasses
  readonly kinds: KindTracker
  /** Arriving prompt tokens of pause-tolerant requests, and of pause-sensitive ones. */
  readonly tolerantDemand: RateMeter
  readonly sensitiveDemand: RateMeter
  /** Tokens of requests queued in this box, by priority. */
  readonly held: Map<number, number>
  readonly credits: AdmissionCredits
  readonly congestion: CongestionTracker
  /** Arrival rates by workspace; only measured while the measures against contention are on. */
  readonly workspaces: WorkspaceDemand
  readonly shares: ShareMemo
}

/** The initial state of a service. */
export function createServiceState (service: RoutedService, contention: ContentionSwitch): ServiceState {
  return { ...createEngineStats(contention), service, dedicatedCount: new DedicatedCountController(), pauses: new PauseRange(), pauseClasses: new PauseClasses(), kinds: new KindTracker(), tolerantDemand: new RateMeter(), sensitiveDemand: new RateMeter(), held: new Map(), credits: new AdmissionCredits(), congestion: new CongestionTracker(), workspaces: new WorkspaceDemand(), shares: new ShareMemo() }
}

/** The demand for a service that a box reports to its hub. */
export function composeDemand ({ service, tolerantDemand, sensitiveDemand, dedicatedCount, held, kinds, readMeter, readingPause }: ServiceState, at: number): ServiceDemand {
  const { count, base } = dedicatedCount.counts
  return { service: service.name, patient: Math.round(tolerantDemand.rate(at)), brisk: Math.round(sensitiveDemand.rate(at)), apart: count, base, readingPauseMs: readingPause.find(at), held: [...held], rates: kinds.measureRates(at), read: Math.round(readMeter.rate(at)) }
}

/** True if a box reports a demand; `isContended`: whether the measures against contention are on. */
export function hasDemand ({ patient, brisk, readingPauseMs, rates = [], returns = [], workspaces = [], workspaceRest = [], kept, outcomes }: ServiceDemand, isContended: boolean): boolean {
  if (patient > 0 || brisk > 0 || readingPauseMs !== null) return true
  if (kept !== undefined || outcomes !== undefined) return true
  return isContended && rates.length + returns.length + workspaces.length + workspaceRest.length > 0
}
