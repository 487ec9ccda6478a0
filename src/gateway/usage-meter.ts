/**
 * The requests that began at endpoints, as this box saw it: by workspace, in
 * windows of true time. A registry of the own zone is told what is new a few
 * times a second, and everything where it may know nothing.
 */
import { randomBytes } from 'node:crypto'
import type { UsageTelling, UsageWindow } from '../coordination/index.js'
import type { WorkspaceName } from '../core/index.js'

/** What the meter needs of its box. */
export interface UsageMeterHost {
  /** True time at a moment of the box's rising clock, ms since 1970. */
  toWallClockMs (at: number): number
  now (): number
  /** Length of a window, ms. */
  readonly windowMs: number
}

/** Windows that are kept to be told again: half a minute of windows of 5 s. */
const maxWindows = 7
/** A request is counted at latest so long after it began, ms: plain calls are known to have begun once they are answered. */
const countingDelayMs = 1000

export class UsageMeter {
  #host: UsageMeterHost
  #windows = new Map<UsageWindow, Map<WorkspaceName, number>>()
  #changed = new Set<UsageWindow>()
  #source = randomBytes(9).toString('base64url')

  constructor (host: UsageMeterHost) {
    this.#host = host
  }

  /** Notes that a request of a workspace began at `at` on the box's rising clock. */
  note (workspace: WorkspaceName, at: number): void {
    const window = Math.floor(this.#host.toWallClockMs(at) / this.#host.windowMs)
    const counts = this.#windows.get(window) ?? new Map<WorkspaceName, number>()
    this.#windows.set(window, counts)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    this.#changed.add(window)
  }

  /** What is to be told: what is new, or `all` that is kept. `isLast`: nothing more will begin here. */
  composeReport (isFull: boolean, isLast = false): UsageTelling {
    const wallClockMs = this.#host.toWallClockMs(this.#host.now())
    this.#dropOld(Math.floor(wallClockMs / this.#host.windowMs))
    const windows = [...this.#windows].filter(([window]) => isFull || this.#changed.has(window))
    this.#changed.clear()
    return {
      source: this.#source,
      through: isLast ? Number.MAX_SAFE_INTEGER : Math.floor(wallClockMs - countingDelayMs),
      windows: windows.map(([window, counts]) => [window, [...counts]])
    }
  }

  #dropOld (current: UsageWindow): void {
    for (const window of this.#windows.keys()) if (window <= current - maxWindows) this.#windows.delete(window)
  }
}
