/**
 * Counts the requests that this box saw start at endpoints, by workspace and by
 * windows of wall-clock time, and composes reports of the changed or of all windows.
 */
import { randomBytes } from 'node:crypto'
import type { UsageUpdate, UsageWindow } from '../coordination/index.js'
import type { WorkspaceName } from '../core/index.js'

/** What the meter needs from its box. */
export interface UsageMeterHost {
  /** Wall-clock time of a moment on the box's monotonic clock, ms since 1970. */
  toWallClockMs (at: number): number
  now (): number
  /** Length of a window, ms. */
  readonly windowMs: number
}

/** Number of windows that are kept for repeated reports: half a minute of windows of 5 s. */
const maxWindows = 7
/** A request is counted within this time after its start, ms: a plain call is known to have started only when it is answered. */
const countingDelayMs = 1000

export class UsageMeter {
  #host: UsageMeterHost
  #windows = new Map<UsageWindow, Map<WorkspaceName, number>>()
  #changed = new Set<UsageWindow>()
  #source = randomBytes(9).toString('base64url')

  constructor (host: UsageMeterHost) {
    this.#host = host
  }

  /** Notes that a request of a workspace started at `at` on the box's monotonic clock. */
  note (workspace: WorkspaceName, at: number): void {
    const window = Math.floor(this.#host.toWallClockMs(at) / this.#host.windowMs)
    const counts = this.#windows.get(window) ?? new Map<WorkspaceName, number>()
    this.#windows.set(window, counts)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    this.#changed.add(window)
  }

  /** Composes a report of the windows changed since the last one, or of all if `isFull`. `isLast`: no more requests will start here. */
  composeReport (isFull: boolean, isLast = false): UsageUpdate {
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
