/** The faults of one history, drawn from its seed before it begins: the same seed gives the same faults. */

/** How a proxy treats connections: passes them on, late, as fast as a narrow link would, resets them, or passes nothing on in one way or both. */
export type ProxyMode = 'pass' | 'delay' | 'narrow' | 'reset' | 'one-way' | 'silent'

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
  | { readonly on: 'gateway', readonly box: number, readonly what: ProcessFault }
  | { readonly on: 'registry', readonly box: number, readonly what: ProcessFault }
  | { readonly on: 'registries', readonly ms: number }
  | { readonly on: 'link', readonly registry: number, readonly mode: ProxyMode, readonly ms: number }
  | { readonly on: 'road', readonly endpoint: number, readonly mode: ProxyMode, readonly ms: number }
  | { readonly on: 'endpoint', readonly endpoint: number, readonly fault: EndpointFault, readonly ms: number }
  | { readonly on: 'drain', readonly endpoint: number, readonly ms: number }
  /** What an endpoint says of itself on its answers. */
  | { readonly on: 'notice', readonly endpoint: number, readonly notice: SoakNotice, readonly ms: number }

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

const modes: readonly ProxyMode[] = ['delay', 'narrow', 'reset', 'one-way', 'silent']
/** The first faults come after this, ms: kept connections are then open. */
const calmMs = 1000
/** Pauses between the beginnings of faults, ms: they overlap more often than not. */
const leastPauseMs = 150
const mostPauseMs = 1500
/** How long faults last, ms. */
const leastMs = 200
const mostMs = 2500
/** A lost disk is followed by another loss only so long after its registry came back, or was disturbed again, ms: it has caught up by then. */
const wipeRestMs = 6000

/** Draws the faults of a history of `lengthMs`. `random` gives numbers from 0 up to 1. */
export function drawFaults (random: () => number, shape: SoakShape, lengthMs: number): TimedFault[] {
  const faults: TimedFault[] = []
  let at = calmMs
  let repairedAt = -Infinity
  while (at < lengthMs) {
    const fault = drawFault(random, shape, at > repairedAt)
    const isWipe = fault.on === 'registry' && fault.what.type === 'wipe'
    if (isWipe || at <= repairedAt) repairedAt = Math.max(repairedAt, findCoreEnd(fault, at) + wipeRestMs)
    faults.push({ at: Math.round(at), fault })
    at += draw(random, leastPauseMs, mostPauseMs)
  }
  return faults
}

/** Limits that endpoints name, requests a second. */
const limits = [0.2, 1, 2.6, 8, 20]
const backoffs = [1.5, 3]
const backoffShare = 0.4
/** Notices last longer than other faults, ms: a limit is judged over some seconds. */
const leastNoticeMs = 4000
const mostNoticeMs = 9000
const leastNoticePauseMs = 500
const mostNoticePauseMs = 2500

/**
 * Draws what endpoints say of themselves in a history of `lengthMs`, beside its other faults. An endpoint says one thing at a time,
 * and one at least says nothing.
 */
export function drawNotices (random: () => number, shape: SoakShape, lengthMs: number): TimedFault[] {
  const notices: TimedFault[] = []
  const busyUntil = new Map<number, number>()
  for (let at = calmMs; at < lengthMs; at += draw(random, leastNoticePauseMs, mostNoticePauseMs)) {
    const endpoint = pickNumber(random, Math.max(1, shape.endpoints - 1))
    const ms = Math.round(draw(random, leastNoticeMs, mostNoticeMs))
    const notice = drawNotice(random)
    if (at < (busyUntil.get(endpoint) ?? 0)) continue
    busyUntil.set(endpoint, at + ms + mostNoticePauseMs)
    notices.push({ at: Math.round(at), fault: { on: 'notice', endpoint, notice, ms } })
  }
  return notices
}

function drawNotice (random: () => number): SoakNotice {
  const kind = random()
  if (kind < 0.5) return { type: 'limit', perSecond: pick(random, limits) }
  if (kind < 0.8) return { type: 'backoff', share: backoffShare, seconds: pick(random, backoffs) }
  return { type: 'leaving' }
}

// When a fault of the registries or their links is over; -Infinity for other faults.
function findCoreEnd (fault: SoakFault, at: number): number {
  switch (fault.on) {
    case 'registry': return fault.what.type === 'reload' ? -Infinity : at + fault.what.ms
    case 'registries':
    case 'link': return at + fault.ms
    default: return -Infinity
  }
}

function drawFault (random: () => number, shape: SoakShape, mayWipe: boolean): SoakFault {
  const ms = Math.round(draw(random, leastMs, mostMs))
  const kind = random()
  if (kind < 0.3) return { on: 'gateway', box: pickNumber(random, shape.gateways), what: pick(random, listGatewayFaults(ms)) }
  if (kind < 0.5) return { on: 'registry', box: pickNumber(random, shape.registries), what: pick(random, listRegistryFaults(ms, mayWipe)) }
  if (kind < 0.55) return { on: 'registries', ms }
  if (kind < 0.65) return { on: 'link', registry: pickNumber(random, shape.registries), mode: pick(random, modes), ms }
  if (kind < 0.8) return { on: 'road', endpoint: pickNumber(random, shape.endpoints), mode: pick(random, modes), ms }
  if (kind < 0.92) return { on: 'endpoint', endpoint: pickNumber(random, shape.endpoints), fault: pick(random, endpointFaults), ms }
  return { on: 'drain', endpoint: pickNumber(random, shape.endpoints), ms }
}

// Planned stops come twice as often as each of the others.
function listGatewayFaults (ms: number): ProcessFault[] {
  return [{ type: 'pause', ms }, { type: 'kill', ms }, { type: 'stop', ms }, { type: 'stop', ms }, { type: 'reload' }]
}

function listRegistryFaults (ms: number, mayWipe: boolean): ProcessFault[] {
  return [{ type: 'pause', ms }, { type: 'kill', ms }, { type: 'stop', ms }, { type: 'tear', ms }, { type: mayWipe ? 'wipe' : 'kill', ms }]
}

function draw (random: () => number, least: number, most: number): number { return least + random() * (most - least) }
function pickNumber (random: () => number, count: number): number { return Math.floor(random() * count) }
function pick<T> (random: () => number, of: readonly T[]): T { return of[pickNumber(random, of.length)] }
