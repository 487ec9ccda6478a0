/**
 * How long a request waits where the box backs off from every endpoint of its
 * service or their limits are used up, and when a caller that is refused for that is to come back. Both
 * follow from the limits: this box's part of them is what it may send.
 */
import { DemandMeter } from '../balance/demand-meter.js'
import type { ServiceName } from '../ids.js'

/** What the endpoints of a service take at present. */
export interface ServiceOpening {
  /** Time until the first of them may be asked again, ms. */
  readonly openMs: number
  /** This box's part of what all of them take a second; Infinity where one names no limit. */
  readonly perSecond: number
}

/** The longest Retry-After, ms. */
const longestReturnMs = 30_000
/** Part of the limits that is assumed to be left where more urgent requests want all of it. */
const leastLeftShare = 0.05

interface Returns {
  readonly arrivals: DemandMeter
  /** When the next caller that is refused is to come back. */
  nextAt: number
}

export class ReturnPlanner {
  #services = new Map<ServiceName, Map<number, Returns>>()

  /** Takes word that a request arrived. */
  noteArrival (service: ServiceName, priority: number, at: number): void {
    this.#find(service, priority).arrivals.add(at, 1)
  }

  /** How long a request with so many others before it waits, ms. */
  estimateWait ({ openMs, perSecond }: ServiceOpening, ahead: number): number {
    return openMs + ahead * 1000 / perSecond
  }

  /** When a caller that is refused is to come back, ms from now. Callers are spread over the time that their requests take. */
  plan (service: ServiceName, priority: number, { openMs, perSecond }: ServiceOpening, at: number): number {
    const returns = this.#find(service, priority)
    const latest = at + longestReturnMs
    const returnAt = Math.min(latest, Math.max(returns.nextAt, at + openMs))
    const left = Math.max(perSecond - this.#sumUrgent(service, priority, at), perSecond * leastLeftShare)
    returns.nextAt = returnAt + 1000 / left
    return Math.min(longestReturnMs, returnAt - at)
  }

  // Requests of more urgent kinds that arrive here a second.
  #sumUrgent (service: ServiceName, priority: number, at: number): number {
    let rate = 0
    for (const [other, { arrivals }] of this.#services.get(service) ?? []) if (other < priority) rate += arrivals.rate(at)
    return rate
  }

  #find (service: ServiceName, priority: number): Returns {
    const priorities = this.#services.get(service) ?? new Map<number, Returns>()
    this.#services.set(service, priorities)
    const found = priorities.get(priority) ?? { arrivals: new DemandMeter(), nextAt: -Infinity }
    priorities.set(priority, found)
    return found
  }
}
