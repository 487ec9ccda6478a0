/** Determines the order in which engines are dedicated to long prompts, and how much slower each is than the median engine of its service. */
import { findMedian } from './average.js'
import { ContentionSwitch } from './contention.js'
import { degradedRatio } from './endpoint-view.js'
import type { EndpointView } from './endpoint-view.js'

/**
 * Hysteresis for slow models: an engine counts as slow once its time between events exceeds the median by the
 * first factor, until it falls below the second.
 */
const slowRatio = 1.16
const slowExitRatio = 1.08
/**
 * Engines of two models are told apart if at least this fraction of them takes `mixedRatio` times as long between events
 * as the one at `fastShare` of the order by speed. Compared with the median, the slow model is taken for degraded if it
 * is rare, and for the usual one if it is frequent.
 */
const minSlowShare = 0.18
const mixedRatio = 1.55
const fastShare = 0.15
/** Minimum number of engines of known speed for that. */
const minMixedEngines = 8
/** Lower bound on the slowness, and the slowness of a degraded engine, where there are two models. */
const minMixedSlowness = 0.4
const mixedDegradedRatio = 3
/** Where there is contention, engines whose time between events differs from the median by at most this factor count as equal. */
const equalRatio = 1.2
/** Minimum number of engines of known speed for a meaningful median. */
const minKnownSpeeds = 3
/** Bounds on the slowness of an engine relative to the median. */
const minSlowness = 0.85
const maxSlowness = 10

/**
 * Returns the order in which engines are dedicated, the same on every box: slow models first, because pauses
 * beside their reading are long anyway; within each speed class, engines of the zones alternate, ordered by a
 * hash. Engines of two models are told apart only while the measures against contention are on.
 */
export function listDedicationOrder (engines: readonly EndpointView[], contention = new ContentionSwitch()): EndpointView[] {
  const hasModels = updateSlowness(engines, contention)
  const byHash = [...engines].sort((a, b) => a.hash - b.hash)
  const perZone = new Map<string, number>()
  const zoneTurns = byHash.map(view => {
    const speedClass = findSpeedClass(view, hasModels)
    const key = `${speedClass} ${view.record.zone}`
    const turn = perZone.get(key) ?? 0
    perZone.set(key, turn + 1)
    return { view, speedClass, turn }
  })
  zoneTurns.sort((a, b) => a.speedClass - b.speedClass || a.turn - b.turn)
  return zoneTurns.map(one => one.view)
}

// Engines of unknown speed come before fast ones where there are two models, as they may be slow: the last engines serve the short streams.
function findSpeedClass (view: EndpointView, hasModels: boolean): number {
  if (view.isSlow) return 0
  return hasModels && view.gapMs === null ? 1 : 2
}

// Compares the engines' speeds with the median; returns whether there are two models.
function updateSlowness (engines: readonly EndpointView[], contention: ContentionSwitch): boolean {
  const gaps = engines.map(view => view.gapMs)
  const known = gaps.filter(gap => gap !== null)
  const median = known.length < minKnownSpeeds ? null : findMedian(known)
  const slowModelMs = contention.isOn ? findSlowModelGap(known) : null
  const least = slowModelMs === null ? minSlowness : minMixedSlowness
  engines.forEach((view, i) => {
    const gap = gaps[i]
    const ratio = gap === null || median === null ? 1 : gap / median
    const isEqual = contention.isOn && ratio <= equalRatio && ratio >= 1 / equalRatio
    view.slowness = isEqual ? 1 : Math.min(maxSlowness, Math.max(least, ratio))
    view.isSlow = slowModelMs === null || gap === null
      ? view.slowness < degradedRatio && view.slowness > (view.isSlow ? slowExitRatio : slowRatio)
      : gap >= slowModelMs && view.slowness < mixedDegradedRatio
  })
  return slowModelMs !== null
}

// The time between events from which an engine is of a slow model; null if the engines are alike.
function findSlowModelGap (known: readonly number[]): number | null {
  if (known.length < minMixedEngines) return null
  const sorted = [...known].sort((a, b) => a - b)
  const limitMs = sorted[Math.floor(sorted.length * fastShare)] * mixedRatio
  const slow = sorted.filter(gap => gap >= limitMs).length
  return slow >= sorted.length * minSlowShare ? limitMs : null
}
