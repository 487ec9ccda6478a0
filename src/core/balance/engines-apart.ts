/**
 * The order in which engines are set apart for long prompts, and how much slower
 * each is than the middle one of its service.
 */
import { findMiddle } from './average.js'
import { troubledTimes } from './endpoint-view.js'
import type { EndpointView } from './endpoint-view.js'

/** An engine whose events come so many times slower than those of the middle one is of a slower kind, until they come nearer again. */
const slowTimes = 1.16
const nearTimes = 1.08
/** Fewer engines of known speed than this have no middle to speak of. */
const leastKnownSpeeds = 3
/** Bounds on how much slower an engine is believed to be than the middle one. */
const leastSlowness = 0.85
const mostSlowness = 10

/**
 * The order in which engines are set apart, the same at every box: those of a
 * slower kind first, as beside their reading no pause is short; of each kind one
 * of each zone in turn, by a hash.
 */
export function listApart (engines: readonly EndpointView[]): EndpointView[] {
  setSlowness(engines)
  const ranked = [...engines].sort((a, b) => a.hash - b.hash)
  const perZone = new Map<string, number>()
  const turns = ranked.map(view => {
    const kind = view.isSlow ? 0 : 1
    const key = `${kind} ${view.record.zone}`
    const turn = perZone.get(key) ?? 0
    perZone.set(key, turn + 1)
    return { view, kind, turn }
  })
  turns.sort((a, b) => a.kind - b.kind || a.turn - b.turn)
  return turns.map(one => one.view)
}

// Compares the engines' speeds with their middle one's.
function setSlowness (engines: readonly EndpointView[]): void {
  const gaps = engines.map(view => view.gapMs)
  const known = gaps.filter(gap => gap !== null)
  const middle = known.length < leastKnownSpeeds ? null : findMiddle(known)
  engines.forEach((view, i) => {
    const gap = gaps[i]
    view.slowness = gap === null || middle === null ? 1 : Math.min(mostSlowness, Math.max(leastSlowness, gap / middle))
    view.isSlow = view.slowness < troubledTimes && view.slowness > (view.isSlow ? nearTimes : slowTimes)
  })
}
