/**
 * Divides the reading capacity of a service's engines among the kinds of request
 * when demand exceeds it. The most urgent kinds are served first, except for a share
 * reserved for each less urgent kind, which prevents starvation in long bursts.
 */
import type { KindRates } from './box-load.js'

/** Fraction of its rate that is reserved for the second most urgent kind, and for each kind after that. */
const reservedShares: readonly number[] = [0.6, 0.25]
/** Upper bound on all reservations together, as a fraction of the capacity. */
const maxReservedShare = 0.35
/** Upper bound on the fraction of a kind's rate that is given up to reservations, if the capacity covers it and all more urgent kinds. */
const maxYieldedShare = 0.2

/**
 * Kinds are limited only if the congested kind and all more urgent ones together demand at least this fraction of the capacity.
 * Below it, admission by each kind's own backlog is sufficient.
 */
const limitingDemandShare = 0.5

/**
 * Divides `capacity`, in tokens/s, among the kinds that arrive. Returns the fraction of each kind's
 * tokens that is read, from 0 to 1, by level; the map is empty if kinds are not limited.
 * `congestedLevel`: level of the most urgent kind for which engines are congested; Infinity if there is none.
 */
export function divideCapacity (capacity: number, rates: KindRates, congestedLevel: number): Map<number, number> {
  const ranked = [...rates].sort(([a], [b]) => a - b).map(([level, rate]) => ({ level, rate }))
  const demand = sum(ranked.filter(({ level }) => level <= congestedLevel).map(({ rate }) => rate))
  if (congestedLevel === Infinity || demand < capacity * limitingDemandShare) return new Map()
  const reserved = reserveRates(capacity, ranked.map(({ rate }) => rate))
  let remaining = capacity - sum(reserved)
  return new Map(ranked.map(({ level, rate }, i) => {
    const extra = Math.min(rate - reserved[i], remaining)
    remaining -= extra
    return [level, rate === 0 ? 1 : (reserved[i] + extra) / rate]
  }))
}

// Capacity reserved for each kind, in tokens/s; `rates` are ordered from the most urgent kind to the least.
function reserveRates (capacity: number, rates: readonly number[]): number[] {
  const requested = rates.map((rate, i) => i === 0 ? 0 : rate * reservedShares[Math.min(i, reservedShares.length) - 1])
  const scale = Math.min(1, capacity * maxReservedShare / Math.max(1, sum(requested)))
  const reserved = requested.map(rate => rate * scale)
  let spare = capacity
  for (let i = 0; i + 1 < rates.length; i++) {
    spare -= rates[i]
    const lessUrgent = sum(reserved.slice(i + 1))
    if (spare >= lessUrgent || spare < 0) continue
    const kept = Math.min(lessUrgent, Math.max(spare, rates[i] * maxYieldedShare))
    for (let j = i + 1; j < reserved.length; j++) reserved[j] *= kept / lessUrgent
  }
  return reserved
}

function sum (values: readonly number[]): number { return values.reduce((total, value) => total + value, 0) }
