/**
 * The duty of telling what ran: windows are settled in the log once all boxes
 * have told of them, or can't be waited for any longer, and reported from the
 * log until the other side has taken them, always with the same counts.
 */
import { UsageBook } from '../coordination/index.js'
import type { SettledWindow, UsageCommand, UsageCounts, UsageLedger, UsageResult, UsageTelling, UsageWindow } from '../coordination/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyEnd } from './duty-caller.js'

/** What the reporter needs of its box. */
export interface UsageReporterHost {
  readonly log: EventLog
  readonly metrics: Metrics
  /** Length of a window, ms. */
  readonly windowMs: number
  /** How long after its end a window may be told, ms. */
  readonly lateMs: number
  readonly ledger: UsageLedger
  now (): number
  /** True time, ms since 1970. */
  readDay (): number
  /** Has the log take a command; null where it is not known whether it did. */
  propose (command: UsageCommand): Promise<UsageResult | null>
  call (call: DutyCall): Promise<DutyEnd>
}

/** A window is settled this long after its end at the earliest, ms: two tellings of a gateway that says that it has told all. */
const settleAfterMs = 500
/** Part of the time for telling for which boxes that are behind are waited for: a zone that is cut off comes back, and what is left is for a new holder. */
const waitShare = 0.7
/** A box that was silent for longer before a window began has nothing to tell of it, ms: cuts of the users' days are shorter. */
const silentMs = 10_000
/** Pauses between calls that fail, ms. */
const firstPauseMs = 200
const longestPauseMs = 2000
/** A window that was not taken so long after it was due is given up, in times of being late. */
const giveUpTimes = 6
/** Windows that nobody settled are made up for, at most so many: older ones are closed at the other side. */
const mostMadeUp = 12

export class UsageReporter {
  #host: UsageReporterHost
  #book = new UsageBook()
  /** The window in which this box first held the duty: the first that is told, where none was before. */
  #first: UsageWindow | null = null
  #isSettling = false
  #isReporting = false
  #failures = 0
  #pausedUntil = -Infinity

  constructor (host: UsageReporterHost) {
    this.#host = host
  }

  take (tellings: readonly UsageTelling[]): void {
    for (const telling of tellings) this.#book.note(telling, this.#host.now())
  }

  /** What the leader is to be told: what is new, or everything. */
  takeNews (all: boolean): UsageTelling[] { return this.#book.takeNews(all) }

  /** Drops what is settled, and what can't be reported any more. */
  tidy (): void {
    const settled = this.#host.ledger.newest ?? -1
    this.#book.forget(Math.max(settled + 1, this.#current - mostMadeUp), this.#host.now())
  }

  /** Settles and reports what is due; to be called a few times a second by the holder alone. */
  step (): void {
    if (!this.#isSettling) void this.#settleNext().finally(() => { this.#isSettling = false })
    if (!this.#isReporting && this.#host.now() >= this.#pausedUntil) void this.#reportNext().finally(() => { this.#isReporting = false })
  }

  get #current (): UsageWindow { return Math.floor(this.#host.readDay() / this.#host.windowMs) }

  async #settleNext (): Promise<void> {
    const { ledger, windowMs, lateMs } = this.#host
    this.#first ??= this.#current
    const window = Math.max(ledger.newest === null ? this.#first : ledger.newest + 1, this.#current - mostMadeUp)
    const end = (window + 1) * windowMs
    const sinceMs = this.#host.readDay() - end
    if (sinceMs < settleAfterMs) return
    const behind = this.#book.countBehind(end, this.#host.now() - sinceMs - windowMs - silentMs)
    if (behind > 0 && sinceMs < lateMs * waitShare) return
    this.#isSettling = true
    const counts = this.#book.sum(window)
    const result = await this.#host.propose({ type: 'settle', window, counts })
    if (result?.type !== 'settled') return this.#host.log.warn('usage-not-settled', { window, end: result?.type ?? 'unknown' })
    this.#host.log.info('usage-settled', { window, requests: countRequests(result.settled.counts), workspaces: counts.length, behind, sinceMs: Math.round(sinceMs) })
  }

  async #reportNext (): Promise<void> {
    const next = this.#host.ledger.windows.find(({ isReported }) => !isReported)
    if (next === undefined) return
    this.#isReporting = true
    const startedAt = this.#host.now()
    const end = await this.#host.call({ type: 'report-usage', window: next.window, counts: next.counts })
    const lateMs = this.#host.readDay() - (next.window + 1) * this.#host.windowMs - this.#host.lateMs
    const fields = { window: next.window, requests: countRequests(next.counts), lateMs: Math.round(lateMs), ms: Math.round(this.#host.now() - startedAt) }
    if (end.type === 'answered' && end.status >= 200 && end.status < 300) return await this.#noteTaken(next, fields)
    this.#noteFailure(end)
    this.#host.log.warn('usage-not-reported', { ...fields, failures: this.#failures, why: describeEnd(end) })
    if (lateMs > giveUpTimes * this.#host.lateMs) await this.#giveUp(next)
  }

  async #noteTaken ({ window }: SettledWindow, fields: Record<string, number>): Promise<void> {
    this.#failures = 0
    this.#host.log.info('usage-reported', fields)
    this.#host.metrics.count('usage-windows', { end: fields.lateMs > 0 ? 'late' : 'in-time' })
    await this.#host.propose({ type: 'note-reported', window })
  }

  async #giveUp ({ window }: SettledWindow): Promise<void> {
    this.#host.log.error('usage-given-up', { window })
    this.#host.metrics.count('usage-windows', { end: 'given-up' })
    await this.#host.propose({ type: 'note-reported', window })
  }

  #noteFailure (end: DutyEnd): void {
    this.#failures += 1
    if (end.type === 'not-held') return
    this.#pausedUntil = this.#host.now() + Math.min(longestPauseMs, firstPauseMs * 2 ** Math.min(this.#failures - 1, 10))
  }
}

/** Says in a word how a call ended. */
export function describeEnd (end: DutyEnd): string {
  switch (end.type) {
    case 'answered': return `status ${end.status}`
    case 'failed': return end.reason
    case 'not-held': return end.type
  }
}

function countRequests (counts: UsageCounts): number {
  return counts.reduce((sum, [, requests]) => sum + requests, 0)
}
