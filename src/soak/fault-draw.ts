/** The faults of one history, drawn from its seed before it begins: the same seed gives the same faults. */

/** How a proxy treats connections: passes them on, late, as fast as a narrow link would, resets them, or passes nothing on in one way or both. */
export type ProxyMode = 'pass' | 'delay' | 'throttle' | 'reset' | 'one-way' | 'silent'

/** What is done to one process from outside it; `ms`: how long it stands still, or stays away once it has ended. */
export type ProcessFault =
  /** Stands still for a while, then goes on. */
  | { readonly type: 'pause', readonly ms: number }
  /** Ends at once, and starts again. */
  | { readonly type: 'kill', readonly ms: number }
  /** Ends as planned, and starts again. */
  | { readonly type: 'stop', readonly ms: number }
  /** Is told to read its settings again. */
  | { readonly type: 'reload' }
  /** Ends at once and starts again with an empty disk. */
  | { readonly type: 'wipe', readonly ms: number }
  /** Ends at once, and its last record is found torn. */
  | { readonly type: 'tear', readonly ms: number }

const endpointFaults = ['full', 'error', 'lose', 'hang', 'break', 'surplus'] as const

/** How an endpoint treats its requests. */
export type EndpointFault = typeof endpointFaults[number]

/** What an endpoint says of itself. */
export type SoakNotice =
  | { readonly type: 'limit', readonly perSecond: number }
  /** It turns a share of the requests away, and asks the box to back off. */
  | { readonly type: 'backoff', readonly share: number, readonly seconds: number }
  /** It says on its answers that it leaves, and nowhere else; then it starts again. */
  | { readonly type: 'leaving' }

/** One fault. `box`, `registry` and `endpoint` count from 0. */
export type SoakFault =
  | { readonly target: 'gateway', readonly box: number, readonly action: ProcessFault }
  | { readonly target: 'registry', readonly box: number, readonly action: ProcessFault }
  | { readonly target: 'registries', readonly ms: number }
  | { readonly target: 'link', readonly registry: number, readonly mode: ProxyMode, readonly ms: number }
  | { readonly target: 'proxy', readonly endpoint: number, readonly mode: ProxyMode, readonly ms: number }
  | { readonly target: 'endpoint', readonly endpoint: number, readonly fault: EndpointFault, readonly ms: number }
  | { readonly target: 'drain', readonly endpoint: number, readonly ms: number }
  /** What an endpoint says of itself on its answers. */
  | { readonly target: 'notice', readonly endpoint: number, readonly notice: SoakNotice, readonly ms: number }

/** A fault and when it begins, ms from the start. */
export interface TimedFault {
  readonly at: number
  readonly fault: SoakFault
}

/** What a history is played on. */
export interface SoakShape {
  readonly registries: number
  readonly gateways: number
  readonly endpoints: number
  /** Engines, before which requests of several ranks come in bursts; 0 for none. */
  readonly engines: number
  /** Requests that end each endpoint which runs them, and come again and again; 0 for none. */
  readonly crashers: number
  /** Whether endpoints name limits, ask to back off, and say on their answers that they leave. */
  readonly notices: boolean
}

const proxyModes: readonly ProxyMode[] = ['delay', 'throttle', 'reset', 'one-way', 'silent']
/** The first faults come after this, ms: kept connections are then open. */
const warmUpMs = 1000
/** Pauses between the beginnings of faults, ms: they overlap more often than not. */
const minPauseMs = 150
const maxPauseMs = 1500
/** How long faults last, ms. */
const minFaultMs = 200
const maxFaultMs = 2500
/** A lost disk is followed by another loss only so long after its registry came back, or was disturbed again, ms: it has caught up by then. */
const wipeRecoveryMs = 6000

/** Draws the faults of a history of `lengthMs`. `random` gives numbers from 0 up to 1. */
export function drawFaults (random: () => number, shape: SoakShape, lengthMs: number): TimedFault[] {
  const faults: TimedFault[] = []
  let at = warmUpMs
  let recoveredAt = -Infinity
  while (at < lengthMs) {
    const fault = drawFault(random, shape, at > recoveredAt)
    const isWipe = fault.target === 'registry' && fault.action.type === 'wipe'
    if (isWipe || at <= recoveredAt) recoveredAt = Math.max(recoveredAt, findRegistryFaultEnd(fault, at) + wipeRecoveryMs)
    faults.push({ at: Math.round(at), fault })
    at += drawBetween(random, minPauseMs, maxPauseMs)
  }
  return faults
}

/** Limits that endpoints name, requests a second. */
const limits = [0.2, 1, 2.6, 8, 20]
const backoffs = [1.5, 3]
const backoffShare = 0.4
/** Notices last longer than other faults, ms: a limit is judged over some seconds. */
const minNoticeMs = 4000
const maxNoticeMs = 9000
const minNoticePauseMs = 500
const maxNoticePauseMs = 2500

/**
 * Draws what endpoints say of themselves in a history of `lengthMs`, beside its other faults. An endpoint says one thing at a time,
 * and one at least says nothing.
 */
export function drawNotices (random: () => number, shape: SoakShape, lengthMs: number): TimedFault[] {
  const notices: TimedFault[] = []
  const busyUntil = new Map<number, number>()
  for (let at = warmUpMs; at < lengthMs; at += drawBetween(random, minNoticePauseMs, maxNoticePauseMs)) {
    const endpoint = pickIndex(random, Math.max(1, shape.endpoints - 1))
    const ms = Math.round(drawBetween(random, minNoticeMs, maxNoticeMs))
    const notice = drawNotice(random)
    if (at < (busyUntil.get(endpoint) ?? 0)) continue
    busyUntil.set(endpoint, at + ms + maxNoticePauseMs)
    notices.push({ at: Math.round(at), fault: { target: 'notice', endpoint, notice, ms } })
  }
  return notices
}

function drawNotice (random: () => number): SoakNotice {
  const roll = random()
  if (roll < 0.5) return { type: 'limit', perSecond: pick(random, limits) }
  if (roll < 0.8) return { type: 'backoff', share: backoffShare, seconds: pick(random, backoffs) }
  return { type: 'leaving' }
}

// When a fault of the registries or their links is over; -Infinity for other faults.
function findRegistryFaultEnd (fault: SoakFault, at: number): number {
  switch (fault.target) {
    case 'registry': return fault.action.type === 'reload' ? -Infinity : at + fault.action.ms
    case 'registries':
    case 'link': return at + fault.ms
    default: return -Infinity
  }
}

function drawFault (random: () => number, shape: SoakShape, mayWipe: boolean): SoakFault {
  const ms = Math.round(drawBetween(random, minFaultMs, maxFaultMs))
  const roll = random()
  if (roll < 0.3) return { target: 'gateway', box: pickIndex(random, shape.gateways), action: pick(random, listGatewayFaults(ms)) }
  if (roll < 0.5) return { target: 'registry', box: pickIndex(random, shape.registries), action: pick(random, listRegistryFaults(ms, mayWipe)) }
  if (roll < 0.55) return { target: 'registries', ms }
  if (roll < 0.65) return { target: 'link', registry: pickIndex(random, shape.registries), mode: pick(random, proxyModes), ms }
  if (roll < 0.8) return { target: 'proxy', endpoint: pickIndex(random, shape.endpoints), mode: pick(random, proxyModes), ms }
  if (roll < 0.92) return { target: 'endpoint', endpoint: pickIndex(random, shape.endpoints), fault: pick(random, endpointFaults), ms }
  return { target: 'drain', endpoint: pickIndex(random, shape.endpoints), ms }
}

// Planned stops come twice as often as each of the others.
function listGatewayFaults (ms: number): ProcessFault[] {
  return [{ type: 'pause', ms }, { type: 'kill', ms }, { type: 'stop', ms }, { type: 'stop', ms }, { type: 'reload' }]
}

function listRegistryFaults (ms: number, mayWipe: boolean): ProcessFault[] {
  return [{ type: 'pause', ms }, { type: 'kill', ms }, { type: 'stop', ms }, { type: 'tear', ms }, { type: mayWipe ? 'wipe' : 'kill', ms }]
}

function drawBetween (random: () => number, min: number, max: number): number { return min + random() * (max - min) }
function pickIndex (random: () => number, count: number): number { return Math.floor(random() * count) }
function pick<T> (random: () => number, values: readonly T[]): T { return values[pickIndex(random, values.length)] }
