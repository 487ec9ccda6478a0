/** What the second sends of a box share: its retry budget, how many are chosen an endpoint at a time, and what the endpoints have sent lately, measured once for all requests that are checked at a time. */
import type { ActivitySign, EndpointId, EndpointView, Fleet, ServiceName } from '../core/index.js'
import type { Metrics } from '../runtime/index.js'
import { countSigns, mayHedgeAt } from './hedge-policy.js'
import type { HedgeEnd, HedgeTargets, SignCounts, Suspicion } from './hedge-policy.js'
import type { RetryUse } from './retry-policy.js'

/** Requests for which an endpoint is chosen in one check of all: a choice looks at every endpoint of the service. */
const maxChoices = 8
/** A second send goes to endpoints with at least this fraction of their slots free: the others are left to first sends. */
const minFreeShare = 0.25
/** An endpoint that refused a request as full within this time gets no second send, ms. */
const fullMs = 1000

/** The endpoints of a service by their signs at one time. */
export class ServiceSigns {
  readonly counts: SignCounts
  #views: readonly EndpointView[]
  #signs: ReadonlyMap<EndpointId, ActivitySign>
  #targets = new Map<string, readonly EndpointView[]>()

  constructor (views: readonly EndpointView[], find: (view: EndpointView) => ActivitySign) {
    this.#views = views
    this.#signs = new Map(views.map(view => [view.id, find(view)]))
    this.counts = countSigns(this.#signs.values())
  }

  /** The signs of some endpoints; those that may not be used are left out. */
  list (ids: readonly EndpointId[]): ActivitySign[] { return ids.flatMap(id => this.#signs.get(id) ?? []) }

  /** Endpoints to which second sends may go; with `isSpare`, those that pass it. */
  listTargets (targets: HedgeTargets, isSpare: ((view: EndpointView) => boolean) | null): readonly EndpointView[] {
    const key = `${targets} ${isSpare === null}`
    const known = this.#targets.get(key)
    if (known !== undefined) return known
    const found = this.#views.filter(view => mayHedgeAt(this.#signs.get(view.id) ?? 'unknown', targets) && (isSpare === null || isSpare(view)))
    this.#targets.set(key, found)
    return found
  }
}

export class Hedges {
  #fleet: Fleet
  #hasRetry: (service: ServiceName, use: RetryUse) => boolean
  #metrics: Pick<Metrics, 'count'>
  #draw: () => number
  #at = -Infinity
  #signs = new Map<string, ServiceSigns>()
  #wanted = 0
  #wantedBefore = 0
  #given = 0

  /** `hasRetry`: whether the retry budget has one left for a second send; `draw`: a random number, at least 0 and less than 1. */
  constructor (fleet: Fleet, hasRetry: (service: ServiceName, use: RetryUse) => boolean, metrics: Pick<Metrics, 'count'>, draw: () => number = Math.random) {
    this.#fleet = fleet
    this.#hasRetry = hasRetry
    this.#metrics = metrics
    this.#draw = draw
  }

  /** True if the retry budget has one left for a second send. */
  hasRetry (service: ServiceName, use: RetryUse): boolean { return this.#hasRetry(service, use) }

  /** Notes that a second send has ended: it replaced the first, or was given up. */
  noteEnd (service: ServiceName, end: HedgeEnd): void { this.#metrics.count('hedges', { service, end }) }

  /** The signs of a service's usable endpoints, as they count for this suspicion. */
  findSigns (service: ServiceName, suspicion: Suspicion, at: number): ServiceSigns {
    this.#renew(at)
    const key = `${service} ${suspicion === 'overdue'}`
    let signs = this.#signs.get(key)
    if (signs === undefined) this.#signs.set(key, signs = new ServiceSigns(this.#fleet.listUsable(service, at), view => findSign(view, suspicion, at)))
    return signs
  }

  /** Takes the turn of one request to choose an endpoint; false if it is to ask again at the next check. Each is as likely to get one if more ask than may. */
  takeTurn (at: number): boolean {
    this.#renew(at)
    this.#wanted += 1
    if (this.#given >= maxChoices || this.#draw() * this.#wantedBefore >= maxChoices) return false
    this.#given += 1
    return true
  }

  /** True if an endpoint has room and is in good health. */
  isSpare ({ record, running, health, fullAt }: EndpointView, at: number): boolean {
    return running < record.slots * (1 - minFreeShare) && at - fullAt > fullMs && health.findState(at) === 'good' && !this.#fleet.zones.isUnreachable(record.zone, at)
  }

  #renew (at: number): void {
    if (at === this.#at) return
    this.#at = at
    this.#signs.clear()
    this.#wantedBefore = this.#wanted
    this.#wanted = this.#given = 0
  }
}

/** What an endpoint has sent lately. One that answers some requests and leaves others overdue doesn't show that a long wait elsewhere is unusual. */
export function findSign (view: EndpointView, suspicion: Suspicion, at: number): ActivitySign {
  const sign = view.findActivity(at)
  return suspicion === 'overdue' && sign === 'answering' && view.measureOverdue(at) > 0 ? 'silent' : sign
}
