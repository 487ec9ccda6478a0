/** A planned stop of a registry: leadership is handed over, and calls are answered before the box shuts down. */
import { performance } from 'node:perf_hooks'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { BoundedWaits } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'
import type { LeaderClient } from './leader-client.js'
import type { OperatorServer } from './operator-server.js'

/** What a stop needs of its box. */
export interface RegistryStopHost {
  readonly log: EventLog
  readonly calls: Pick<OperatorServer, 'openCount' | 'drain' | 'halt'>
  readonly isLeader: boolean
  /** Null before the box has started. */
  readonly leaderClient: Pick<LeaderClient, 'isServing' | 'halt'> | null
  /** Transfers leadership, if this box leads. */
  transfer (): Promise<void>
  /** Forwards the heartbeats that other registries don't know yet. */
  forwardHeartbeats (): void
  kill (): void
}

/** Part of the drain time reserved for the exit, ms. */
const exitMs = 100

export class RegistryStop {
  #host: RegistryStopHost
  #waits = new BoundedWaits()

  constructor (host: RegistryStopHost) {
    this.#host = host
  }

  /** Stops the box within `drainMs`; resolves with the number of calls that have got no answer. */
  async run (drainMs: number): Promise<number> {
    const host = this.#host
    const startedAt = performance.now()
    host.log.info('registry-leaving', { inFlight: host.calls.openCount })
    const transfer = { isOver: false, hasFailed: false }
    void this.#transfer(transfer)
    await host.calls.drain(drainMs, () => transfer.isOver && host.leaderClient?.isServing !== true)
    host.leaderClient?.halt()
    await host.calls.halt()
    // It may have been elected again.
    if (transfer.isOver && !transfer.hasFailed) await this.#waits.limit(host.transfer(), startedAt + drainMs - exitMs, undefined)
    host.forwardHeartbeats()
    const unanswered = host.calls.openCount
    // Links send in the next turn.
    await nextTurn()
    host.kill()
    host.log.info('registry-stopped', { unanswered, ms: Math.round(performance.now() - startedAt) })
    return unanswered
  }

  /** Ends the drain: calls without an answer get one at once. */
  halt (): void {
    this.#waits.end()
    this.#host.leaderClient?.halt()
    void this.#host.calls.halt()
  }

  async #transfer (transfer: { isOver: boolean, hasFailed: boolean }): Promise<void> {
    await this.#host.transfer()
    Object.assign(transfer, { isOver: true, hasFailed: this.#host.isLeader })
  }
}
