/**
 * The duty of reporting usage. A window is settled in the log once all boxes have
 * reported it, or the wait has reached its limit, and is then sent from the log until
 * the platform accepts it, always with the same counts.
 */
import { UsageAggregator } from '../coordination/index.js'
import type { SettledWindow, UsageCommand, UsageCounts, UsageLedger, UsageResult, UsageUpdate, UsageWindow } from '../coordination/index.js'
import type { DutyCall } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { DutyCallResult } from './duty-client.js'

/** What the reporter needs of its box. */
export interface UsageReporterHost {
  readonly log: EventLog
  readonly metrics: Metrics
  /** Length of a window, ms. */
  readonly windowMs: number
  /** How long after its end a window may be reported, ms. */
  readonly reportDeadlineMs: number
  readonly ledger: UsageLedger
  now (): number
  /** Wall-clock time, ms since 1970. */
  readTimeOfDay (): number
  /** Proposes a command to the log; null where its outcome is unknown. */
  propose (command: UsageCommand): Promise<UsageResult | null>
  call (call: DutyCall): Promise<DutyCallResult>
}

/** Earliest time after its end at which a window is settled, ms: two reports of a gateway, which state up to when they are complete. */
const settleDelayMs = 500
/** Fraction of the reporting deadline spent waiting for boxes that are behind: a partitioned zone may reconnect, and the rest is left for a new holder. */
const waitFraction = 0.7
/** A box that was silent for longer than this before a window began has no usage in it, ms: network partitions under user workloads are shorter. */
const inactiveMs = 10_000
/** Back-off between failed calls, ms. */
const minBackoffMs = 200
const maxBackoffMs = 2000
/** A window not accepted this long past its deadline is given up, as a multiple of the deadline. */
const giveUpFactor = 6
/** Maximum number of past windows that are settled late: the platform no longer accepts older ones. */
const maxBackfilledWindows = 12

export class UsageReporter {
  #host: UsageReporterHost
  #aggregator = new UsageAggregator()
  /** The window in which this box first held the duty. */
  #firstWindow: UsageWindow | null = null
  #isSettling = false
  #isReporting = false
  #failures = 0
  #backoffUntil = -Infinity

  constructor (host: UsageReporterHost) {
    this.#host = host
  }

  merge (reports: readonly UsageUpdate[]): void {
    for (const report of reports) this.#aggregator.note(report, this.#host.now())
  }

  /** The reports for the leader: those that changed since the last call, or all. */
  takeUnsent (all: boolean): UsageUpdate[] { return this.#aggregator.takeUpdates(all) }

  /** Drops windows that are settled or can no longer be reported. */
  prune (): void {
    const settled = this.#host.ledger.newest ?? -1
    this.#aggregator.prune(Math.max(settled + 1, this.#currentWindow - maxBackfilledWindows), this.#host.now())
  }

  /** Settles and reports the windows that are due. Only the lease holder calls this, a few times a second. */
  step (): void {
    if (!this.#isSettling) void this.#settleNext().finally(() => { this.#isSettling = false })
    if (!this.#isReporting && this.#host.now() >= this.#backoffUntil) void this.#reportNext().finally(() => { this.#isReporting = false })
  }

  get #currentWindow (): UsageWindow { return Math.floor(this.#host.readTimeOfDay() / this.#host.windowMs) }

  // Before any window is settled, an earlier holder may have left windows with requests.
  #findNextWindow (): UsageWindow {
    const { newest } = this.#host.ledger
    const first = this.#currentWindow - maxBackfilledWindows
    this.#firstWindow ??= this.#currentWindow
    if (newest !== null) return Math.max(newest + 1, first)
    return Math.max(first, Math.min(this.#firstWindow, this.#aggregator.findOldest(first) ?? Infinity))
  }

  async #settleNext (): Promise<void> {
    const { windowMs, reportDeadlineMs } = this.#host
    const window = this.#findNextWindow()
    const end = (window + 1) * windowMs
    const sinceMs = this.#host.readTimeOfDay() - end
    if (sinceMs < settleDelayMs) return
    const behind = this.#aggregator.countBehind(end, this.#host.now() - sinceMs - windowMs - inactiveMs)
    if (behind > 0 && sinceMs < reportDeadlineMs * waitFraction) return
    this.#isSettling = true
    const counts = this.#aggregator.sum(window)
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

/** A short description of a call's result, for log fields and metric tags. */
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
