/** Reports this box's usage counts to a registry, and all windows kept to a registry that may know none of them. */
import type { WorkspaceName } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import { DayClock } from '../runtime/index.js'
import { UsageMeter } from './usage-meter.js'

/** What the reporter needs from its box. */
export interface UsageReporterHost {
  /** Length of a window, ms. */
  readonly windowMs: number
  now (): number
  /** The link to the registry that receives the reports; undefined if none is reachable. */
  findLink (): Link<RouteMessage> | undefined
}

/** Interval of reports, ms: the counts of this time are lost if the box is killed. */
const reportIntervalMs = 500

export class UsageReporter {
  #meter: UsageMeter
  #host: UsageReporterHost
  #reportedLink: Link<RouteMessage> | undefined
  #timer: NodeJS.Timeout | null = null

  constructor (host: UsageReporterHost) {
    const clock = new DayClock(host.now, Date.now)
    this.#host = host
    this.#meter = new UsageMeter({ windowMs: host.windowMs, now: host.now, toWallClockMs: at => clock.convert(at) })
  }

  start (): void { this.#timer = setInterval(() => this.#report(false), reportIntervalMs) }

  /** Notes that a request of a workspace started at `at` on the box's monotonic clock. */
  note (workspace: WorkspaceName, at: number): void { this.#meter.note(workspace, at) }

  /** Sends the last report: no more requests will start here. */
  flush (): void { this.#report(true) }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
  }

  #report (isLast: boolean): void {
    const link = this.#host.findLink()
    if (link === undefined) {
      this.#reportedLink = undefined
      return
    }
    const report = this.#meter.composeReport(link !== this.#reportedLink, isLast)
    this.#reportedLink = link.send({ type: 'usage', tellings: [report] }) ? link : undefined
  }
}
