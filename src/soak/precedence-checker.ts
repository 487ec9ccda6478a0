/**
 * Checks that more urgent requests are not refused, or left without an answer,
 * while the same engines serve less urgent ones.
 */
import type { Disturbances } from './disturbances.js'
import type { RankedKind } from './ranked-kind.js'

/** One attempt of a caller. */
export interface RankedCall {
  readonly id: string
  readonly kind: RankedKind
  readonly tokens: number
  readonly gateway: string
  readonly sentAt: number
  readonly endedAt: number
  /** When the first bytes of an answer with status 200 arrived; null if none did. */
  readonly firstByteAt: number | null
  readonly status: number
}

/** Result of the requests of one kind. */
export interface RankedSummary {
  readonly kind: string
  readonly sent: number
  /** Number of requests whose answer began with status 200. */
  readonly served: number
  /** Number of served requests whose answer began within the kind's target. */
  readonly inTime: number
}

/** Length of the windows in which requests are compared, ms. */
const windowMs = 5000
/** A kind counts as denied in a window if at least `minDenied` of its requests, and more than `minDeniedShare` of them, got no successful answer; fewer may be chance. */
const minDenied = 10
const minDeniedShare = 1 / 12
/** A violation requires that less urgent requests with more than this many times the denied tokens started in the same time. */
const minTokenRatio = 2
/**
 * Less urgent requests count from this time before the first denied request was sent, ms, until the last one ended. Those that
 * started long before took no capacity from it, nor did those that started once the denied callers had left: in a run whose tags
 * alone came to 110 tokens/ms, while the engines assigned to them read some 75, quotes started two seconds after the last denied tag.
 */
const leadMs = 1000
/** Calls through a gateway that was disturbed within this time before are not checked, ms. */
const undisturbedMs = 4000

export class PrecedenceChecker {
  #calls: RankedCall[] = []
  #disturbances: Disturbances

  constructor (disturbances: Disturbances) {
    this.#disturbances = disturbances
  }

  record (call: RankedCall): void { this.#calls.push(call) }

  /** Results of all calls by kind. */
  get summaries (): RankedSummary[] {
    return [...new Set(this.#calls.map(call => call.kind))].map(kind => {
      const calls = this.#calls.filter(call => call.kind === kind)
      const inTime = calls.filter(({ firstByteAt, sentAt }) => firstByteAt !== null && firstByteAt - sentAt <= kind.targetMs)
      return { kind: kind.name, sent: calls.length, served: calls.filter(call => call.firstByteAt !== null).length, inTime: inTime.length }
    }).sort((a, b) => a.kind.localeCompare(b.kind))
  }

  /** Describes each window in which a kind was denied while less urgent ones started. */
  findViolations (): string[] {
    const undisturbed = this.#calls.filter(call => this.#isUndisturbed(call)).sort((a, b) => a.sentAt - b.sentAt)
    const violations: string[] = []
    for (const kind of new Set(undisturbed.map(call => call.kind))) {
      let checkedUntil = -Infinity
      for (const { sentAt } of undisturbed.filter(call => call.kind === kind)) {
        if (sentAt < checkedUntil) continue
        const found = this.#checkWindow(kind, undisturbed, sentAt)
        if (found === null) continue
        violations.push(found)
        checkedUntil = sentAt + windowMs
      }
    }
    return violations
  }

  #checkWindow (kind: RankedKind, undisturbed: readonly RankedCall[], from: number): string | null {
    const sent = undisturbed.filter(call => call.kind === kind && call.sentAt >= from && call.sentAt < from + windowMs)
    const denied = sent.filter(call => call.firstByteAt === null)
    if (denied.length < minDenied || denied.length <= sent.length * minDeniedShare) return null
    const [first, last] = [denied[0].sentAt - leadMs, Math.max(...denied.map(call => call.endedAt))]
    const started = this.#calls.filter(({ kind: { priority }, firstByteAt }) => priority > kind.priority && firstByteAt !== null && firstByteAt >= first && firstByteAt < last)
    const [deniedTokens, startedTokens] = [denied, started].map(sumTokens)
    if (startedTokens <= minTokenRatio * deniedTokens) return null
    return `${denied.length} of ${sent.length} ${kind.name} requests (${deniedTokens} tokens) got no successful answer in the ${windowMs} ms from ${Math.round(from)}, while less urgent requests of ${startedTokens} tokens started; first denied: ${denied[0].id}`
  }

  #isUndisturbed (call: RankedCall): boolean {
    return !this.#disturbances.wasDisturbed([call.gateway, `stop ${call.gateway}`], call.sentAt - undisturbedMs, call.endedAt)
  }
}

function sumTokens (calls: readonly RankedCall[]): number { return calls.reduce((sum, call) => sum + call.tokens, 0) }
