/**
 * The shares of workspaces as one box knows them: its own meters and the totals of the others, or its own part of the
 * capacity while it hears no hub. The load that it answers is that of `workspace-shares.ts`.
 */
import { limitAdmission } from './admission.js'
import type { Admission } from './admission.js'
import type { AdmissionCredits } from './admission-credits.js'
import type { ServiceTotal } from './box-load.js'
import type { EndpointView } from './endpoint-view.js'
import { admitByShare, countSlots, findMeanAnswerMs, isServiceFull } from './plain-admission.js'
import { countExpectedTokens } from './prompt-reading.js'
import type { ServiceState } from './service-state.js'
import type { RequestProfile } from './work.js'
import { composeReport } from './workspace-demand.js'
import type { WorkspaceRates } from './workspace-demand.js'
import { ShareDivision, computeShareRetryMs, reportingDemandShare } from './workspace-shares.js'
import type { WorkspaceShare } from './workspace-shares.js'

/** What a box knows of a service when it divides its capacity. */
export interface ShareContext {
  readonly state: ServiceState
  readonly usable: readonly EndpointView[]
  /** Load reported for the other boxes; null if none is reported. */
  readonly others: ServiceTotal | null
  /** Age of that report, null if it has expired, and the number of boxes among which the capacity is divided then; else 1. */
  readonly freshness: { readonly ageMs: number | null, readonly boxes: number }
  /** Measures the capacity of engines, tokens/s; null for a plain service. */
  readonly measureEngines: ((boxes: number) => number) | null
}

/** Fractions of the allowed wait. Below the first, everyone is admitted; above the second, only workspaces within their share. */
const ampleWaitShare = 0.2
const reservedWaitShare = 0.6
/** Fraction of the reading capacity that is divided, the same as among kinds. */
const plannedReadingShare = 0.95
/**
 * The same for slots. More than there are, as workspaces over their share are also kept from the last free ones,
 * which leaves some of the capacity unused.
 */
const plannedSlotRatio = 1.02
/** Work that a slot does in a second, ms of answer time. */
const slotWork = 1000

/** Records an arrival for the meters by workspace. */
export function noteWorkspace ({ service, workspaces }: ServiceState, { workspace, level, cost }: RequestProfile, at: number): void {
  if (service.engine === null) workspaces.note(workspace, level, 1, at)
  else if (cost !== null) workspaces.note(workspace, level, countExpectedTokens(cost), at)
}

/** The rates by workspace that a box reports; below the demand at which shares are near, only their sum by kind. */
export function composeShareReport (context: ShareContext | null, at: number): Partial<WorkspaceRates> {
  if (context === null) return {}
  const { isOn, demand, capacity } = divideService(context, at)
  return composeReport(context.state.workspaces, findScale(context), isOn || demand >= capacity * reportingDemandShare, at)
}

/** The share of a request's workspace; null while shares do not apply. */
export function findShare (context: ShareContext | null, { workspace, level }: RequestProfile, at: number): WorkspaceShare | null {
  return context === null ? null : divideService(context, at).find(workspace, level)
}

/** Decides whether to admit a request to a plain service; null while shares do not apply. */
export function admitPlain (context: ShareContext | null, work: RequestProfile, at: number): Admission | null {
  const share = findShare(context, work, at)
  if (context === null || share === null) return null
  const { state, usable, freshness } = context
  return admitByShare(share, countSlots(usable, freshness.boxes, at), state.slotReserve.share, state.workspaces.findCredits(work.workspace, work.level), work.level)
}

/** Restricts admission to engines to the share of a workspace. The end of the allowed wait is left to workspaces within theirs. */
export function limitToShare (admission: Admission, workspaceShare: WorkspaceShare, credits: AdmissionCredits, level: number): Admission {
  const { waitMs, allowedMs, retryAfterMs } = admission
  const { fraction } = workspaceShare
  if (fraction >= 1 || retryAfterMs !== null || waitMs <= allowedMs * ampleWaitShare) return { ...admission, workspaceShare }
  if (waitMs > allowedMs * reservedWaitShare) return { ...admission, share: 0, retryAfterMs: computeShareRetryMs(fraction), workspaceShare, isOverShare: true }
  return { ...limitAdmission(admission, fraction, credits, level), workspaceShare, isOverShare: true }
}

function divideService (context: ShareContext, at: number): ShareDivision {
  const { state, usable, others, freshness: { ageMs, boxes }, measureEngines } = context
  return state.shares.reuse(at, () => {
    const scale = findScale(context)
    const capacity = measureEngines === null ? countSlots(usable, boxes, at).slots * slotWork : measureEngines(boxes)
    return new ShareDivision({
      own: { workspaces: state.workspaces.measure(at).map(([workspace, level, rate]) => [workspace, level, rate * scale]) },
      others: ageMs === null ? null : others,
      capacity,
      planned: capacity * (measureEngines === null ? plannedSlotRatio : plannedReadingShare),
      isFull: isServiceFull(usable, at),
      ageMs
    })
  })
}

// Work of one unit of the meters.
function findScale ({ usable, measureEngines }: ShareContext): number {
  return measureEngines === null ? findMeanAnswerMs(usable) : 1
}
