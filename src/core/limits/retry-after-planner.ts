/**
 * Estimates the wait of a request, and computes the Retry-After of a refused one,
 * while the box backs off from every endpoint of a service or their limits are used
 * up. Both follow from this box's share of the limits.
 */
import { RateMeter } from '../balance/rate-meter.js'
import type { ServiceName } from '../ids.js'

/** When and at what rate the endpoints of a service accept requests. */
export interface ServiceAvailability {
  /** Time until the first of them accepts requests again, ms. */
  readonly availableInMs: number
  /** This box's share of their rate limits together, requests per second; Infinity if one has no limit. */
  readonly perSecond: number
}

/** Upper bound of Retry-After, ms. */
const maxRetryAfterMs = 30_000
/** Fraction of the limits that is assumed to remain if more urgent requests use up all of them. */
const minRemainingShare = 0.05

interface RetrySchedule {
  readonly arrivals: RateMeter
  /** Time at which the next refused caller should retry. */
  nextRetryAt: number
}

export class RetryAfterPlanner {
  #services = new Map<ServiceName, Map<number, RetrySchedule>>()

  noteArrival (service: ServiceName, priority: number, at: number): void {
    this.#getSchedule(service, priority).arrivals.add(at, 1)
  }

  /** Expected wait of a request behind `ahead` others, ms. */
  estimateWait ({ availableInMs, perSecond }: ServiceAvailability, ahead: number): number {
    return availableInMs + ahead * 1000 / perSecond
  }

  /** Retry delay of a refused caller, ms. Successive callers are spaced out at the rate at which they can be served. */
  plan (service: ServiceName, priority: number, { availableInMs, perSecond }: ServiceAvailability, at: number): number {
    const schedule = this.#getSchedule(service, priority)
    const latest = at + maxRetryAfterMs
    const retryAt = Math.min(latest, Math.max(schedule.nextRetryAt, at + availableInMs))
    const remaining = Math.max(perSecond - this.#sumUrgentArrivals(service, priority, at), perSecond * minRemainingShare)
    schedule.nextRetryAt = retryAt + 1000 / remaining
    return Math.min(maxRetryAfterMs, retryAt - at)
  }

  // Arrival rate of more urgent requests at this box, per second.
  #sumUrgentArrivals (service: ServiceName, priority: number, at: number): number {
    let rate = 0
    for (const [other, { arrivals }] of this.#services.get(service) ?? []) if (other < priority) rate += arrivals.rate(at)
    return rate
  }

  #getSchedule (service: ServiceName, priority: number): RetrySchedule {
    const priorities = this.#services.get(service) ?? new Map<number, RetrySchedule>()
    this.#services.set(service, priorities)
    const found = priorities.get(priority) ?? { arrivals: new RateMeter(), nextRetryAt: -Infinity }
    priorities.set(priority, found)
    return found
  }
}
