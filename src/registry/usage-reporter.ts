/**
 * The duty of telling what ran: windows are settled in the log once all boxes
 * have told of them, or can't be waited for any longer, and reported from the
 * log until the other side has taken them, always with the same counts.
 */
import { UsageBook } from '../coordination/index.js'
import type { SettledWindow, UsageCommand, UsageCounts, UsageLedger, UsageResult, UsageTelling, UsageWindow } from '../coordination/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyCallResult } from './duty-client.js'

/** What the reporter needs of its box. */
export interface UsageReporterHost {
  readonly log: EventLog
  readonly metrics: Metrics
  /** Length of a window, ms. */
  readonly windowMs: number
  /** How long after its end a window may be told, ms. */
  readonly reportDeadlineMs: number
  readonly ledger: UsageLedger
  now (): number
  /** True time, ms since 1970. */
  readTimeOfDay (): number
  /** Has the log take a command; null where it is not known whether it did. */
  propose (command: UsageCommand): Promise<UsageResult | null>
  call (call: DutyCall): Promise<DutyCallResult>
}

/** A window is settled this long after its end at the earliest, ms: two tellings of a gateway that says that it has told all. */
const settleDelayMs = 500
/** Part of the time for telling for which boxes that are behind are waited for: a zone that is cut off comes back, and what is left is for a new holder. */
const waitFraction = 0.7
/** A box that was silent for longer before a window began has nothing to tell of it, ms: cuts of the users' days are shorter. */
const inactiveMs = 10_000
/** Pauses between calls that fail, ms. */
const minBackoffMs = 200
const maxBackoffMs = 2000
/** A window that was not taken so long after it was due is given up, in times of being late. */
const giveUpFactor = 6
/** Windows that nobody settled are made up for, at most so many: older ones are closed at the other side. */
const maxBackfilledWindows = 12

export class UsageReporter {
  #host: UsageReporterHost
  #book = new UsageBook()
  /** The window in which this box first held the duty: the first that is told, where none was before. */
  #firstWindow: UsageWindow | null = null
  #isSettling = false
  #isReporting = false
  #failures = 0
  #backoffUntil = -Infinity

  constructor (host: UsageReporterHost) {
    this.#host = host
  }

  merge (reports: readonly UsageTelling[]): void {
    for (const report of reports) this.#book.note(report, this.#host.now())
  }

  /** What the leader is to be told: what is new, or everything. */
  takeUnsent (all: boolean): UsageTelling[] { return this.#book.takeNews(all) }

  /** Drops what is settled, and what can't be reported any more. */
  prune (): void {
    const settled = this.#host.ledger.newest ?? -1
    this.#book.forget(Math.max(settled + 1, this.#currentWindow - maxBackfilledWindows), this.#host.now())
  }

  /** Settles and reports what is due; to be called a few times a second by the holder alone. */
  step (): void {
    if (!this.#isSettling) void this.#settleNext().finally(() => { this.#isSettling = false })
    if (!this.#isReporting && this.#host.now() >= this.#backoffUntil) void this.#reportNext().finally(() => { this.#isReporting = false })
  }

  get #currentWindow (): UsageWindow { return Math.floor(this.#host.readTimeOfDay() / this.#host.windowMs) }

  async #settleNext (): Promise<void> {
    const { ledger, windowMs, reportDeadlineMs: lateMs } = this.#host
    this.#firstWindow ??= this.#currentWindow
    const window = Math.max(ledger.newest === null ? this.#firstWindow : ledger.newest + 1, this.#currentWindow - maxBackfilledWindows)
    const end = (window + 1) * windowMs
    const sinceMs = this.#host.readTimeOfDay() - end
    if (sinceMs < settleDelayMs) return
    const behind = this.#book.countBehind(end, this.#host.now() - sinceMs - windowMs - inactiveMs)
    if (behind > 0 && sinceMs < lateMs * waitFraction) return
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
    const result = await this.#host.call({ type: 'report-usage', window: next.window, counts: next.counts })
    const lateMs = this.#host.readTimeOfDay() - (next.window + 1) * this.#host.windowMs - this.#host.reportDeadlineMs
    const fields = { window: next.window, requests: countRequests(next.counts), lateMs: Math.round(lateMs), ms: Math.round(this.#host.now() - startedAt) }
    if (result.type === 'answered' && result.status >= 200 && result.status < 300) return await this.#noteAccepted(next, fields)
    this.#noteFailure(result)
    this.#host.log.warn('usage-not-reported', { ...fields, failures: this.#failures, why: describeResult(result) })
    if (lateMs > giveUpFactor * this.#host.reportDeadlineMs) await this.#giveUp(next)
  }

  async #noteAccepted ({ window }: SettledWindow, fields: Record<string, number>): Promise<void> {
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

  #noteFailure (result: DutyCallResult): void {
    this.#failures += 1
    if (result.type === 'not-held') return
    this.#backoffUntil = this.#host.now() + Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(this.#failures - 1, 10))
  }
}

/** Says in a word how a call ended. */
export function describeResult (result: DutyCallResult): string {
  switch (result.type) {
    case 'answered': return `status ${result.status}`
    case 'failed': return result.reason
    case 'not-held': return result.type
  }
}

function countRequests (counts: UsageCounts): number {
  return counts.reduce((sum, [, requests]) => sum + requests, 0)
}
