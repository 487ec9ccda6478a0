/**
 * Divides the dedicated engines among the kinds of request that use them, by pause limit.
 *
 * The load that this answers: prompts of 9,000 tokens with a pause limit of 300 or 400 ms share the dedicated engines
 * with prompts of 17,000 tokens that bear pauses of a second. An engine that reads the latter without a break pauses its
 * streams for up to 450 ms, so that one in ten of the former breaks its limit, and waits behind the longer prompts.
 */

export interface DedicatedKind {
  readonly level: number
  readonly pauseMs: number
  /** Arrival rate over all boxes, prompt tokens/s. */
  readonly rate: number
}

/** The engines of a part, as positions in the order in which engines are dedicated. */
export interface EnginePart {
  readonly from: number
  readonly to: number
}

/** Kinds whose limits differ by at most this factor share a part. */
const sameLimitRatio = 1.2

/** Returns the part of the kind of a level, in proportion to the rates; all `count` engines if they are not divided. The kinds with the longest limits come first. */
export function findPart (kinds: readonly DedicatedKind[], level: number, count: number): EnginePart {
  const groups = groupByLimit(kinds)
  const index = groups.findIndex(group => group.some(kind => kind.level === level))
  const total = sumRates(kinds)
  if (index < 0 || groups.length < 2 || count < groups.length || total === 0) return { from: 0, to: count }
  // Each part has at least one engine.
  const findStart = (i: number): number => Math.min(count - groups.length + i, Math.max(i, Math.round(count * sumRates(groups.slice(0, i).flat()) / total)))
  return { from: findStart(index), to: index + 1 === groups.length ? count : findStart(index + 1) }
}

function groupByLimit (kinds: readonly DedicatedKind[]): DedicatedKind[][] {
  const groups: DedicatedKind[][] = []
  for (const kind of [...kinds].sort((a, b) => b.pauseMs - a.pauseMs)) {
    const last = groups.at(-1)
    if (last !== undefined && last[0].pauseMs <= kind.pauseMs * sameLimitRatio) last.push(kind)
    else groups.push([kind])
  }
  return groups
}

function sumRates (kinds: readonly DedicatedKind[]): number { return kinds.reduce((sum, { rate }) => sum + rate, 0) }
