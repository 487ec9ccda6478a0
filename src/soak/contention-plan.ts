/** What a soak run with contention draws from its seed in addition, and the parts of the routing documents for it. */
import { callerHost } from './caller-headers.js'
import { drawBetween, drawFaults, pick, pickIndex } from './fault-draw.js'
import type { SoakShape, TimedFault } from './fault-draw.js'
import { routeTimeoutMs } from './guarantee-checker.js'

/** A stretch in which some workspaces, given by index, send `factor` times their usual rate; `at`: its start, ms after that of the callers. */
export interface Surge {
  readonly at: number
  readonly ms: number
  readonly factor: number
  readonly workspaces: readonly number[]
}

export interface ContentionPlan {
  /** Settings by gateway; null for one without the measures. */
  readonly settings: readonly ({ readonly budgetMb: number, readonly memoryMb: number, readonly cpuShare: number } | null)[]
  readonly surges: readonly Surge[]
  readonly faults: readonly TimedFault[]
}

const contendedService = 'counter'
const archiveService = 'archive'
/** Additional endpoints. The contended ones, of two speeds, serve some 145 requests/s; those of large answers have ample slots. */
export const contentionEndpoints = [
  ...[80, 80, 180, 180].map(answerMs => ({ service: contendedService, answerMs, slots: 4 })),
  ...[1, 40].map(answerMs => ({ service: archiveService, answerMs, slots: Infinity }))
]
export const workspaceCount = 8
/** Timeout of routes to large answers, ms: enough for the slowest caller. */
export const archiveTimeoutMs = 9000

/** Bounds of the pauses between surges and between slow stretches, and of their durations, ms. */
const pausesMs = [300, 1500] as const
const surgesMs = [1500, 4000] as const
const slowStretchesMs = [300, 900] as const
const factors = [8, 12] as const
/** Maximum number of workspaces in a surge. */
const maxSurging = 2
const budgetsMb = [2, 4, 8]
const cpuShares = [0.5, 2] as const
const memoryMb = 192

/** `random` returns a number in [0, 1). The first gateway always has the settings. */
export function drawContention (random: () => number, shape: SoakShape, lengthMs: number): ContentionPlan {
  const settings = Array.from({ length: shape.gateways }, (_, i) => {
    const drawn = { budgetMb: pick(random, budgetsMb), memoryMb, cpuShare: drawBetween(random, ...cpuShares) }
    return random() < 0.7 || i === 0 ? drawn : null
  })
  const surges: Surge[] = []
  for (let at = 0; at < lengthMs; at += surges[surges.length - 1].ms + drawBetween(random, ...pausesMs)) surges.push(drawSurge(random, at))
  return { settings, surges, faults: drawContentionFaults(random, shape, lengthMs) }
}

export function drawSurge (random: () => number, at: number): Surge {
  const first = pickIndex(random, workspaceCount)
  const workspaces = Array.from({ length: 1 + pickIndex(random, maxSurging) }, (_, i) => (first + i) % workspaceCount)
  return { at, ms: drawBetween(random, ...surgesMs), factor: drawBetween(random, ...factors), workspaces }
}

// Faults of the additional endpoints, which follow the others by index. Proxies are not throttled, as the rest of a large answer would pass at that rate long after the fault.
function drawContentionFaults (random: () => number, shape: SoakShape, lengthMs: number): TimedFault[] {
  const faults: TimedFault[] = []
  for (const { at, fault } of drawFaults(random, { ...shape, endpoints: contentionEndpoints.length }, lengthMs)) {
    if ('endpoint' in fault && !(fault.target === 'proxy' && fault.mode === 'throttle')) faults.push({ at, fault: { ...fault, endpoint: fault.endpoint + shape.endpoints } })
  }
  for (let at = 0; at < lengthMs; at += drawBetween(random, ...pausesMs)) {
    faults.push({ at, fault: { target: 'slow', endpoint: shape.endpoints + pickIndex(random, contentionEndpoints.length), ms: drawBetween(random, ...slowStretchesMs) } })
  }
  return faults
}

/** API key of a workspace that competes for capacity. */
export function composeKey (workspace: number): string { return `contended-key-${workspace}` }

export function composeContentionParts (): { readonly routes: object[], readonly services: object[], readonly workspaces: object[] } {
  const route = (name: string, kind: string, service: string, timeoutMs: number): object => ({ name, host: callerHost, prefix: `/${name}/`, kind, targetMs: 600, timeoutMs, mostAttempts: 2, services: [{ service }] })
  const contended = [route('counter-once', 'once', contendedService, routeTimeoutMs), route('counter-again', 'repeatable', contendedService, routeTimeoutMs)]
  const archive = [route('archive-again', 'repeatable', archiveService, archiveTimeoutMs), route('archive-stream', 'events', archiveService, archiveTimeoutMs)]
  const workspaces = Array.from({ length: workspaceCount }, (_, i) => ({ name: `contended-${i}`, keys: [composeKey(i)] }))
  return { routes: [...contended, ...archive], services: [{ name: contendedService }, { name: archiveService }], workspaces }
}
