/** The times of a lease, all ms. */
export interface LeaseTiming {
  /** From asking for a renewal, how long the holder may act on it. */
  readonly holdMs: number
  /** Between renewals. */
  readonly renewMs: number
  /** The longest that one call of the holder may take. */
  readonly callMs: number
  /** How long a mark must have stood still before another may claim. */
  readonly waitMs: number
  /** How long one that held the lease before leaves it to others once one of them has it. */
  readonly cooldownMs: number
}

/** Part of the bound that a holder acts within: the rest is for calls that arrive late and for claims. */
const holdFraction = 0.8
/** Part of that for one call, so that one more fits in between two renewals: an answer takes a few ms, and fifty times as long from a slow platform. */
const callFraction = 0.3
/** Renewals in the time of a lease: one may be lost, and another one late. */
const renewalsPerLease = 5
/** Clocks of boxes differ by less in their pace: crystals by 0.0002, virtual ones by a few in a hundred. */
const maxClockDrift = 0.05
/** A call that was written at the last moment has arrived, or was called off, ms. */
const deliveryMarginMs = 250

/** Works the times out from the bound within which holders may not come back, ms. */
export function planLeaseTiming (boundMs: number): LeaseTiming {
  const holdMs = boundMs * holdFraction
  return { holdMs, renewMs: holdMs / renewalsPerLease, callMs: holdMs * callFraction, waitMs: holdMs * (1 + maxClockDrift) + deliveryMarginMs, cooldownMs: boundMs * (1 + maxClockDrift) + deliveryMarginMs }
}
