/**
 * Checks that an endpoint which falls silent and goes on costs callers no more than
 * the wait: streams get their last event, no other request is refused, and streams
 * that may be resumed leave endpoints that stay silent.
 */
import type { EndpointArrival } from '../standin/index.js'
import type { Disturbances } from './disturbances.js'
import { routeTimeoutMs } from './guarantee-checker.js'
import type { CheckedCall, GuaranteeChecker } from './guarantee-checker.js'
import { endpointSlots, streamShape } from './silence-plan.js'

/** What the check reads of an endpoint. */
export interface ArrivalRecord {
  readonly standin: { readonly arrivals: readonly EndpointArrival[] }
}

/** Counts of checked calls: of those that met a silence, how many got their whole answer; of those that met none, how many were refused. */
export interface SilenceSummary {
  /** Streams that had begun, at endpoints that went on. */
  readonly begun: { readonly whole: number, readonly sent: number }
  /** Calls of all kinds that had got nothing yet, at such endpoints. */
  readonly waiting: { readonly whole: number, readonly sent: number }
  /** Streams that may be resumed, at endpoints that stayed silent. */
  readonly lasting: { readonly whole: number, readonly sent: number }
  readonly unmet: { readonly refused: number, readonly sent: number }
}

/** Silence of an endpoint, given by index. */
interface SilenceSpan {
  readonly endpoint: number
  readonly isLasting: boolean
  readonly from: number
  to: number
}

/** An arrival of a call at an endpoint. */
interface CallArrival {
  readonly endpoint: number
  readonly at: number
}

/** Least fraction of the streams that may be resumed to get their last event where their endpoint stays silent and others answer. */
const minLeftShare = 0.9
/** Factor on the nominal duration of a stream, and time beside it, ms, for the work of the boxes. */
const durationFactor = 1.25
const answerMarginMs = 400
/** A call that ended within this time before its timeout counts as ended by it, ms. */
const deadlineMarginMs = 100
/** Time after a disturbance of a box or an endpoint from which requests must be served again, ms. */
const recoveryMs = 4000
/** Time after the start of a gateway from which it must know routes and endpoints though registries are disturbed too, ms. */
const startMs = 8000
/** Greatest share of the slots in use, one for each call, at which any call must find a free one: boxes learn late what others use. */
const maxUsedShare = 0.5
/** Time in which they learn it, ms. */
const shareMs = 500
const maxDetails = 4

export class SilenceChecker {
  #disturbances: Disturbances
  #checker: GuaranteeChecker
  #mayRetry: boolean
  #registries: number
  #spans: SilenceSpan[] = []

  /** `mayRetry`: whether the gateways have a retry budget, without which no stream is resumed; `registries`: their number. */
  constructor (disturbances: Disturbances, checker: GuaranteeChecker, { mayRetry, registries }: { mayRetry: boolean, registries: number }) {
    this.#disturbances = disturbances
    this.#checker = checker
    this.#mayRetry = mayRetry
    this.#registries = registries
  }

  /** Records the start of a silence; the returned function records its end. */
  begin (endpoint: number, isLasting: boolean, at: number): (at: number) => void {
    const span = { endpoint, isLasting, from: at, to: Infinity }
    this.#spans.push(span)
    return endedAt => { span.to = endedAt }
  }

  /** Checks all calls; must be called once no request is running and no endpoint is silent. */
  checkCalls (endpoints: readonly ArrivalRecord[]): SilenceSummary {
    const arrivals = listArrivals(endpoints)
    const calls = this.#checker.calls.filter(({ kind, path }) => path.startsWith(`/${kind}/`))
    const find = (call: CheckedCall): readonly CallArrival[] => arrivals.get(call.id) ?? []
    const passing = calls.filter(call => this.#hasMetPassingSilence(call, find(call)))
    const [begun, waiting] = [true, false].map(value => passing.filter(call => hasBegun(call) === value))
    const lasting = calls.filter(call => this.#hasMetLastingSilence(call, find(call), endpoints.length))
    const unmet = calls.filter(call => this.#mustBeAccepted(call, find(call), endpoints.length))
    const report = (rule: string, checked: readonly CheckedCall[], hasFailed: (call: CheckedCall) => boolean, maxShare = 0): void => {
      const failed = checked.filter(hasFailed)
      if (failed.length > Math.ceil(checked.length * maxShare)) this.#checker.reportViolation(rule, `${failed.length} of ${checked.length}: ${failed.slice(0, maxDetails).map(call => describeCall(call, find(call))).join('; ')}`)
    }
    report('a stream ended early at an endpoint that fell silent and went on', begun, call => !isWhole(call))
    report('a call failed at an endpoint that fell silent and would have answered in time', waiting, call => !isWhole(call))
    report('streams that may be resumed stayed at endpoints that stay silent', lasting, call => !isWhole(call), 1 - minLeftShare)
    report('requests that met no silence were refused while endpoints had free slots', unmet, isRefused)
    const count = (checked: readonly CheckedCall[]): { whole: number, sent: number } => ({ whole: checked.filter(isWhole).length, sent: checked.length })
    return { begun: count(begun), waiting: count(waiting), lasting: count(lasting), unmet: { refused: unmet.filter(isRefused).length, sent: unmet.length } }
  }

  // Whether a call's first endpoint was silent meanwhile but would have answered it whole before its timeout, unless it had no free slot.
  #hasMetPassingSilence (call: CheckedCall, arrivals: readonly CallArrival[]): boolean {
    if (arrivals.length === 0 || isRefused(call) || this.#wasDisturbed(call, arrivals)) return false
    // An endpoint doesn't see a send that its proxy resets.
    if (!hasBegun(call) && this.#disturbances.wasDisturbed(['proxy', 'endpoint'], call.sentAt, call.endedAt)) return false
    const [{ endpoint, at }] = arrivals
    const met = this.#findSpans(endpoint, at, call.endedAt)
    const until = call.sentAt + (isStream(call) ? streamShape.timeoutMs : routeTimeoutMs)
    const waits = this.#findSpans(endpoint, at, until).map(({ from, to }) => Math.min(to, until) - Math.max(from, at))
    const mayEndAt = at + countEvents(call) * streamShape.eventMs * durationFactor + answerMarginMs + waits.reduce((sum, ms) => sum + ms, 0)
    return met.length > 0 && !met.some(({ isLasting }) => isLasting) && mayEndAt <= until && call.endedAt < until - deadlineMarginMs
  }

  // Whether a stream that may be resumed met a lasting silence while others answered until its timeout.
  #hasMetLastingSilence (call: CheckedCall, arrivals: readonly CallArrival[], count: number): boolean {
    if (!this.#mayRetry || call.kind !== 'resume' || arrivals.length === 0 || this.#wasDisturbed(call, arrivals)) return false
    const [{ endpoint, at }] = arrivals
    if (!this.#findSpans(endpoint, at, call.endedAt).some(({ isLasting }) => isLasting)) return false
    const until = call.sentAt + streamShape.timeoutMs
    const answering = this.#listUsable(count, call.sentAt, until).filter(i => this.#findSpans(i, call.sentAt, until).length === 0)
    return this.#countPeak(call.sentAt, until) < answering.length * endpointSlots
  }

  // Whether a call met no silence and no other disturbance, and endpoints had free slots for it: others than silent ones, where any are left.
  #mustBeAccepted (call: CheckedCall, arrivals: readonly CallArrival[], count: number): boolean {
    const { gateway, sentAt, endedAt } = call
    if (arrivals.some(({ endpoint, at }) => this.#findSpans(endpoint, at, endedAt).length > 0)) return false
    if (this.#disturbances.wasDisturbed([gateway, `stop ${gateway}`], sentAt - startMs, endedAt) || this.#wasDisturbed(call, arrivals)) return false
    if (!this.#hasRegistry(sentAt, endedAt)) return false
    const usable = this.#listUsable(count, sentAt, endedAt).filter(i => !this.#findSpans(i, sentAt, endedAt).some(({ isLasting }) => isLasting))
    const answering = usable.filter(i => this.#findSpans(i, sentAt - shareMs, endedAt).length === 0)
    return this.#countPeak(sentAt - shareMs, endedAt) < (answering.length > 0 ? answering : usable).length * endpointSlots * maxUsedShare
  }

  // The greatest number of calls in flight at the same time.
  #countPeak (from: number, to: number): number {
    const { calls } = this.#checker
    const starts = calls.map(({ sentAt }) => sentAt).filter(at => at > from && at <= to)
    return Math.max(...[from, ...starts].map(at => calls.filter(({ sentAt, endedAt }) => sentAt <= at && endedAt >= at).length))
  }

  // Whether a registry was undisturbed: without one, gateways don't know what the others use of an endpoint.
  #hasRegistry (from: number, to: number): boolean {
    return Array.from({ length: this.#registries }, (_, i) => i).some(i => !this.#disturbances.wasDisturbed([`registry-${i}`, `link ${i}`], from - recoveryMs, to))
  }

  // The endpoints that were not disturbed, apart from silences, shortly before and during that time.
  #listUsable (count: number, from: number, to: number): number[] {
    return Array.from({ length: count }, (_, i) => i).filter(i => !this.#disturbances.wasDisturbed(listParts(i), from - recoveryMs, to))
  }

  #findSpans (endpoint: number, from: number, to: number): SilenceSpan[] {
    return this.#spans.filter(span => span.endpoint === endpoint && span.from <= to && span.to >= from)
  }

  // Whether its gateway or an endpoint that it reached was disturbed, apart from silences.
  #wasDisturbed ({ gateway, sentAt, endedAt }: CheckedCall, arrivals: readonly CallArrival[]): boolean {
    return this.#disturbances.wasDisturbed([gateway, `stop ${gateway}`, ...arrivals.flatMap(({ endpoint }) => listParts(endpoint))], sentAt, endedAt)
  }
}

function listParts (endpoint: number): string[] { return ['endpoint', 'proxy', 'drain', 'notice'].map(part => `${part} ${endpoint}`) }

// The arrivals of each call, in order.
function listArrivals (endpoints: readonly ArrivalRecord[]): Map<string, CallArrival[]> {
  const sorted = endpoints.flatMap(({ standin }, endpoint) => standin.arrivals.map(({ requestId, at }) => ({ requestId, endpoint, at }))).sort((a, b) => a.at - b.at)
  const found = new Map<string, CallArrival[]>()
  for (const { requestId, endpoint, at } of sorted) found.set(requestId, [...found.get(requestId) ?? [], { endpoint, at }])
  return found
}

function isStream ({ kind }: CheckedCall): boolean { return kind === 'stream' || kind === 'resume' }

// Whether a caller has got the beginning of a stream.
function hasBegun (call: CheckedCall): boolean { return isStream(call) && call.result.status === 200 }

function isWhole ({ result }: CheckedCall): boolean { return result.status === 200 && result.isComplete }

function isRefused ({ result }: CheckedCall): boolean { return result.status === 503 }

function countEvents ({ path }: CheckedCall): number { return Number(/events-(\d+)/.exec(path)?.[1] ?? 0) }

function describeCall ({ id, kind, gateway, sentAt, endedAt, result }: CheckedCall, arrivals: readonly CallArrival[]): string {
  const places = arrivals.map(({ endpoint, at }) => `${endpoint} after ${Math.round(at - sentAt)} ms`).join(', ')
  return `${id} (${kind}) at ${gateway} got ${result.status}, ended after ${Math.round(endedAt - sentAt)} ms, reached endpoints ${places === '' ? 'none' : places}${result.body === '' ? '' : `: ${result.body.slice(0, 120)}`}`
}
