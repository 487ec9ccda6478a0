/**
 * The order in which engines are set apart for long prompts, and how much slower
 * each is than the middle one of its service.
 */
import { findMedian } from './average.js'
import { degradedRatio } from './endpoint-view.js'
import type { EndpointView } from './endpoint-view.js'

/** An engine whose events come so many times slower than those of the middle one is of a slower kind, until they come nearer again. */
const slowRatio = 1.16
const slowExitRatio = 1.08
/** Fewer engines of known speed than this have no middle to speak of. */
const minKnownSpeeds = 3
/** Bounds on how much slower an engine is believed to be than the middle one. */
const minSlowness = 0.85
const maxSlowness = 10

/**
 * The order in which engines are set apart, the same at every box: those of a
 * slower kind first, as beside their reading no pause is short; of each kind one
 * of each zone in turn, by a hash.
 */
export function listDedicationOrder (engines: readonly EndpointView[]): EndpointView[] {
  updateSlowness(engines)
  const ranked = [...engines].sort((a, b) => a.hash - b.hash)
  const perZone = new Map<string, number>()
  const turns = ranked.map(view => {
    const speedClass = view.isSlow ? 0 : 1
    const key = `${speedClass} ${view.record.zone}`
    const turn = perZone.get(key) ?? 0
    perZone.set(key, turn + 1)
    return { view, speedClass, turn }
  })
  turns.sort((a, b) => a.speedClass - b.speedClass || a.turn - b.turn)
  return turns.map(one => one.view)
}

// Compares the engines' speeds with their middle one's.
function updateSlowness (engines: readonly EndpointView[]): void {
  const gaps = engines.map(view => view.gapMs)
  const known = gaps.filter(gap => gap !== null)
  const median = known.length < minKnownSpeeds ? null : findMedian(known)
  engines.forEach((view, i) => {
    const gap = gaps[i]
    view.slowness = gap === null || median === null ? 1 : Math.min(maxSlowness, Math.max(minSlowness, gap / median))
    view.isSlow = view.slowness < degradedRatio && view.slowness > (view.isSlow ? slowExitRatio : slowRatio)
  })
}
