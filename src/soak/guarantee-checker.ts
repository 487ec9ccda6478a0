/**
 * Checks what callers and endpoints observe against the guarantees of the product.
 * It uses no internal state of the product: only calls, their results, and runs.
 */
import type { EndpointRun } from '../standin/index.js'
import { composeEvent, composeBody } from '../standin/index.js'
import type { Disturbances } from './disturbances.js'
import type { HttpResult } from './http-call.js'

/** One call through one gateway, with its result. */
export interface CheckedCall {
  readonly id: string
  readonly gateway: string
  /** Number of restarts of the gateway's process when the call was sent. */
  readonly gatewayRestarts: number
  /** `once` and `stream` run at most once; `again` may be retried, `resume` may be continued at another endpoint. */
  readonly kind: 'once' | 'again' | 'stream' | 'resume'
  readonly path: string
  readonly body: string
  readonly version: number
  readonly sentAt: number
  readonly endedAt: number
  readonly result: HttpResult
  /** Whether the caller stops reading, so that its answer may be ended at any time. */
  readonly isStalling?: boolean
}

/** Statuses that guarantee that the request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])
/** The software version at the end of an event. */
const versionPattern = / (v\d+)(?=\n)/g
/** Timeout of the routes, ms. */
export const routeTimeoutMs = 1500
/** Time after a request's timeout within which its final answer must arrive, ms. */
const answerMarginMs = 700
/** Time after its acknowledgement from which a document must be in force, ms. */
const inForceMs = 4000
/** Guarantees with a time bound are checked only if nothing was disturbed for this time before, ms. */
const undisturbedMs = 4000
/** Time after SIGTERM within which a gateway may not know of it yet, ms. */
const signalMs = 250
/** A connection that is closed this soon after a request was sent on it may have been closed before the request arrived, ms. */
const closeMs = 250
/** Time after its registration as draining from which an endpoint must get no new requests, ms. */
const drainMs = 2000

export class GuaranteeChecker {
  readonly violations: string[] = []
  readonly calls: CheckedCall[] = []
  #disturbances: Disturbances
  /** For each run of a gateway's process, the newest document version seen in use, and when the answer that showed it arrived. */
  #newestVersions = new Map<string, { readonly version: number, readonly at: number }>()

  constructor (disturbances: Disturbances) {
    this.#disturbances = disturbances
  }

  reportViolation (rule: string, detail: string): void { this.violations.push(`${rule}: ${detail}`) }

  /** Records a call and checks its result by itself. `timeoutMs`: of its route. */
  check (call: CheckedCall, timeoutMs = routeTimeoutMs): void {
    // Large bodies are not kept.
    this.calls.push(call.result.status === 200 ? { ...call, result: { ...call.result, body: '' } } : call)
    this.#checkAnswer(call)
    this.#checkDuration(call, timeoutMs)
  }

  /**
   * Checks a call of a path that exists in one document version only. `acknowledgedAt`: when that
   * version was acknowledged; `nextAcknowledgedAt`: when the first later one was, null for none.
   */
  checkVersionCall (call: CheckedCall, acknowledgedAt: number, nextAcknowledgedAt: number | null): void {
    const gatewayRun = `${call.gateway} ${call.gatewayRestarts}`
    const seen = this.#newestVersions.get(gatewayRun)
    const { status } = call.result
    if (status === 200) {
      // A call sent before the newer version's answer arrived may have been accepted before that version was in force.
      if (seen !== undefined && call.version < seen.version && call.sentAt > seen.at) this.reportViolation('a gateway reverted to an older document', `${gatewayRun} used version ${call.version} after ${seen.version}`)
      if (seen === undefined || call.version > seen.version) this.#newestVersions.set(gatewayRun, { version: call.version, at: call.endedAt })
    }
    if (!this.#isUndisturbed(call, call.sentAt)) return
    const sinceMs = call.sentAt - acknowledgedAt
    const isNewest = nextAcknowledgedAt === null || call.endedAt < nextAcknowledgedAt
    if (status === 404 && sinceMs > inForceMs && isNewest) this.reportViolation('a document is not in force', `version ${call.version} at ${gatewayRun}, ${Math.round(sinceMs)} ms after its acknowledgement`)
    if (status === 200 && nextAcknowledgedAt !== null && call.sentAt - nextAcknowledgedAt > inForceMs) this.reportViolation('an older document is still in force', `version ${call.version} at ${gatewayRun}`)
  }

  /** Checks a call that was sent while its gateway was stopping: it must get its whole answer or be refused. Returns whether it was. `timeoutMs`: of its route. */
  checkLateCall (call: CheckedCall, timeoutMs: number): boolean {
    const { id, gateway, sentAt, endedAt, result: { status, isComplete, error, body } } = call
    const noticedAt = sentAt - signalMs
    const isLate = error !== 'ECONNREFUSED' && this.#disturbances.wasDisturbed([`stop ${gateway}`], noticedAt, noticedAt)
    const tookMs = endedAt - sentAt
    if (isLate && !isComplete && tookMs < timeoutMs && (body !== '' || tookMs > closeMs) && this.#isGatewayStopOnlyCause(call)) this.reportViolation('a stopping gateway gave up a request that came after the signal', `${id}: ${status} ${error}, ${body.split('\n\n').length - 1} events in ${Math.round(tookMs)} ms`)
    return isLate
  }

  /** Checks a run at an endpoint whose registration as draining a registry had accepted at `registeredAt`; `at`: when the request arrived there. */
  checkRunWhileDraining (run: EndpointRun, registeredAt: number, at: number): void {
    const sinceMs = at - registeredAt
    const isUndisturbed = !this.#disturbances.wasDisturbed(['registry', 'gateway', 'link', 'proxy'], at - undisturbedMs, at)
    if (sinceMs > drainMs && isUndisturbed) this.reportViolation('a draining endpoint got a new request', `${run.requestId}, ${Math.round(sinceMs)} ms after its registration`)
  }

  /** Checks all calls against the endpoints' runs; must be called once no request is running. */
  checkRuns (runs: readonly EndpointRun[]): void {
    const counts = new Map<string, number>()
    for (const run of runs) counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1)
    for (const call of this.calls) {
      const ran = counts.get(call.id) ?? 0
      const mayRepeat = call.kind === 'again' || call.kind === 'resume'
      if (!mayRepeat && ran > 1) this.reportViolation('a request that may run at most once ran again', `${call.id} ran ${ran} times`)
      if (notRunStatuses.has(call.result.status) && ran > 0) this.reportViolation('a request ran although its status says that it did not', `${call.id} got ${call.result.status} and ran ${ran} times`)
      if (ran > 0 && call.result.status === 0 && call.isStalling !== true && this.#isGatewayStopOnlyCause(call)) this.reportViolation('a graceful stop cut a request off', `${call.id}: ${call.result.error}`)
    }
  }

  #checkAnswer (call: CheckedCall): void {
    const { status, isComplete, body } = call.result
    if (status !== 200) return
    const versions = new Set([...body.matchAll(versionPattern)].map(([, version]) => version))
    if (versions.size > 1) this.reportViolation('a stream holds events of several software versions', `${call.id}: ${[...versions].join(', ')}`)
    const received = body.replace(versionPattern, '')
    const expected = composeExpected(call)
    if (isComplete ? received !== expected : !expected.startsWith(received)) this.reportViolation('an answer does not belong to its request', `${call.id} got ${JSON.stringify(body.slice(0, 200))}`)
  }

  #checkDuration (call: CheckedCall, timeoutMs: number): void {
    const tookMs = call.endedAt - call.sentAt
    if (tookMs > timeoutMs + answerMarginMs && this.#isUndisturbed(call, call.endedAt)) this.reportViolation('no final answer within the timeout', `${call.id} took ${Math.round(tookMs)} ms`)
  }

  // Whether nothing that the call depends on was disturbed from `undisturbedMs` before it until `until`.
  #isUndisturbed (call: CheckedCall, until: number): boolean {
    return !this.#disturbances.wasDisturbed([call.gateway, 'registry', 'link'], call.sentAt - undisturbedMs, until)
  }

  // Whether only the graceful stop of its gateway can have ended the call.
  #isGatewayStopOnlyCause (call: CheckedCall): boolean {
    const from = call.sentAt - undisturbedMs
    const isStopped = this.#disturbances.wasDisturbed([`stop ${call.gateway}`], from, call.endedAt)
    return isStopped && !this.#disturbances.wasDisturbed([call.gateway, 'proxy', 'endpoint'], from, call.endedAt)
  }
}

// Composes the body of a complete answer to the call.
function composeExpected ({ id, kind, path, body }: CheckedCall): string {
  if (kind === 'once' || kind === 'again') return composeBody({ requestId: id, method: 'POST', path, body })
  const count = Number(/events-(\d+)/.exec(path)?.[1] ?? 0)
  return Array.from({ length: count }, (_, i) => composeEvent(path, i + 1)).join('')
}
