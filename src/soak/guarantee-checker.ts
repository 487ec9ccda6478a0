/**
 * Checks what callers and endpoints see against what the product promises. It
 * knows no state of the product: only calls, their ends, and runs.
 */
import type { EndpointRun } from '../standin/index.js'
import { composeEvent, composeWhole } from '../standin/index.js'
import type { Disturbances } from './disturbances.js'
import type { HttpResult } from './http-call.js'

/** A call of one caller through one gateway. */
export interface WatchedCall {
  readonly id: string
  readonly gateway: string
  /** Counts the starts of the gateway's process. */
  readonly gatewayRestarts: number
  /** `once` and `stream` run at most once, `again` may be repeated, `resume` continued. */
  readonly kind: 'once' | 'again' | 'stream' | 'resume'
  readonly path: string
  readonly body: string
  readonly version: number
  readonly sentAt: number
  readonly endedAt: number
  readonly result: HttpResult
}

/** Statuses that promise that the request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])
/** The longest that a request is held by its route, ms. */
export const holdMs = 1500
/** A final answer comes within this of the end of a request's time, ms. */
const answerMarginMs = 700
/** A document is in force so long after it was acknowledged, ms. */
const inForceMs = 4000
/** What counts as calm for promises bound by time: nothing disturbed for so long before, ms. */
const undisturbedMs = 4000
/** An endpoint that said it is leaving gets nothing new so long after, ms. */
const drainMs = 2000

export class GuaranteeChecker {
  readonly violations: string[] = []
  readonly calls: WatchedCall[] = []
  #disturbances: Disturbances
  /** Of each life of a gateway, the newest version that it was seen to use, and when its answer was there. */
  #newestVersions = new Map<string, { readonly version: number, readonly at: number }>()

  constructor (disturbances: Disturbances) {
    this.#disturbances = disturbances
  }

  /** Notes that a promise was broken. */
  reportViolation (rule: string, detail: string): void { this.violations.push(`${rule}: ${detail}`) }

  /** Checks a call as far as its own end tells. */
  check (call: WatchedCall): void {
    this.calls.push(call)
    this.#checkAnswer(call)
    this.#checkDuration(call)
  }

  /**
   * Checks a try of a path that only one version knows. `ackedAt`: when that
   * version was acknowledged; `nextAckedAt`: when a later one was, null for none.
   */
  checkVersionCall (call: WatchedCall, ackedAt: number, nextAckedAt: number | null): void {
    const gatewayRun = `${call.gateway} ${call.gatewayRestarts}`
    const seen = this.#newestVersions.get(gatewayRun)
    const { status } = call.result
    if (status === 200) {
      // A call that was sent before the newer version's answer was there may have been let in before it was in force.
      if (seen !== undefined && call.version < seen.version && call.sentAt > seen.at) this.reportViolation('a document reverted', `${gatewayRun} used ${call.version} after ${seen.version}`)
      if (seen === undefined || call.version > seen.version) this.#newestVersions.set(gatewayRun, { version: call.version, at: call.endedAt })
    }
    if (!this.#isUndisturbed(call, call.sentAt)) return
    const sinceMs = call.sentAt - ackedAt
    const isNewest = nextAckedAt === null || call.endedAt < nextAckedAt
    if (status === 404 && sinceMs > inForceMs && isNewest) this.reportViolation('a document is not in force', `${call.version} at ${gatewayRun}, ${Math.round(sinceMs)} ms after its acknowledgement`)
    if (status === 200 && nextAckedAt !== null && call.sentAt - nextAckedAt > inForceMs) this.reportViolation('an older document is still in force', `${call.version} at ${gatewayRun}`)
  }

  /** Checks a run that an endpoint began `sinceMs` after a registry took its word that it is leaving. */
  checkRunWhileLeaving (run: EndpointRun, sinceMs: number, at: number): void {
    const isUndisturbed = !this.#disturbances.wasDisturbed(['registry', 'gateway', 'link', 'proxy'], at - undisturbedMs, at)
    if (sinceMs > drainMs && isUndisturbed) this.reportViolation('a leaving endpoint got new work', `${run.requestId} after ${Math.round(sinceMs)} ms`)
  }

  /** Checks all calls against what ran, once nothing runs any more. */
  checkRuns (runs: readonly EndpointRun[]): void {
    const counts = new Map<string, number>()
    for (const run of runs) counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1)
    for (const call of this.calls) {
      const ran = counts.get(call.id) ?? 0
      const mayRepeat = call.kind === 'again' || call.kind === 'resume'
      if (!mayRepeat && ran > 1) this.reportViolation('a call that may not be repeated ran again', `${call.id} ran ${ran} times`)
      if (notRunStatuses.has(call.result.status) && ran > 0) this.reportViolation('what was told not to have run, ran', `${call.id} got ${call.result.status} and ran ${ran} times`)
      if (ran > 0 && call.result.status === 0 && this.#isPlannedStopAlone(call)) this.reportViolation('a planned stop cut a request', `${call.id}: ${call.result.error}`)
    }
  }

  #checkAnswer (call: WatchedCall): void {
    const { status, isComplete: isWhole, body } = call.result
    if (status !== 200) return
    const expected = composeExpected(call)
    if (isWhole ? body !== expected : !expected.startsWith(body)) this.reportViolation('an answer is not its request\'s own', `${call.id} got ${JSON.stringify(body.slice(0, 200))}`)
  }

  #checkDuration (call: WatchedCall): void {
    const tookMs = call.endedAt - call.sentAt
    if (tookMs > holdMs + answerMarginMs && this.#isUndisturbed(call, call.endedAt)) this.reportViolation('no final answer in time', `${call.id} took ${Math.round(tookMs)} ms`)
  }

  // Nothing that the call depends on was disturbed from a while before it.
  #isUndisturbed (call: WatchedCall, until: number): boolean {
    return !this.#disturbances.wasDisturbed([call.gateway, 'registry', 'link'], call.sentAt - undisturbedMs, until)
  }

  // Nothing but the stop of its gateway can have ended the call.
  #isPlannedStopAlone (call: WatchedCall): boolean {
    const from = call.sentAt - undisturbedMs
    const isStopped = this.#disturbances.wasDisturbed([`stop ${call.gateway}`], from, call.endedAt)
    return isStopped && !this.#disturbances.wasDisturbed([call.gateway, 'proxy', 'endpoint'], from, call.endedAt)
  }
}

// What a whole answer to the call says.
function composeExpected ({ id, kind, path, body }: WatchedCall): string {
  if (kind === 'once' || kind === 'again') return composeWhole({ requestId: id, method: 'POST', path, body })
  const count = Number(/events-(\d+)/.exec(path)?.[1] ?? 0)
  return Array.from({ length: count }, (_, i) => composeEvent(path, i + 1)).join('')
}
