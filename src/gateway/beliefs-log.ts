/** Logs this box's estimates about the engines, and once that the measures against contention are in force. */
import type { GatewaySettings } from '../config/index.js'
import { ContentionSwitch } from '../core/index.js'
import type { Fleet } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'

export function createContentionSwitch ({ contention, box, features }: GatewaySettings, dialect: Dialect): ContentionSwitch {
  return new ContentionSwitch({ mode: contention.mode, cpuShare: box?.cpuShare ?? null, isMarked: dialect.isContended(features) })
}

export class BeliefsLog {
  #fleet: Fleet
  #log: EventLog
  #isContentionLogged = false

  constructor (fleet: Fleet, log: EventLog) {
    this.#fleet = fleet
    this.#log = log
  }

  write (at: number): void {
    this.#noteContention()
    for (const { service, text } of this.#fleet.describe(at)) this.#log.info('beliefs', { service, text })
  }

  #noteContention (): void {
    const { reason } = this.#fleet.contention
    if (reason === null || this.#isContentionLogged) return
    this.#isContentionLogged = true
    this.#log.info('contention-handled', { why: reason })
  }
}
