/**
 * Checks what endpoints saw against what they had said on their answers: limits
 * of all boxes together, back-off of one box, and leaving. Each arrival is joined
 * with the gateway that sent it by the request's id.
 */
import type { EndpointArrival } from '../standin/index.js'
import type { Disturbances } from './disturbances.js'
import { countAllowed, drainMs, mostInBackoff, settleMs, toldMs, windowMs } from './limit-bounds.js'
import type { GuaranteeChecker } from './guarantee-checker.js'
import type { TestbedEndpoint } from './soak-stage.js'

/** A box that was disturbed within this before is excused, ms: it may have learned nothing since. */
const exemptMs = 4000
/** A pause between answers that name a limit after which it counts as named anew, ms. */
const limitGapMs = 6000

/** An arrival and the gateway that sent it. */
interface SentArrival extends EndpointArrival {
  readonly gateway: string
}

export class NoticeChecker {
  #disturbances: Disturbances
  #checker: GuaranteeChecker

  constructor (disturbances: Disturbances, checker: GuaranteeChecker) {
    this.#disturbances = disturbances
    this.#checker = checker
  }

  /** Checks all that reached the endpoints, once nothing comes any more. */
  checkArrivals (endpoints: readonly TestbedEndpoint[]): void {
    const gateways = new Map(this.#checker.calls.map(({ id, gateway }) => [id, gateway]))
    for (const [i, { standin }] of endpoints.entries()) {
      const sent = standin.arrivals.flatMap(arrival => {
        const gateway = gateways.get(arrival.requestId)
        return gateway === undefined ? [] : [{ ...arrival, gateway }]
      })
      // What a disturbed road held back arrives at once, whoever sent it when; an endpoint with a fault may have told nobody.
      const isUndisturbed = (from: number, to: number): boolean => !this.#disturbances.wasDisturbed([`proxy ${i}`, `endpoint ${i}`], from, to)
      this.#checkLimit(standin.id, sent, isUndisturbed)
      this.#checkBackoff(standin.id, sent, isUndisturbed)
      this.#checkLeaving(standin.id, sent, isUndisturbed)
    }
  }

  #checkLimit (id: string, sent: readonly SentArrival[], isUndisturbed: (from: number, to: number) => boolean): void {
    let limitFrom = -Infinity
    let lastAt = -Infinity
    for (const [i, { at, limit }] of sent.entries()) {
      if (limit === null) limitFrom = -Infinity
      if (limit === null) continue
      if (limitFrom === -Infinity || at - lastAt > limitGapMs) limitFrom = at
      lastAt = at
      if (at < limitFrom + settleMs || !isUndisturbed(at - windowMs - settleMs, at)) continue
      const inWindow = sent.slice(0, i + 1).filter(one => one.at > Math.max(at - windowMs, limitFrom + toldMs) && one.limit !== null && !this.#isExempt(one))
      const most = Math.max(...inWindow.map(one => one.limit ?? 0), limit)
      const allowed = countAllowed(most)
      if (inWindow.length <= allowed) continue
      this.#checker.reportViolation('an endpoint got more than the limit that it had named', `${id}: ${inWindow.length} in ${windowMs} ms, limit ${most}, allowed ${allowed}`)
      // The windows that follow hold the same arrivals.
      return
    }
  }

  #checkBackoff (id: string, sent: readonly SentArrival[], isUndisturbed: (from: number, to: number) => boolean): void {
    for (const { at, gateway, backoffMs } of sent) {
      if (backoffMs === null || !isUndisturbed(at, at + backoffMs)) continue
      const meanwhile = sent.filter(one => one.gateway === gateway && one.at > at + toldMs && one.at < at + backoffMs && !this.#isExempt(one))
      if (meanwhile.length > mostInBackoff) this.#checker.reportViolation('an endpoint got requests from a box that it had asked to back off', `${id}: ${meanwhile.length} from ${gateway} in ${backoffMs} ms`)
    }
  }

  #checkLeaving (id: string, sent: readonly SentArrival[], isUndisturbed: (from: number, to: number) => boolean): void {
    let leavingAt: number | null = null
    for (const arrival of sent) {
      leavingAt = arrival.isLeaving ? leavingAt ?? arrival.at : null
      if (leavingAt === null || arrival.at < leavingAt + drainMs) continue
      if (!this.#isExempt(arrival) && isUndisturbed(leavingAt, arrival.at)) this.#checker.reportViolation('an endpoint that said on an answer that it leaves got new work', `${id}: ${arrival.requestId} after ${Math.round(arrival.at - leavingAt)} ms`)
    }
  }

  #isExempt ({ at, gateway }: SentArrival): boolean {
    return this.#disturbances.wasDisturbed([gateway, `stop ${gateway}`], at - exemptMs, at)
  }
}
