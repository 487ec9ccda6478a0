/**
 * Checks the requests that arrived at endpoints against the notices that these had
 * given on their answers: limits, which apply to all boxes together, back-off of
 * one box, and leaving. The request's id tells which gateway sent an arrival.
 */
import type { EndpointArrival } from '../standin/index.js'
import type { Disturbances } from './disturbances.js'
import { countAllowed, drainMs, maxInBackoff, settleMs, noticeReactionMs, windowMs } from './limit-bounds.js'
import type { GuaranteeChecker } from './guarantee-checker.js'
import type { TestbedEndpoint } from './soak-testbed.js'

/** Arrivals from a box that was disturbed within this time before are exempt, ms: it may not have received the notice yet. */
const exemptMs = 4000
/** After a gap of this length between answers that name a limit, it counts as a new notice, ms. */
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

  /** Checks all arrivals at the endpoints; must be called once no more requests are sent. */
  checkArrivals (endpoints: readonly TestbedEndpoint[]): void {
    const gateways = new Map(this.#checker.calls.map(({ id, gateway }) => [id, gateway]))
    for (const [i, { standin }] of endpoints.entries()) {
      const sent = standin.arrivals.flatMap(arrival => {
        const gateway = gateways.get(arrival.requestId)
        return gateway === undefined ? [] : [{ ...arrival, gateway }]
      })
      // A proxy with a fault may delay requests, which then arrive at once; an endpoint that has a fault or is silent may not have given its notices.
      const isUndisturbed = (from: number, to: number): boolean => !this.#disturbances.wasDisturbed([`proxy ${i}`, `endpoint ${i}`, `silence ${i}`], from, to)
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
      const inWindow = sent.slice(0, i + 1).filter(one => one.at > Math.max(at - windowMs, limitFrom + noticeReactionMs) && one.limit !== null && !this.#isExempt(one))
      const maxLimit = Math.max(...inWindow.map(one => one.limit ?? 0), limit)
      const allowed = countAllowed(maxLimit)
      if (inWindow.length <= allowed) continue
      this.#checker.reportViolation('an endpoint got more requests than its limit allows', `${id}: ${inWindow.length} in ${windowMs} ms, limit ${maxLimit}, allowed ${allowed}`)
      // Later windows overlap with this one.
      return
    }
  }

  #checkBackoff (id: string, sent: readonly SentArrival[], isUndisturbed: (from: number, to: number) => boolean): void {
    for (const { at, gateway, backoffMs } of sent) {
      if (backoffMs === null || !isUndisturbed(at, at + backoffMs)) continue
      const meanwhile = sent.filter(one => one.gateway === gateway && one.at > at + noticeReactionMs && one.at < at + backoffMs && !this.#isExempt(one))
      if (meanwhile.length > maxInBackoff) this.#checker.reportViolation('an endpoint got requests from a box that it had asked to back off', `${id}: ${meanwhile.length} from ${gateway} in ${backoffMs} ms`)
    }
  }

  #checkLeaving (id: string, sent: readonly SentArrival[], isUndisturbed: (from: number, to: number) => boolean): void {
    let leavingAt: number | null = null
    for (const arrival of sent) {
      leavingAt = arrival.isLeaving ? leavingAt ?? arrival.at : null
      if (leavingAt === null || arrival.at < leavingAt + drainMs) continue
      if (!this.#isExempt(arrival) && isUndisturbed(leavingAt, arrival.at)) this.#checker.reportViolation('an endpoint got new requests after it had announced its leaving on an answer', `${id}: ${arrival.requestId}, ${Math.round(arrival.at - leavingAt)} ms later`)
    }
  }

  #isExempt ({ at, gateway }: SentArrival): boolean {
    return this.#disturbances.wasDisturbed([gateway, `stop ${gateway}`], at - exemptMs, at)
  }
}
