/** The capacity of a service and what arrives for it, by which returns are planned. */
import type { ServiceTotal } from './box-load.js'
import type { EndpointView } from './endpoint-view.js'
import { addAmounts } from './load-sum.js'
import type { ReturnRates } from './return-schedule.js'
import { measureReadingCapacity } from './service-admission.js'
import type { ServiceState } from './service-state.js'

/** For a service that is not configured. */
export const noRates: ReturnRates = { capacity: 0, arrivals: 0, scale: 1 }

/** Rates in prompt tokens/s for engines, in requests/s for a plain service. `sharers`: as for admission; `boxes`: number of boxes, including this one. */
export function measureReturnRates (state: ServiceState, usable: readonly EndpointView[], others: ServiceTotal | null, sharers: number, boxes: number, at: number): ReturnRates {
  // Without recent totals, this box divides its own part of the capacity among its own arrivals.
  const heard = sharers > 1 ? null : others
  const ownRates = state.kinds.measureRates(at)
  const own = sum(ownRates)
  const arrivals = sum(addAmounts(ownRates, heard?.rates ?? [], 1))
  const capacity = state.service.engine === null ? measureCallCapacity(usable) / sharers : measureReadingCapacity(state, usable, heard, sharers, at)
  const scale = heard === null ? 1 : Math.max(1, Math.min(boxes, own > 0 ? arrivals / own : boxes))
  return { capacity, arrivals, scale }
}

// Requests/s that the endpoints of a plain service can answer: their slots over their answer times.
function measureCallCapacity (usable: readonly EndpointView[]): number {
  return usable.reduce((rate, { record, answerMs }) => rate + record.slots * 1000 / Math.max(1, answerMs.value), 0)
}

function sum (rates: readonly (readonly [number, number])[]): number { return rates.reduce((total, [, rate]) => total + rate, 0) }
