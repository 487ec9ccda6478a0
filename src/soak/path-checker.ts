/** Checks that gateways without a path to any endpoint serve first tries nearly as often as the others at the same time. */
import type { Disturbances } from './disturbances.js'
import type { CheckedCall, GuaranteeChecker } from './guarantee-checker.js'

/** Time from the cut until such a gateway must serve as the others do, ms; after a start of its process too. */
const detectionMs = 3000
/** Least ratio of the fractions served. */
const minServedRatio = 0.95
/** Calls that may fail beyond that ratio: those in flight as another fault begins. */
const slack = 3

interface PathCut {
  readonly gateways: readonly string[]
  readonly from: number
  to: number
}

export class PathChecker {
  #disturbances: Disturbances
  #checker: GuaranteeChecker
  #cuts: PathCut[] = []

  constructor (disturbances: Disturbances, checker: GuaranteeChecker) {
    this.#disturbances = disturbances
    this.#checker = checker
  }

  /** Records the start of a cut; the returned function records its end. */
  begin (gateways: readonly string[], at: number): (at: number) => void {
    const cut = { gateways, from: at, to: Infinity }
    this.#cuts.push(cut)
    return endedAt => { cut.to = endedAt }
  }

  /** Checks all calls; returns the numbers of those served and sent at gateways that were cut off. */
  checkCalls (): { readonly served: number, readonly sent: number } {
    const counted = this.#checker.calls.filter(call => this.#isCounted(call))
    const isCutOff = (call: CheckedCall): boolean => this.#cuts.some(({ gateways, from, to }) => from < call.sentAt && call.sentAt < to && gateways.includes(call.gateway))
    const [atCutOff, atOthers] = [true, false].map(value => counted.filter(call => isCutOff(call) === value))
    const [served, servedAtOthers] = [atCutOff, atOthers].map(calls => calls.filter(({ result }) => result.status === 200 && result.isComplete).length)
    const expected = atCutOff.length * minServedRatio * (atOthers.length === 0 ? 1 : servedAtOthers / atOthers.length)
    if (served < expected - slack) this.#checker.reportViolation('gateways without paths to endpoints served less than the others', `${served} of ${atCutOff.length}, the others ${servedAtOthers} of ${atOthers.length}`)
    return { served, sent: atCutOff.length }
  }

  // Calls during a cut, a while after its start, that no other fault disturbed.
  #isCounted ({ gateway, sentAt, endedAt }: CheckedCall): boolean {
    const isDuringCut = this.#cuts.some(({ from, to }) => from + detectionMs < sentAt && sentAt < to)
    return isDuringCut && !this.#disturbances.wasDisturbed(['gateway', `stop ${gateway}`, 'registry', 'link', 'proxy', 'endpoint'], sentAt - detectionMs, endedAt)
  }
}
