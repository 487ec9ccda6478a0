/**
 * Admission of requests to a plain service while demand reaches its capacity. Requests of workspaces within their
 * share are admitted. The others are admitted in proportion, and not to the last free slots: with 24 slots that
 * everyone fills, one request in eight finds all of them taken, whoever sent it.
 */
import type { Admission } from './admission.js'
import type { AdmissionCredits } from './admission-credits.js'
import type { EndpointView } from './endpoint-view.js'
import { computeShareRetryMs } from './workspace-shares.js'
import type { WorkspaceShare } from './workspace-shares.js'

/** While this fraction of the slots is free beside the reserve, everyone is admitted: shares only divide what is scarce. */
const ampleSlotShare = 0.1
/** An endpoint that refused a request as full has no free slot for this long, ms, whatever totals that lag say. */
const takenMs = 100
/** How long a refusal by a full endpoint counts, ms. */
const fullMs = 1000

/** Slots of a plain service, as far as this box may use them. */
export interface SlotCount {
  readonly slots: number
  /** Believed to be free, from own requests and the totals of others. */
  readonly free: number
}

/** Counts the slots of endpoints; `sharers`: boxes that use them without their load being known here, including this one. */
export function countSlots (usable: readonly EndpointView[], sharers: number, at: number): SlotCount {
  let slots = 0
  let free = 0
  for (const { record, running, fullAt } of usable) {
    slots += record.slots / sharers
    if (at - fullAt > takenMs) free += Math.max(0, record.slots / sharers - running)
  }
  return { slots, free }
}

/** Mean answer time of a service, ms: the slots over the rate at which their endpoints answer. Endpoints without an answer count as average. */
export function findMeanAnswerMs (usable: readonly EndpointView[]): number {
  const known = usable.filter(({ answerMs }) => answerMs.count > 0)
  const views = known.length > 0 ? known : usable
  const slots = views.reduce((sum, { record }) => sum + record.slots, 0)
  const rate = views.reduce((sum, { record, answerMs }) => sum + record.slots / Math.max(1, answerMs.value), 0)
  return rate > 0 ? slots / rate : 1
}

/** True if an endpoint refused a request of this box as full within the last second. */
export function isServiceFull (usable: readonly EndpointView[], at: number): boolean {
  return usable.some(({ fullAt }) => at - fullAt <= fullMs)
}

/** Decides whether to admit a request to a plain service; `reserve`: fraction of the slots that is kept free for workspaces within their share, at least one. */
export function admitByShare (workspaceShare: WorkspaceShare, { slots, free }: SlotCount, reserve: number, credits: AdmissionCredits, level: number): Admission {
  const { fraction } = workspaceShare
  const isAdmitted = fraction >= 1 || free >= slots * (reserve + ampleSlotShare) || (free >= Math.max(1, slots * reserve) && credits.tryConsume(level, fraction))
  return {
    backlog: { ownTokens: 0, otherTokens: 0, queuedTokens: 0, lessUrgentTokens: 0, engines: 0, rate: 0 },
    lateness: 1,
    waitMs: 0,
    ownReadingMs: 0,
    allowedMs: 0,
    sinceLessUrgentMs: Infinity,
    share: fraction,
    retryAfterMs: isAdmitted ? null : computeShareRetryMs(fraction),
    workspaceShare: { ...workspaceShare, free },
    isOverShare: fraction < 1
  }
}
