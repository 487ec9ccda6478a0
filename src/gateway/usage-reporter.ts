/** Tells a registry what this box's meter counted. A registry that is new to it is told all that is kept. */
import type { WorkspaceName } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import { DayClock } from '../runtime/index.js'
import { UsageMeter } from './usage-meter.js'

/** What the teller needs of its box. */
export interface UsageReporterHost {
  /** Length of a window, ms. */
  readonly windowMs: number
  now (): number
  /** The link to the registry that is told; undefined where none is reached. */
  findLink (): Link<RouteMessage> | undefined
}

/** How often what is new is told, ms: what a box that is killed takes with it. */
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

  /** Notes that a request of a workspace began at `at` on the box's rising clock. */
  note (workspace: WorkspaceName, at: number): void { this.#meter.note(workspace, at) }

  /** Tells what is left, as nothing more will begin here. */
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
