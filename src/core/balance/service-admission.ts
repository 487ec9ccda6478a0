/**
 * Admission of requests to a service's engines, and the check that holds back
 * less urgent requests while more urgent ones are late. Patient requests, which
 * tolerate the pauses of prompt reading, are held in the box until an engine has
 * room; all others are sent immediately, whichever engine they go to.
 */
import { decideAdmission, isPressed, measureBacklog } from './admission.js'
import type { Admission, Backlog } from './admission.js'
import { countHeld } from './agreed-share.js'
import type { KnownKind } from './kind-watch.js'
import { addWaiting } from './load-sum.js'
import type { KindRates, ServiceTotal } from './load-word.js'
import type { Outlook } from './outlook.js'
import { expectReading } from './prompt-homes.js'
import type { PromptHolder } from './prompt-plan.js'
import { isPatient } from './prompt-reading.js'
import type { EngineProfile } from '../routes/index.js'
import type { ServiceState } from './service-state.js'
import type { PromptCost, Work } from './work.js'

/** State of a service, as known to this box, on which admission is decided. */
export interface AdmissionContext {
  readonly state: ServiceState
  readonly engine: EngineProfile
  readonly outlook: Outlook
  /** Load reported for the other boxes; null if none is reported. */
  readonly others: ServiceTotal | null
  /** The shortest tolerated pause with which a request is patient, ms. */
  readonly patienceMs: number
  listHolders (cost: PromptCost): PromptHolder[]
}

/** Decides whether to admit a request; returns null for one that is not patient, which is always admitted. */
export function admitToEngines (context: AdmissionContext, work: Work, cost: PromptCost, at: number): Admission | null {
  return isPatient(work, context.patienceMs) ? admitPatient(context, work, cost, at) : null
}

function admitPatient (context: AdmissionContext, work: Work, cost: PromptCost, at: number): Admission {
  const { state, outlook: { apart, counts } } = context
  const side = apart.slice(0, Math.max(1, counts.count))
  const backlog = measureBacklogFor(context, work, at)
  if (backlog.lessTokens > 0) state.kinds.noteBegun(work.level + 1, at)
  return decideAdmission({
    backlog,
    lateness: state.lateness.find(work.level),
    readingMs: expectReading(cost, side, context.listHolders(cost), context.engine.transfer),
    targetMs: work.targetMs,
    urgentRate: sumUrgentRates(context, work.level, at),
    sinceLessMs: at - state.kinds.findLessBegun(work.level),
    lessTargetMs: state.kinds.findLessTarget(work.level, at)
  })
}

/**
 * Returns the level of the most urgent kind whose requests wait too long at the engines set apart, or Infinity if there is none.
 * Less urgent requests are held back meanwhile, because engines read in order of arrival, whatever the priority. Kinds that are
 * not patient are ignored: they use the other engines, and a long burst of them would block all reading at the engines set apart.
 */
export function findPressed (context: AdmissionContext, at: number): number {
  const { state, outlook, patienceMs } = context
  const isLate = (kind: KnownKind): boolean => isPatient(kind, patienceMs) && isPressed(measureBacklogFor(context, kind, at), state.lateness.find(kind.level), kind.targetMs)
  outlook.pressed ??= state.kinds.list(at).find(isLate)?.level ?? Infinity
  return outlook.pressed
}

// Backlog that is read before a request at the engines set apart.
function measureBacklogFor ({ state, outlook: { apart, counts }, others }: AdmissionContext, { level, priority }: Pick<Work, 'level' | 'priority'>, at: number): Backlog {
  const side = apart.slice(0, Math.max(1, counts.count))
  return measureBacklog(side, countHeld(state, others, priority), priority, state.kinds.findLowest(level, priority), at)
}

// Total arrival rate, in tokens/ms, of the patient kinds that are more urgent than `level`.
function sumUrgentRates (context: AdmissionContext, level: number, at: number): number {
  const { state, patienceMs } = context
  const patientLevels = new Set(state.kinds.list(at).filter(kind => isPatient(kind, patienceMs)).map(kind => kind.level))
  return listTotalRates(context, at).reduce((sum, [otherLevel, rate]) => otherLevel < level && patientLevels.has(otherLevel) ? sum + rate / 1000 : sum, 0)
}

// Arrival rates summed over this box and the others that report theirs.
function listTotalRates ({ state, others }: AdmissionContext, at: number): KindRates {
  return addWaiting(state.kinds.measureRates(at), others?.rates ?? [], 1)
}
