/** What a soak run with silent endpoints draws from its seed in addition, and its longer streams. */
import { drawBetween, pick, pickIndex } from './fault-draw.js'
import type { SoakFault, SoakShape, TimedFault } from './fault-draw.js'

/** Streams of such a run: from `minEvents` events up, `eventMs` apart, within the timeout of their routes, ms, which a gateway's drain outlasts. */
export const streamShape = { minEvents: 20, eventMs: 50, timeoutMs: 5800 }
/** Requests that an endpoint of such a run serves at the same time. */
export const endpointSlots = 16
/** Calls per second and gateway that are sent whether or not earlier ones have ended. */
export const steadyCallsPerSecond = 5

/** Duration of a silence that outlasts every call, ms. */
const lastingMs = 8000
/** Bounds of the duration of others, ms. */
const silencesMs = [700, 3000] as const
/** Bounds of the pause between two silences of the same endpoints in a row, ms. */
const shortPausesMs = [100, 500] as const
/** Bounds of the pause after a silence or a series of them, and of that after the start of a lasting one, ms. */
const pausesMs = [500, 2000] as const
const lastingPausesMs = [6000, 8000] as const
/** Time before the first one, ms. */
const warmUpMs = 1000

const patterns = ['one', 'some', 'all', 'all', 'turns', 'twice', 'lasting', 'lasting'] as const

interface Silence {
  readonly endpoints: readonly number[]
  readonly ms: number
  /** From the start of this one to that of the next, ms. */
  readonly nextMs: number
}

/** Whether a fault may end answers, so that callers don't show what a silence costs. */
export function mayEndAnswers (fault: SoakFault): boolean {
  switch (fault.target) {
    case 'gateway': return fault.action.type !== 'reload'
    case 'endpoint': return fault.fault !== 'full' && fault.fault !== 'surplus'
    case 'proxy': return fault.mode !== 'delay' && fault.mode !== 'throttle'
    default: return false
  }
}

/** Draws silences of one, some or all endpoints, one after another or twice in a row; some last, at a minority of the endpoints. */
export function drawSilences (random: () => number, { endpoints: count }: SoakShape, lengthMs: number): TimedFault[] {
  const faults: TimedFault[] = []
  const silentUntil = new Map<number, number>()
  for (let at = warmUpMs; at < lengthMs;) {
    for (const { endpoints, ms, nextMs } of drawSeries(random, count, lengthMs - at)) {
      const awake = endpoints.filter(i => at > (silentUntil.get(i) ?? 0))
      if (at + ms < lengthMs && awake.length > 0) {
        faults.push({ at: Math.round(at), fault: { target: 'silence', endpoints: awake, ms: Math.round(ms), isLasting: ms === lastingMs } })
        for (const i of awake) silentUntil.set(i, at + ms)
      }
      at += nextMs
    }
  }
  return faults
}

function drawSeries (random: () => number, count: number, leftMs: number): Silence[] {
  const all = Array.from({ length: count }, (_, i) => i)
  const ms = drawBetween(random, ...silencesMs)
  const nextMs = ms + drawBetween(random, ...pausesMs)
  const pattern = pick(random, patterns)
  switch (pattern) {
    case 'one': return [{ endpoints: [pickIndex(random, count)], ms, nextMs }]
    case 'some': return [{ endpoints: all.filter(() => random() < 0.5), ms, nextMs }]
    case 'all': return [{ endpoints: all, ms, nextMs }]
    case 'turns': return [0, 1, 2].map(turn => ({ endpoints: all.filter(i => i % 3 === turn), ms, nextMs: turn === 2 ? nextMs : ms * drawBetween(random, 0.6, 1.1) }))
    case 'twice': {
      const endpoints = random() < 0.5 ? all : all.filter(() => random() < 0.5)
      return [{ endpoints, ms, nextMs: ms + drawBetween(random, ...shortPausesMs) }, { endpoints, ms: drawBetween(random, ...silencesMs), nextMs }]
    }
    case 'lasting': {
      const first = pickIndex(random, count)
      const endpoints = all.filter(i => (i - first + count) % count < (count - 1) >> 1)
      return leftMs > lastingMs ? [{ endpoints, ms: lastingMs, nextMs: drawBetween(random, ...lastingPausesMs) }] : []
    }
  }
}
