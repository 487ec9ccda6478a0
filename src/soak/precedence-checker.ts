/**
 * Checks that more urgent requests are not refused, or left waiting in vain,
 * while less urgent ones are served by the same engines.
 */
import type { Disturbances } from './disturbances.js'
import type { RankedKind } from './ranked-kind.js'

/** One try of a caller. */
export interface RankedCall {
  readonly id: string
  readonly kind: RankedKind
  readonly tokens: number
  readonly gateway: string
  readonly sentAt: number
  readonly endedAt: number
  /** When its answer began; null where nothing came. */
  readonly firstByteAt: number | null
  readonly status: number
}

/** What one kind came to. */
export interface RankedSummary {
  readonly kind: string
  readonly asked: number
  readonly served: number
  readonly inTime: number
}

/** The time over which requests are compared, ms. */
const windowMs = 5000
/** So many requests of a kind that got nothing, and more than this part of them, are no chance. */
const minDenied = 10
const minDeniedShare = 1 / 12
/** They count where less urgent requests of more than so many times their size began in the same time. */
const minTokenRatio = 2
/**
 * Less urgent requests count from so long before the first that was denied, ms, to the end of the last. Those that began well
 * before took nothing from it, nor did those that began once the others' callers had left: in a history whose tags alone
 * came to 110 tokens/ms, of some 75 that the engines set apart read, quotes began two seconds after the last tag was denied.
 */
const leadMs = 1000
/** A gateway that was disturbed so shortly before a call answers for itself, ms. */
const undisturbedMs = 4000

export class PrecedenceChecker {
  #calls: RankedCall[] = []
  #disturbances: Disturbances

  constructor (disturbances: Disturbances) {
    this.#disturbances = disturbances
  }

  record (call: RankedCall): void { this.#calls.push(call) }

  /** What each kind came to, over all calls. */
  get summaries (): RankedSummary[] {
    return [...new Set(this.#calls.map(call => call.kind))].map(kind => {
      const calls = this.#calls.filter(call => call.kind === kind)
      const inTime = calls.filter(({ firstByteAt, sentAt }) => firstByteAt !== null && firstByteAt - sentAt <= kind.targetMs)
      return { kind: kind.name, asked: calls.length, served: calls.filter(call => call.firstByteAt !== null).length, inTime: inTime.length }
    }).sort((a, b) => a.kind.localeCompare(b.kind))
  }

  /** Every time in which a kind was put behind less urgent ones. */
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
    const asked = undisturbed.filter(call => call.kind === kind && call.sentAt >= from && call.sentAt < from + windowMs)
    const denied = asked.filter(call => call.firstByteAt === null)
    if (denied.length < minDenied || denied.length <= asked.length * minDeniedShare) return null
    const [first, last] = [denied[0].sentAt - leadMs, Math.max(...denied.map(call => call.endedAt))]
    const started = this.#calls.filter(({ kind: { priority }, firstByteAt }) => priority > kind.priority && firstByteAt !== null && firstByteAt >= first && firstByteAt < last)
    const [deniedTokens, begunTokens] = [denied, started].map(sumTokens)
    if (begunTokens <= minTokenRatio * deniedTokens) return null
    return `${denied.length} of ${asked.length} ${kind.name} requests (${deniedTokens} tokens) got nothing in the ${windowMs} ms from ${Math.round(from)}, while less urgent ones of ${begunTokens} tokens began: ${denied[0].id}`
  }

  #isUndisturbed (call: RankedCall): boolean {
    return !this.#disturbances.wasDisturbed([call.gateway, `stop ${call.gateway}`], call.sentAt - undisturbedMs, call.endedAt)
  }
}

function sumTokens (calls: readonly RankedCall[]): number { return calls.reduce((sum, call) => sum + call.tokens, 0) }
