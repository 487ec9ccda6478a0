/** What a soak run with planned stops draws from its seed in addition, and the parts of its routing documents for streams that may outlast a drain. */
import { callerHost } from './caller-headers.js'
import { drawBetween, pick, pickIndex } from './fault-draw.js'
import type { SoakShape, TimedFault } from './fault-draw.js'

/** Service of long streams, and its endpoints. */
export const writerService = 'writer'
export const writerCount = 3
/** Interval between the events of a stream at its usual pace, ms. */
export const writerEventMs = 40
/** Bounds of the number of events in a stream; at a slow pace it may outlast a drain. */
export const writerEvents = [10, 40] as const
export const tokensPerEvent = 5
/** Timeout of the routes, ms: longer than a drain. */
export const writerTimeoutMs = 20_000
const writerSlots = 64
/** Factors by which all streams become slower. */
const paceFactors = [3.5, 8]
/** Bounds of the time from the first stop of a series until then, and of how long it lasts, ms. */
const paceDelaysMs = [50, 800] as const
const pacesMs = [6500, 8000] as const
/** Bounds of the time between two stops of a series, of how long a gateway is down, and of the time between the starts of two series, ms. */
const gapsMs = [100, 1500] as const
const downsMs = [200, 1000] as const
const pausesMs = [11_000, 14_000] as const
/** Time before the first one, in which streams end at their usual pace, ms. */
const warmUpMs = 2500

/** Draws series of planned stops, in each of which one or several gateways stop one after another, but not all, while streams become slower. */
export function drawStops (random: () => number, { gateways }: SoakShape, lengthMs: number): TimedFault[] {
  const faults: TimedFault[] = []
  for (let start = warmUpMs; start < lengthMs; start += drawBetween(random, ...pausesMs)) {
    const first = pickIndex(random, gateways)
    const count = 1 + pickIndex(random, Math.max(1, gateways - 1))
    let at = start
    for (let i = 0; i < count; i++) {
      faults.push({ at: Math.round(at), fault: { target: 'gateway', box: (first + i) % gateways, action: { type: 'stop', ms: Math.round(drawBetween(random, ...downsMs)) } } })
      at += drawBetween(random, ...gapsMs)
    }
    faults.push({ at: Math.round(start + drawBetween(random, ...paceDelaysMs)), fault: { target: 'pace', factor: pick(random, paceFactors), ms: Math.round(drawBetween(random, ...pacesMs)) } })
  }
  return faults
}

export function composeWriterParts (): { readonly routes: object[], readonly services: object[] } {
  const route = (name: string, kind: string, more: object = {}): object => ({ name: `writer-${name}`, host: callerHost, prefix: `/writer-${name}/`, kind, targetMs: 600, timeoutMs: writerTimeoutMs, mostAttempts: 2, services: [{ service: writerService }], ...more })
  const routes = [route('once', 'once'), route('again', 'repeatable'), route('stream', 'events'), route('resume', 'events', { resumable: true, pauseMs: 1000 })]
  return { routes, services: [{ name: writerService, engine: { slots: writerSlots, memoryTokens: 600_000, tokensPerEvent } }] }
}
