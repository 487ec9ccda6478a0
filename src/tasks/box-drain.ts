/** The part of a planned stop in which an entry box has requests: until the load balancer has noticed, and then until they have ended. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import type { PlannedStop } from '../core/index.js'
import type { CallerExchanges } from './caller-exchanges.js'
import type { CallerServer } from './caller-server.js'

/** What a drain needs of its box. */
export interface DrainedBox {
  readonly server: CallerServer
  readonly exchanges: CallerExchanges
  readonly plannedStop: PlannedStop
  readonly inFlight: number
}

/** Interval at which the requests in flight are checked, ms. */
const pollIntervalMs = 20
/** How long a stopping box waits until its last answers are written, ms. */
const flushMs = 50

/**
 * Drains a box whose planned stop has begun. It accepts connections until `closesAt`. Resolves with the number of
 * requests that had not ended when the stop had to; their callers have got an error.
 */
export async function drainBox (box: DrainedBox, closesAt: number): Promise<number> {
  const { server, exchanges, plannedStop } = box
  server.announceClose()
  exchanges.refuseUnsentChats()
  await awaitDrained(box, () => performance.now() >= closesAt)
  server.stopAccepting()
  await awaitDrained(box, () => box.inFlight === 0)
  plannedStop.endBy(performance.now())
  const abortedCount = box.inFlight
  exchanges.stop()
  server.refuseArriving()
  await sleep(flushMs)
  return abortedCount
}

async function awaitDrained ({ server, plannedStop }: DrainedBox, isDone: () => boolean): Promise<void> {
  while (!isDone() && performance.now() < plannedStop.endsAt) {
    server.refuseArriving()
    await sleep(pollIntervalMs)
  }
}
