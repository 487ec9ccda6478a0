import type { Fleet, Route } from '../core/index.js'
import type { ActiveSend } from './active-send.js'
import type { Suspicion } from './hedge-policy.js'
import { computeMaxSilenceMs } from './retry-rules.js'

/** What a suspicion depends on, beside the send. */
export interface SendState {
  readonly fleet: Fleet
  readonly route: Route
  /** True once a part of the answer has been sent to the caller. */
  readonly hasBegun: boolean
}

/** Why a send is suspected at `now`: its stream has stalled, its path is lost, its zone is unreachable, or it takes far longer than usual; null if it isn't. */
export function findSuspicion (sent: ActiveSend, state: SendState, now: number): Suspicion | null {
  if (isStalled(sent, state, now)) return 'silent'
  if (isPathLost(sent, now)) return 'path-lost'
  if (isZoneCutOff(sent, state, now)) return 'zone-unreachable'
  return isHanging(sent, now) ? 'overdue' : null
}

function isStalled ({ splitter, placed, call }: ActiveSend, { route, hasBegun }: SendState, now: number): boolean {
  return splitter !== null && hasBegun && !call.isPaused && now - placed.lastEventAt > computeMaxSilenceMs(route)
}

// True for a direct send without an answer in the usual time, to an endpoint that is now reached through relays.
function isPathLost ({ placed, view, path }: ActiveSend, now: number): boolean {
  return path.relay === null && view.path === 'relay' && view.isOverdue(placed, now)
}

// True if the endpoint's zone has become unreachable before the answer began.
function isZoneCutOff ({ placed, call, view }: ActiveSend, { fleet }: SendState, now: number): boolean {
  return placed.firstAt === null && call.mayHaveRun && fleet.zones.isUnreachable(view.record.zone, now)
}

// True for a send without an answer in far more than the usual time, to an endpoint from which nothing else arrives either.
function isHanging ({ placed, call, view }: ActiveSend, now: number): boolean {
  return placed.firstAt === null && call.mayHaveRun && view.isLongOverdue(placed, now) && view.findActivity(now) === 'silent'
}
