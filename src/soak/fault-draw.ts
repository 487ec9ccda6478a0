/** Draws the faults of a soak run from its seed before the run starts: the same seed gives the same faults. */

/** How a proxy treats connections: forwards bytes, delays them, limits their rate, resets connections, or drops bytes in one direction (`one-way`) or both (`silent`). */
export type ProxyMode = 'pass' | 'delay' | 'throttle' | 'reset' | 'one-way' | 'silent'

/** A fault of one process, caused from outside; `ms`: duration of the pause, or of the downtime after the process has exited. */
export type ProcessFault =
  /** SIGSTOP, then SIGCONT. */
  | { readonly type: 'pause', readonly ms: number }
  /** SIGKILL, then a restart. */
  | { readonly type: 'kill', readonly ms: number }
  /** A graceful stop with SIGTERM, then a restart. */
  | { readonly type: 'stop', readonly ms: number }
  /** Reload of the settings with SIGHUP. */
  | { readonly type: 'reload' }
  /** SIGKILL, then a restart with an empty disk. */
  | { readonly type: 'wipe', readonly ms: number }
  /** SIGKILL, then a restart with a torn record at the end of its log. */
  | { readonly type: 'tear', readonly ms: number }

const endpointFaults = ['full', 'error', 'lose', 'hang', 'break', 'surplus'] as const

/** How an endpoint misbehaves; the types are described in the stand-in endpoint. */
export type EndpointFault = typeof endpointFaults[number]

/** A notice that an endpoint gives about itself in the headers of its answers. */
export type SoakNotice =
  | { readonly type: 'limit', readonly perSecond: number }
  /** It refuses a share of the requests, 0 to 1, and asks the box to back off. */
  | { readonly type: 'backoff', readonly share: number, readonly seconds: number }
  /** It announces its leaving on answers only, not at the registries; then it restarts. */
  | { readonly type: 'leaving' }

/** One fault. `box`, `registry` and `endpoint` are indexes from 0; `link` is the proxy before a registry's links, `proxy` the one before an endpoint. */
export type SoakFault =
  | { readonly target: 'gateway', readonly box: number, readonly action: ProcessFault }
  | { readonly target: 'registry', readonly box: number, readonly action: ProcessFault }
  | { readonly target: 'registries', readonly ms: number }
  | { readonly target: 'link', readonly registry: number, readonly mode: ProxyMode, readonly ms: number }
  | { readonly target: 'proxy', readonly endpoint: number, readonly mode: ProxyMode, readonly ms: number }
  | { readonly target: 'endpoint', readonly endpoint: number, readonly fault: EndpointFault, readonly ms: number }
  /** Some gateways can't connect to any endpoint; `isReset`: their open connections are reset too. */
  | { readonly target: 'paths', readonly boxes: readonly number[], readonly isReset: boolean, readonly ms: number }
  | { readonly target: 'drain', readonly endpoint: number, readonly ms: number }
  /** The endpoints write nothing and then go on; `isLasting`: longer than any call waits. */
  | { readonly target: 'silence', readonly endpoints: readonly number[], readonly ms: number, readonly isLasting: boolean }
  /** The endpoint takes several times as long for its answers. */
  | { readonly target: 'slow', readonly endpoint: number, readonly ms: number }
  /** Each event of a long stream takes `factor` times as long, also of those that have begun. */
  | { readonly target: 'pace', readonly factor: number, readonly ms: number }
  | { readonly target: 'notice', readonly endpoint: number, readonly notice: SoakNotice, readonly ms: number }

export interface TimedFault {
  /** Start of the fault, ms after the start of the run. */
  readonly at: number
  readonly fault: SoakFault
}

/** Size and load of the testbed. */
export interface SoakShape {
  readonly registries: number
  readonly gateways: number
  readonly endpoints: number
  /** Number of engines, which get bursts of requests of several priorities; 0 for none. */
  readonly engines: number
  /** Number of harmful requests, which crash each endpoint that runs them and are sent repeatedly; 0 for none. */
  readonly crashers: number
  /** Whether endpoints give notices on their answers: limits, requests to back off, and leaving. */
  readonly notices: boolean
  /** Whether workspaces compete for too few slots, and callers read slowly, at gateways with settings for that. */
  readonly contention?: boolean
  /** Whether gateways lose their paths to all endpoints, with fewer other faults. */
  readonly paths?: boolean
  /** Whether endpoints fall silent and go on, with fewer other faults that end answers, and streams are longer. */
  readonly silences?: boolean
  /** Number of software versions of the endpoints, which crash one after the other; 0 or missing if they name none. */
  readonly versions?: number
  /** Whether gateways stop one after another while long streams become slower, beside fewer other faults. */
  readonly stops?: boolean
  /** Number of harmful parts of prompts, which crash each endpoint that runs a request with one; 0 or missing for none. */
  readonly harmfulParts?: number
}

const proxyModes: readonly ProxyMode[] = ['delay', 'throttle', 'reset', 'one-way', 'silent']
/** Time before the first fault, ms, so that keep-alive connections are open by then. */
const warmUpMs = 1000
/** Bounds of the time between the starts of two faults, ms; most faults overlap. */
const minPauseMs = 150
const maxPauseMs = 1500
/** Bounds of the duration of a fault, ms. */
const minFaultMs = 200
const maxFaultMs = 2500
/**
 * Undisturbed time of the registries after a lost disk before another may be lost, ms, so that the registry can catch up. It counts
 * from the registry's restart and again from the end of each further fault of registries or their links.
 */
const wipeRecoveryMs = 6000

/** Draws the faults of a run of `lengthMs`. `random` returns a number in [0, 1). */
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

/** Rate limits that endpoints announce, requests/s. */
const limits = [0.2, 1, 2.6, 8, 20]
/** Durations of back-off, s, and the share of requests refused meanwhile. */
const backoffs = [1.5, 3]
const backoffShare = 0.4
/** Bounds of the duration of a notice, ms; longer than other faults, as a limit is checked over windows of some seconds. */
const minNoticeMs = 4000
const maxNoticeMs = 9000
/** Bounds of the time between two draws of a notice, ms. */
const minNoticePauseMs = 500
const maxNoticePauseMs = 2500

/**
 * Draws the notices of endpoints in a run of `lengthMs`, in addition to its other faults. An endpoint gives one notice at a time,
 * and the last endpoint gives none unless it is the only one.
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

/** Bounds of the duration of a cut between gateways and endpoints, ms; long enough to check what is served meanwhile. */
const minPathMs = 4500
const maxPathMs = 8000
/** Bounds of the time between two such cuts, ms. */
const minPathPauseMs = 500
const maxPathPauseMs = 4000

/** Draws cuts between some gateways, but not all, and the endpoints, in addition to the other faults. */
export function drawPathFaults (random: () => number, { gateways }: SoakShape, lengthMs: number): TimedFault[] {
  const faults: TimedFault[] = []
  for (let at = warmUpMs; at < lengthMs;) {
    const ms = Math.round(drawBetween(random, minPathMs, maxPathMs))
    const spared = pickIndex(random, gateways)
    const boxes = Array.from({ length: gateways }, (_, i) => i).filter(i => i !== spared && random() < 0.6)
    if (boxes.length > 0) faults.push({ at: Math.round(at), fault: { target: 'paths', boxes, isReset: random() < 0.5, ms } })
    at += ms + drawBetween(random, minPathPauseMs, maxPathPauseMs)
  }
  return faults
}

function drawNotice (random: () => number): SoakNotice {
  const roll = random()
  if (roll < 0.5) return { type: 'limit', perSecond: pick(random, limits) }
  if (roll < 0.8) return { type: 'backoff', share: backoffShare, seconds: pick(random, backoffs) }
  return { type: 'leaving' }
}

// End of a fault of the registries or their links; -Infinity for other faults.
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

// Graceful stops are twice as frequent as each of the others.
function listGatewayFaults (ms: number): ProcessFault[] {
  return [{ type: 'pause', ms }, { type: 'kill', ms }, { type: 'stop', ms }, { type: 'stop', ms }, { type: 'reload' }]
}

function listRegistryFaults (ms: number, mayWipe: boolean): ProcessFault[] {
  return [{ type: 'pause', ms }, { type: 'kill', ms }, { type: 'stop', ms }, { type: 'tear', ms }, { type: mayWipe ? 'wipe' : 'kill', ms }]
}

export function drawBetween (random: () => number, min: number, max: number): number { return min + random() * (max - min) }
export function pickIndex (random: () => number, count: number): number { return Math.floor(random() * count) }
export function pick<T> (random: () => number, values: readonly T[]): T { return values[pickIndex(random, values.length)] }
