/**
 * Chooses among engines by costs that other boxes are changing at the same time.
 *
 * The load that this answers: some 70 boxes choose engines by totals that are 60 to 250 ms old. If each takes the
 * engine of the lowest cost, 20 to 40 prompts reach it before any box hears of them, while other engines are idle. The
 * box therefore assumes that what the others have sent since has filled up the engines of the lowest cost to a common
 * level, and draws an engine with a probability in proportion to what it takes to reach that level.
 */

/** Costs that differ by at most this are equivalent, ms: messages between boxes take longer. */
const tieMs = 3

export interface StaleCosts {
  /** Costs of the engines, ms; not empty. */
  readonly costs: readonly number[]
  /** Time in which the engines read what the other boxes have sent since their reports, ms. */
  readonly unreportedMs: number
}

/** Returns the index of the drawn engine; `draw` is from 0 up to 1. */
export function pickBelowLevel ({ costs, unreportedMs }: StaleCosts, draw: number): number {
  const level = findLevel(costs, unreportedMs)
  const weights = costs.map(cost => Math.max(0, level - cost))
  let left = draw * weights.reduce((sum, weight) => sum + weight, 0)
  const picked = weights.findIndex(weight => {
    left -= weight
    return left < 0
  })
  return picked >= 0 ? picked : costs.indexOf(Math.min(...costs))
}

/** The cost up to which `unreportedMs` fill the engines of the lowest costs; at least `tieMs` above the lowest. */
export function findLevel (costs: readonly number[], unreportedMs: number): number {
  const sorted = [...costs].sort((a, b) => a - b)
  let sum = 0
  let level = Infinity
  for (let i = 0; i < sorted.length && level > sorted[i]; i++) {
    sum += sorted[i]
    level = (unreportedMs + sum) / (i + 1)
  }
  return Math.max(level, sorted[0] + tieMs)
}
