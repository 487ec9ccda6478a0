/**
 * Decides about a second send beside a first one whose endpoint is suspected, as pure functions. A suspicion is no
 * failure: a sound endpoint may write nothing for seconds and then go on, and a path or a zone may come back. So the first send
 * goes on until the second has answered, and the caller gets the answer of whichever comes first.
 */
import { hungMs, limitDelay } from '../core/index.js'
import type { ActivitySign } from '../core/index.js'

/** Why a send is suspected: its stream has stalled, the direct path or the zone of its endpoint is lost before it answers, or it takes far longer than usual. */
export type Suspicion = 'silent' | 'path-lost' | 'zone-unreachable' | 'overdue'

/** How a second send ended: it took the place of the first, or it was given up. */
export type HedgeEnd = 'replaced' | 'given-up'

/** Where a second send may go: to endpoints that have answered this box lately, to all that aren't silent themselves, to any, or nowhere. */
export type HedgeTargets = 'answering' | 'unsuspected' | 'any' | 'none'

/** Number of endpoints with each sign. */
export type SignCounts = Readonly<Record<ActivitySign, number>>

/** A suspected send, and what this box has lately received from the service's endpoints that were not tried. */
export interface SuspectedSend {
  readonly suspicion: Suspicion
  /** Time since its last event, ms. */
  readonly silentMs: number
  /** The silence after which a stream counts as stalled, ms. */
  readonly limitMs: number
  readonly others: SignCounts
}

/** After a silence of this many times the limit, endpoints of which nothing is known may be tried though others are silent too. */
const unknownLimits = 3
/** Shortest and longest time for which two sends go on beside each other, ms. The places of engines are few, and what one of two reads there is lost. */
const minBesideMs = { engine: 250, plain: 1000 }
const maxBesideMs = 2000

/**
 * Where a second send may go. If other endpoints are silent too, the fault is likely to be common to all, and a second send
 * would only add work: it then goes to endpoints that are known to answer.
 */
export function findHedgeTargets ({ suspicion, silentMs, limitMs, others }: SuspectedSend): HedgeTargets {
  switch (suspicion) {
    case 'path-lost':
    case 'zone-unreachable': return 'unsuspected'
    case 'silent': {
      if (isHung(silentMs)) return 'any'
      if (silentMs > unknownLimits * limitMs) return 'unsuspected'
      if (others.answering > 0) return 'answering'
      return others.silent > 0 ? 'none' : 'unsuspected'
    }
    // The endpoint may be at work: only others that answer in time show that it isn't.
    case 'overdue': return others.answering > others.silent ? 'answering' : 'none'
  }
}

/** Counts endpoints by their signs. */
export function countSigns (signs: Iterable<ActivitySign>): SignCounts {
  const counts = { answering: 0, silent: 0, unknown: 0 }
  for (const sign of signs) counts[sign] += 1
  return counts
}

/** The counts without those of some endpoints. */
export function subtractSigns (counts: SignCounts, signs: Iterable<ActivitySign>): SignCounts {
  const { answering, silent, unknown } = countSigns(signs)
  return { answering: counts.answering - answering, silent: counts.silent - silent, unknown: counts.unknown - unknown }
}

/** True if a second send may go to an endpoint with this sign. */
export function mayHedgeAt (sign: ActivitySign, targets: HedgeTargets): boolean {
  switch (targets) {
    case 'answering': return sign === 'answering'
    case 'unsuspected': return sign !== 'silent'
    case 'any': return true
    case 'none': return false
  }
}

/** True after a silence from which an endpoint is taken for hung. */
export function isHung (silentMs: number): boolean { return silentMs > hungMs }

/**
 * How long two sends may go on beside each other, ms: until the second is overdue, by the time in which its endpoint is
 * expected to answer. A first one that isn't reached does no work; one that hasn't answered yet may be at work.
 */
export function findMaxBesideMs (suspicion: Suspicion, service: 'engine' | 'plain', expectedMs: number): number {
  switch (suspicion) {
    case 'silent': return limitBeside(service, expectedMs)
    case 'overdue': return service === 'engine' ? minBesideMs.engine : limitBeside(service, expectedMs)
    case 'path-lost':
    case 'zone-unreachable': return Infinity
  }
}

function limitBeside (service: 'engine' | 'plain', expectedMs: number): number {
  return Math.min(maxBesideMs, Math.max(minBesideMs[service], limitDelay(expectedMs)))
}

/** Two sends of one request, neither of which has answered since the second began. */
export interface SendRace {
  readonly suspicion: Suspicion
  /** Since the second began, and the longest that it may take, ms. */
  readonly besideMs: number
  readonly maxBesideMs: number
  /** Since the last event of the first, ms. */
  readonly silentMs: number
  /** Whether this box has received anything from the endpoint of the first, and of the second, since the second began. */
  readonly isFirstActive: boolean
  readonly isSecondActive: boolean
}

/**
 * True if the second of two sends is ended, as neither answers. The first never is: it may go on, and what the second endpoint
 * sends to others is no answer to this request. While only the second endpoint answers others, it keeps its chance beside a hung first one.
 */
export function isRaceLost ({ suspicion, besideMs, maxBesideMs, silentMs, isFirstActive, isSecondActive }: SendRace): boolean {
  if (besideMs < maxBesideMs) return false
  return suspicion !== 'silent' || !isHung(silentMs) || isFirstActive || !isSecondActive
}
