/** Durations of the lease protocol, ms. */
export interface LeaseTiming {
  /** How long the holder may act, counted from the request of the last renewal. */
  readonly validMs: number
  /** Interval between renewals. */
  readonly renewMs: number
  /** Maximum duration of one call of the holder. */
  readonly callMs: number
  /** How long the mark must be unchanged before another box may claim. */
  readonly waitMs: number
  /** How long a former holder may not claim again after another box took over. */
  readonly cooldownMs: number
}

/** Fraction of the bound during which a holder may act; the rest allows for calls that arrive late and for the takeover. */
const holdFraction = 0.8
/** Fraction of `validMs` for one call, so that one more call fits between two renewals. An answer takes a few ms, but up to fifty times as long from a slow platform. */
const callFraction = 0.3
/** Renewals per lease duration, so that one may be lost and another one late. */
const renewalsPerLease = 5
/** Upper bound on the relative clock drift between boxes: crystal oscillators drift by up to 0.0002, virtual clocks by a few percent. */
const maxClockDrift = 0.05
/** Time within which a call written at the last moment has arrived or been cancelled, ms. */
const deliveryMarginMs = 250

/** Derives the durations from the bound within which a former holder may not act again, ms. */
export function planLeaseTiming (boundMs: number): LeaseTiming {
  const validMs = boundMs * holdFraction
  return { validMs, renewMs: validMs / renewalsPerLease, callMs: validMs * callFraction, waitMs: validMs * (1 + maxClockDrift) + deliveryMarginMs, cooldownMs: boundMs * (1 + maxClockDrift) + deliveryMarginMs }
}
