/**
 * Checks what endpoints saw against what they had said on their answers: limits
 * of all boxes together, back-off of one box, and leaving. Each arrival is joined
 * with the gateway that sent it by the request's id.
 */
import type { EndpointArrival } from '../standin/index.js'
import type { Disturbances } from './disturbances.js'
import { countAllowed, drainMs, mostInBackoff, settleMs, toldMs, windowMs } from './limit-bounds.js'
import type { PromiseWatch } from './promise-watch.js'
import type { StagedEndpoint } from './soak-stage.js'

/** A box that was disturbed within this before is excused, ms: it may have learned nothing since. */
const excusedMs = 4000
/** A pause between answers that name a limit after which it counts as named anew, ms. */
const apartMs = 6000

/** An arrival and the gateway that sent it. */
interface SentArrival extends EndpointArrival {
  readonly gateway: string
}

export class NoticeWatch {
  #disturbances: Disturbances
  #watch: PromiseWatch

  constructor (disturbances: Disturbances, watch: PromiseWatch) {
    this.#disturbances = disturbances
    this.#watch = watch
  }

  /** Checks all that reached the endpoints, once nothing comes any more. */
  settle (endpoints: readonly StagedEndpoint[]): void {
    const gateways = new Map(this.#watch.calls.map(({ id, gateway }) => [id, gateway]))
    for (const [i, { standin }] of endpoints.entries()) {
      const sent = standin.arrivals.flatMap(arrival => {
        const gateway = gateways.get(arrival.requestId)
        return gateway === undefined ? [] : [{ ...arrival, gateway }]
      })
      // What a disturbed road held back arrives at once, whoever sent it when; an endpoint with a fault may have told nobody.
      const isCalm = (from: number, to: number): boolean => !this.#disturbances.hasTouched([`road ${i}`, `endpoint ${i}`], from, to)
      this.#checkLimit(standin.id, sent, isCalm)
      this.#checkBackoff(standin.id, sent, isCalm)
      this.#checkLeaving(standin.id, sent, isCalm)
    }
  }

  #checkLimit (id: string, sent: readonly SentArrival[], isCalm: (from: number, to: number) => boolean): void {
    let namedAt = -Infinity
    let lastAt = -Infinity
    for (const [i, { at, limit }] of sent.entries()) {
      if (limit === null) namedAt = -Infinity
      if (limit === null) continue
      if (namedAt === -Infinity || at - lastAt > apartMs) namedAt = at
      lastAt = at
      if (at < namedAt + settleMs || !isCalm(at - windowMs - settleMs, at)) continue
      const inWindow = sent.slice(0, i + 1).filter(one => one.at > Math.max(at - windowMs, namedAt + toldMs) && one.limit !== null && !this.#isExcused(one))
      const most = Math.max(...inWindow.map(one => one.limit ?? 0), limit)
      const allowed = countAllowed(most)
      if (inWindow.length <= allowed) continue
      this.#watch.violate('an endpoint got more than the limit that it had named', `${id}: ${inWindow.length} in ${windowMs} ms, limit ${most}, allowed ${allowed}`)
      // The windows that follow hold the same arrivals.
      return
    }
  }

  #checkBackoff (id: string, sent: readonly SentArrival[], isCalm: (from: number, to: number) => boolean): void {
    for (const { at, gateway, backoffMs } of sent) {
      if (backoffMs === null || !isCalm(at, at + backoffMs)) continue
      const meanwhile = sent.filter(one => one.gateway === gateway && one.at > at + toldMs && one.at < at + backoffMs && !this.#isExcused(one))
      if (meanwhile.length > mostInBackoff) this.#watch.violate('an endpoint got requests from a box that it had asked to back off', `${id}: ${meanwhile.length} from ${gateway} in ${backoffMs} ms`)
    }
  }

  #checkLeaving (id: string, sent: readonly SentArrival[], isCalm: (from: number, to: number) => boolean): void {
    let saidAt: number | null = null
    for (const arrival of sent) {
      saidAt = arrival.isLeaving ? saidAt ?? arrival.at : null
      if (saidAt === null || arrival.at < saidAt + drainMs) continue
      if (!this.#isExcused(arrival) && isCalm(saidAt, arrival.at)) this.#watch.violate('an endpoint that said on an answer that it leaves got new work', `${id}: ${arrival.requestId} after ${Math.round(arrival.at - saidAt)} ms`)
    }
  }

  #isExcused ({ at, gateway }: SentArrival): boolean {
    return this.#disturbances.hasTouched([gateway, `stop ${gateway}`], at - excusedMs, at)
  }
}
