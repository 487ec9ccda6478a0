/** Tells a registry what this box's meter counted. A registry that is new to it is told all that is kept. */
import type { WorkspaceName } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import { DayClock } from '../runtime/index.js'
import { UsageMeter } from './usage-meter.js'

/** What the teller needs of its box. */
export interface UsageTellerHost {
  /** Length of a window, ms. */
  readonly windowMs: number
  now (): number
  /** The link to the registry that is told; undefined where none is reached. */
  findLink (): Link<RouteMessage> | undefined
}

/** How often what is new is told, ms: what a box that is killed takes with it. */
const tellMs = 500

export class UsageTeller {
  #meter: UsageMeter
  #host: UsageTellerHost
  #told: Link<RouteMessage> | undefined
  #timer: NodeJS.Timeout | null = null

  constructor (host: UsageTellerHost) {
    const clock = new DayClock(host.now, Date.now)
    this.#host = host
    this.#meter = new UsageMeter({ windowMs: host.windowMs, now: host.now, readDay: at => clock.convert(at) })
  }

  start (): void { this.#timer = setInterval(() => this.#tell(false), tellMs) }

  /** Notes that a request of a workspace began at `at` on the box's rising clock. */
  note (workspace: WorkspaceName, at: number): void { this.#meter.note(workspace, at) }

  /** Tells what is left, as nothing more will begin here. */
  end (): void { this.#tell(true) }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
  }

  #tell (isLast: boolean): void {
    const link = this.#host.findLink()
    if (link === undefined) {
      this.#told = undefined
      return
    }
    const telling = this.#meter.compose(link !== this.#told, isLast)
    this.#told = link.send({ type: 'usage', tellings: [telling] }) ? link : undefined
  }
}
