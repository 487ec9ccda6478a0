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
  readonly firstAt: number | null
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
const leastDenied = 10
const deniedShare = 1 / 12
/** They count where less urgent requests of more than so many times their size began in the same time. */
const sizeTimes = 2
/**
 * Less urgent requests count from so long before the first that was denied, ms, to the end of the last. Those that began well
 * before took nothing from it, nor did those that began once the others' callers had left: in a history whose tags alone
 * came to 110 tokens/ms, of some 75 that the engines set apart read, quotes began two seconds after the last tag was denied.
 */
const leadMs = 1000
/** A gateway that was disturbed so shortly before a call answers for itself, ms. */
const calmMs = 4000

export class PrecedenceWatch {
  #calls: RankedCall[] = []
  #disturbances: Disturbances

  constructor (disturbances: Disturbances) {
    this.#disturbances = disturbances
  }

  note (call: RankedCall): void { this.#calls.push(call) }

  /** What each kind came to, over all calls. */
  get summaries (): RankedSummary[] {
    return [...new Set(this.#calls.map(call => call.kind))].map(kind => {
      const calls = this.#calls.filter(call => call.kind === kind)
      const inTime = calls.filter(({ firstAt, sentAt }) => firstAt !== null && firstAt - sentAt <= kind.targetMs)
      return { kind: kind.name, asked: calls.length, served: calls.filter(call => call.firstAt !== null).length, inTime: inTime.length }
    }).sort((a, b) => a.kind.localeCompare(b.kind))
  }

  /** Every time in which a kind was put behind less urgent ones. */
  findBroken (): string[] {
    const calm = this.#calls.filter(call => this.#isCalm(call)).sort((a, b) => a.sentAt - b.sentAt)
    const broken: string[] = []
    for (const kind of new Set(calm.map(call => call.kind))) {
      let checkedUntil = -Infinity
      for (const { sentAt } of calm.filter(call => call.kind === kind)) {
        if (sentAt < checkedUntil) continue
        const found = this.#checkWindow(kind, calm, sentAt)
        if (found === null) continue
        broken.push(found)
        checkedUntil = sentAt + windowMs
      }
    }
    return broken
  }

  #checkWindow (kind: RankedKind, calm: readonly RankedCall[], from: number): string | null {
    const asked = calm.filter(call => call.kind === kind && call.sentAt >= from && call.sentAt < from + windowMs)
    const denied = asked.filter(call => call.firstAt === null)
    if (denied.length < leastDenied || denied.length <= asked.length * deniedShare) return null
    const [first, last] = [denied[0].sentAt - leadMs, Math.max(...denied.map(call => call.endedAt))]
    const begun = this.#calls.filter(({ kind: { priority }, firstAt }) => priority > kind.priority && firstAt !== null && firstAt >= first && firstAt < last)
    const [deniedTokens, begunTokens] = [denied, begun].map(sumTokens)
    if (begunTokens <= sizeTimes * deniedTokens) return null
    return `${denied.length} of ${asked.length} ${kind.name} requests (${deniedTokens} tokens) got nothing in the ${windowMs} ms from ${Math.round(from)}, while less urgent ones of ${begunTokens} tokens began: ${denied[0].id}`
  }

  #isCalm (call: RankedCall): boolean {
    return !this.#disturbances.hasTouched([call.gateway, `stop ${call.gateway}`], call.sentAt - calmMs, call.endedAt)
  }
}

function sumTokens (calls: readonly RankedCall[]): number { return calls.reduce((sum, call) => sum + call.tokens, 0) }
