/** Determines the order in which engines are dedicated to long prompts, and how much slower each is than the median engine of its service. */
import { findMedian } from './average.js'
import { degradedRatio } from './endpoint-view.js'
import type { EndpointView } from './endpoint-view.js'

/**
 * Hysteresis for slow models: an engine counts as slow once its time between events exceeds the median by the
 * first factor, until it falls below the second.
 */
const slowRatio = 1.16
const slowExitRatio = 1.08
/** Minimum number of engines of known speed for a meaningful median. */
const minKnownSpeeds = 3
/** Bounds on the slowness of an engine relative to the median. */
const minSlowness = 0.85
const maxSlowness = 10

/**
 * Returns the order in which engines are dedicated, the same on every box: slow models first, because pauses
 * beside their reading are long anyway; within each speed class, engines of the zones alternate, ordered by a
 * hash.
 */
export function listDedicationOrder (engines: readonly EndpointView[]): EndpointView[] {
  updateSlowness(engines)
  const byHash = [...engines].sort((a, b) => a.hash - b.hash)
  const perZone = new Map<string, number>()
  const zoneTurns = byHash.map(view => {
    const speedClass = view.isSlow ? 0 : 1
    const key = `${speedClass} ${view.record.zone}`
    const turn = perZone.get(key) ?? 0
    perZone.set(key, turn + 1)
    return { view, speedClass, turn }
  })
  zoneTurns.sort((a, b) => a.speedClass - b.speedClass || a.turn - b.turn)
  return zoneTurns.map(one => one.view)
}

// Compares the engines' speeds with the median.
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
