/** Places a request with a prompt on an engine, or lets it wait in the box until one has room. */
import type { EndpointId } from '../ids.js'
import type { Choice } from './choice.js'
import { chooseEngine } from './choose-endpoint.js'
import { findPart } from './dedicated-parts.js'
import { hasRoom } from './endpoint-costs.js'
import type { BoxContext, PromptRequest } from './endpoint-costs.js'
import type { EndpointFilter } from './endpoint-filter.js'
import type { EndpointView } from './endpoint-view.js'
import type { PauseLimits } from './pause-forecast.js'
import { isPauseTolerant } from './prompt-reading.js'
import { findOverloadedLevel, listImmediateEngines, listTolerantKinds } from './service-admission.js'
import type { AdmissionContext } from './service-admission.js'
import { isOpen } from './usable-endpoints.js'
import type { PromptCost, RequestProfile } from './work.js'

/** A request goes to the engines of kinds with stricter pause limits once it has waited for this fraction of its target. */
const overflowWaitShare = 0.25

/** What the other boxes do that their reports don't show yet. */
export interface OthersEstimate {
  /** Prompt tokens that they have sent since their reports, to the engines for requests that are pause-tolerant or not. */
  countUnreportedTokens (isTolerant: boolean): number
  /** Time since their reports, ms. */
  readonly ageMs: number
}

export interface PlacementInput {
  readonly context: AdmissionContext
  readonly work: RequestProfile
  readonly cost: PromptCost
  readonly tried: readonly EndpointId[]
  /** Untried engines that accept the request; not empty. */
  readonly left: readonly EndpointView[]
  readonly filter: EndpointFilter | null
  /** Time for which the request has waited in this box, ms. */
  readonly waitedMs: number
  readonly boxContext: BoxContext
  readonly pauseLimits: PauseLimits | null
  /** Null while the measures against contention are off. */
  readonly others: OthersEstimate | null
}

/** Chooses an engine; `draw`, from 0 up to 1, breaks ties. Returns `later` if no engine has room. */
export function placeOnEngine (input: PlacementInput, at: number, draw: number): Choice | 'later' {
  const { context, work, cost, left, filter, waitedMs, boxContext, pauseLimits, others } = input
  const { engine, minTolerantPauseMs, sharers, state, snapshot: { dedicationOrder, counts } } = context
  const isTolerant = isPauseTolerant(work, minTolerantPauseMs)
  if (isTolerant && waitedMs < work.targetMs && findOverloadedLevel(context, at) < work.level) return 'later'
  const mayStart = (view: EndpointView): boolean => !isTolerant || hasRoom(view, cost, engine, sharers, at)
  const mayPrefer = filter === null || filter.isRestriction === true
  const preferred = listPreferred(input, isTolerant, at).filter(view => filter === null || left.includes(view))
  const eligible = mayPrefer && preferred.length > 0 ? preferred : left
  const { engines: candidates, share } = others === null ? { engines: eligible, share: 1 } : listWithRoom(input, eligible, isTolerant && eligible === preferred, mayStart, at)
  if (candidates.length === 0) return 'later'
  const affinityCandidates = mayPrefer ? isTolerant ? dedicationOrder.slice(0, counts.base) : preferred : left
  const prompt: PromptRequest = { work, cost, engine, waitedMs, minTolerantPauseMs, pauseLimits, isPauseTolerant: isTolerant }
  const delay = others === null ? null : { ageMs: others.ageMs, unreportedMs: others.countUnreportedTokens(isTolerant) * share * state.firstEvent.msPerToken }
  const choice = chooseEngine({ candidates, affinityCandidates, holders: context.listHolders(cost), prompt, dedicatedCount: counts.count, boxContext, delay }, at, draw)
  return mayStart(choice.view) ? choice : 'later'
}

interface Candidates {
  readonly engines: readonly EndpointView[]
  /** Fraction of what the other boxes send to the preferred engines that these get. */
  readonly share: number
}

// The eligible engines with room; with `isParted`, those of the request's part of the dedicated engines, or others if none of them has room.
function listWithRoom ({ context, work, waitedMs }: PlacementInput, eligible: readonly EndpointView[], isParted: boolean, mayStart: (view: EndpointView) => boolean, at: number): Candidates {
  const roomy = eligible.filter(mayStart)
  if (!isParted || roomy.length === 0) return { engines: roomy, share: 1 }
  const { dedicationOrder, counts: { count } } = context.snapshot
  const { from, to } = findPart(listTolerantKinds(context, at), work.level, count)
  const own = new Set(dedicationOrder.slice(from, to))
  const inPart = roomy.filter(view => own.has(view))
  if (inPart.length > 0) return { engines: inPart, share: (to - from) / count }
  // The parts behind its own belong to kinds whose pause limits its prompt may break.
  if (waitedMs >= work.targetMs * overflowWaitShare) return { engines: roomy, share: 1 }
  const before = new Set(dedicationOrder.slice(0, from))
  return { engines: roomy.filter(view => before.has(view)), share: 1 }
}

function listPreferred ({ context, work, tried }: PlacementInput, isTolerant: boolean, at: number): EndpointView[] {
  const { dedicationOrder, counts } = context.snapshot
  const engines = isTolerant ? dedicationOrder.slice(0, counts.count) : listImmediateEngines(context, work.targetMs, at)
  return engines.filter(view => !tried.includes(view.id) && isOpen(view, work, at))
}
