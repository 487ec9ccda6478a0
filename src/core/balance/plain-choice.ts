/**
 * Chooses an endpoint for a plain call, lets the call wait in the box, or gives it up. Load: callers that ask for 0.8
 * to 1.1 of the slots, endpoints of different speed, and boxes that decide on the same lagging totals. Endpoints that
 * are believed full get nothing; a call waits for one with a free slot while its answer can still come within its
 * target, and the less time it has left, the more doubtful the slots that it tries.
 */

/** A usable endpoint of the service, as this box knows it. */
export interface PlainCandidate {
  /** Expected time of an answer, ms. */
  readonly answerMs: number
  /** Expected time for which a request takes a slot, ms. */
  readonly slotMs: number
  readonly slots: number
  /** Expected number of free slots, may be negative or a fraction, and its standard deviation. */
  readonly free: number
  readonly spread: number
  /** True if it has refused a request as full, and its load can't have changed since. */
  readonly isRefusing: boolean
  /** Penalties other than distance, ms. */
  readonly penaltyMs: number
  /** False if it is doubtful or failing: it is used only for a call that would be given up otherwise. */
  readonly isSound: boolean
  /** Penalty of its zone, ms; 0 in the box's own. */
  readonly distanceMs: number
}

export interface PlainChoiceInput {
  /** May not be empty. */
  readonly candidates: readonly PlainCandidate[]
  readonly targetMs: number
  readonly waitedMs: number
  /** Calls that wait in this box for the service and go first. */
  readonly ahead: number
  /** Slots that this box uses on average: as many become free for its next calls in the time of one answer. */
  readonly ownSlots: number
  /** Fraction of the slots in use that this box uses; above 0. */
  readonly share: number
  /** True if a refusal as full ends the call. */
  readonly isLastSend: boolean
  /** At least 0 and less than 1. */
  readonly draw: number
}

/** `send`: to a candidate, by its place in the list; `wait`: in the box; `late`: no answer is expected within the target, and `retryAfterMs` until one would be. */
export type PlainDecision =
  | { readonly type: 'send', readonly index: number, readonly expectedMs: number }
  | { readonly type: 'wait', readonly expectedMs: number }
  | { readonly type: 'late', readonly expectedMs: number, readonly retryAfterMs: number }

/**
 * The greatest chance of a refusal with which a call is sent that has all its time to wait left, or none. Found by
 * replaying uneven endpoints with 5 to 70 boxes: with 0.6 for all calls, one send in four was refused.
 */
const patientChance = 0.08
const urgentChance = 0.8
/** Added to the former for a box that uses no slots of its own on average: waiting gains it nothing. With 0, 60 boxes answered 0.65 in time rather than 0.88. */
const strangerChance = 0.3
/** A box that uses this many slots on average waits for its own to become free. */
const settledSlots = 2
/** Factor on these chances for a call that a refusal would end. */
const lastSendFactor = 0.6
/** Least standard deviation of an estimate of free slots. */
const minSpread = 0.25
/** Slope of the logistic function that stands for the normal distribution. */
const logisticSlope = 1.7
/** Cost of a refusal as a fraction of the target: a second send takes from the retry budget, and there may be none. */
const refusalShare = 0.45
/** Endpoints whose costs differ by at most this fraction of the lowest, and at least by `tieMs`, are near-best. */
const tieShare = 0.1
const tieMs = 3
/** Least weight of a near-best endpoint in the draw, in free slots. */
const minWeight = 0.5
/** Least `Retry-After` of a call that is given up, ms. */
const minRetryMs = 50

/** Decides on a call. */
export function decidePlain (input: PlainChoiceInput): PlainDecision {
  const all = input.candidates.map((_, index) => index)
  const sound = all.filter(index => input.candidates[index].isSound)
  if (sound.length === 0 || sound.length === all.length) return decideAmong(input, all)
  const decision = decideAmong(input, sound)
  return decision.type === 'late' ? decideAmong(input, all) : decision
}

function decideAmong (input: PlainChoiceInput, among: readonly number[]): PlainDecision {
  const { candidates, targetMs, waitedMs, ahead, share } = input
  const fastestMs = Math.min(...among.map(index => candidates[index].answerMs))
  // A service that is slower than the target answers late rather than never.
  const isServiceLate = fastestMs > targetMs
  const mostChance = computeMostChance(input, fastestMs)
  const useful = among.filter(index => estimateRefusal(candidates[index]) <= mostChance && (isServiceLate || waitedMs + candidates[index].answerMs <= targetMs))
  if (useful.length > 0) return pickNearBest(input, useful)
  const slotsPerMs = among.reduce((sum, index) => sum + candidates[index].slots / Math.max(1, candidates[index].slotMs), 0)
  // At best, all slots that become free go to this box.
  const expectedMs = waitedMs + ahead / slotsPerMs + fastestMs
  if (isServiceLate ? waitedMs < targetMs : expectedMs <= targetMs) return { type: 'wait', expectedMs }
  return { type: 'late', expectedMs, retryAfterMs: Math.max(minRetryMs, (ahead + 1) / (slotsPerMs * share)) }
}

/** Chance that an endpoint refuses a call as full. */
export function estimateRefusal ({ free, spread, isRefusing }: Pick<PlainCandidate, 'free' | 'spread' | 'isRefusing'>): number {
  return isRefusing ? 1 : 1 / (1 + Math.exp(logisticSlope * (free - 0.5) / Math.max(minSpread, spread)))
}

// The greatest chance of a refusal with which the call is sent now.
function computeMostChance ({ targetMs, waitedMs, ownSlots, isLastSend }: PlainChoiceInput, fastestMs: number): number {
  const slack = Math.min(1, Math.max(0, 1 - waitedMs / Math.max(1, targetMs - fastestMs)))
  const patient = patientChance + strangerChance * Math.max(0, 1 - ownSlots / settledSlots)
  return (patient + (urgentChance - patient) * (1 - slack)) * (isLastSend ? lastSendFactor : 1)
}

// The draw is weighted by free slots, so that boxes with the same totals don't all choose the same endpoint. The own zone goes first among near-best ones.
function pickNearBest ({ candidates, targetMs, draw }: PlainChoiceInput, among: readonly number[]): PlainDecision {
  const costs = among.map(index => ({ index, ms: computeCost(candidates[index], targetMs), weight: Math.max(minWeight, candidates[index].free) }))
  const minMs = Math.min(...costs.map(({ ms }) => ms))
  const near = costs.filter(({ ms }) => ms <= minMs + Math.max(tieMs, minMs * tieShare))
  const local = near.filter(({ index }) => candidates[index].distanceMs === 0)
  const drawn = local.length > 0 ? local : near
  let left = draw * drawn.reduce((sum, { weight }) => sum + weight, 0)
  const chosen = drawn.find(({ weight }) => (left -= weight) < 0) ?? drawn[drawn.length - 1]
  return { type: 'send', index: chosen.index, expectedMs: chosen.ms }
}

function computeCost (candidate: PlainCandidate, targetMs: number): number {
  const { answerMs, penaltyMs, distanceMs } = candidate
  return answerMs + penaltyMs + distanceMs + estimateRefusal(candidate) * targetMs * refusalShare
}
