import type { EngineState } from './engine-state.js'

const slowFactor = 2
const recoveredFactor = 1.5

/**
 * Marks engines whose time per token exceeds `slowFactor` times the median, at
 * most the fraction `share` of them. An engine is unmarked once it is below
 * `recoveredFactor` times the median. Needs measurements of at least three engines.
 */
export function markSlow (engines: readonly EngineState[], share: number): void {
  const times: number[] = []
  for (const engine of engines) {
    const time = engine.health.tokenMs
    if (time !== null) times.push(time)
  }
  if (times.length < 3) return
  times.sort((a, b) => a - b)
  const median = times[times.length >> 1]
  let marked = engines.filter(engine => engine.health.isSlow).length
  const limit = Math.floor(engines.length * share)
  for (const { health } of engines) {
    const time = health.tokenMs ?? median
    if (health.isSlow && time < median * recoveredFactor) {
      health.isSlow = false
      marked -= 1
    } else if (!health.isSlow && time > median * slowFactor && marked < limit) {
      health.isSlow = true
      marked += 1
    }
  }
}
