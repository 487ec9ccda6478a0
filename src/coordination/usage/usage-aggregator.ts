/**
 * Aggregates the request counts that boxes report, until they are settled. Each
 * process start of a box is a separate source, and its counts per window only
 * grow. Updates are merged by maximum, so one that is duplicated, delayed,
 * reordered or relayed by several boxes counts once.
 */
import type { UsageCounts, UsageWindow } from './usage-ledger.js'

/** An update from one source: the full counts of some of its windows. */
export interface UsageUpdate {
  /** Identifies a process start of a box, unique over all boxes and starts. */
  readonly source: string
  /** All requests that began before this time are reported; corrected wall-clock time, ms since 1970. */
  readonly through: number
  readonly windows: readonly (readonly [window: UsageWindow, counts: UsageCounts])[]
}

interface Source {
  through: number
  /** Time of its last update, on this box's monotonic clock, ms. */
  updatedAt: number
  readonly windows: Map<UsageWindow, Map<string, number>>
  /** Windows changed since the last `takeUpdates`. `hasChanges` is also true if only `through` changed. */
  changedWindows: Set<UsageWindow>
  hasChanges: boolean
}

/** Sources without windows are dropped after this time without an update, ms: they have stopped, or have nothing that could still be reported. */
const idleSourceMs = 60_000

export class UsageAggregator {
  #sources = new Map<string, Source>()

  note ({ source: name, through, windows }: UsageUpdate, at: number): void {
    const source = this.#getSource(name, at)
    source.updatedAt = at
    if (through > source.through) source.hasChanges = true
    source.through = Math.max(source.through, through)
    for (const [window, counts] of windows) this.#mergeWindow(source, window, counts)
  }

  #getSource (name: string, at: number): Source {
    const known = this.#sources.get(name)
    if (known !== undefined) return known
    const source: Source = { through: 0, updatedAt: at, windows: new Map(), changedWindows: new Set(), hasChanges: true }
    this.#sources.set(name, source)
    return source
  }

  #mergeWindow (source: Source, window: UsageWindow, counts: UsageCounts): void {
    const known = source.windows.get(window) ?? new Map<string, number>()
    source.windows.set(window, known)
    for (const [workspace, requests] of counts) {
      if (requests <= (known.get(workspace) ?? 0)) continue
      known.set(workspace, requests)
      source.changedWindows.add(window)
      source.hasChanges = true
    }
  }

  /** The requests reported so far for a window, by workspace in order of name. */
  sum (window: UsageWindow): UsageCounts {
    const sum = new Map<string, number>()
    for (const { windows } of this.#sources.values()) {
      for (const [workspace, requests] of windows.get(window) ?? []) sum.set(workspace, (sum.get(workspace) ?? 0) + requests)
    }
    return [...sum].sort(([a], [b]) => a < b ? -1 : 1)
  }

  /** The oldest window from `first` on for which requests were reported; null if there is none. */
  findOldest (first: UsageWindow): UsageWindow | null {
    const windows = [...this.#sources.values()].flatMap(source => [...source.windows.keys()]).filter(window => window >= first)
    return windows.length === 0 ? null : Math.min(...windows)
  }

  /** Number of sources that sent an update since `since` (on the clock of `note`) but have not reported everything before `until` (corrected wall-clock time). */
  countBehind (until: number, since: number): number {
    return [...this.#sources.values()].filter(({ through, updatedAt }) => updatedAt >= since && through < until).length
  }

  /** Updates to relay to another box: the changes since the last call, or everything if `all` is true. */
  takeUpdates (all: boolean): UsageUpdate[] {
    const updates: UsageUpdate[] = []
    for (const [name, source] of this.#sources) {
      if (!all && !source.hasChanges) continue
      const windows = [...source.windows].filter(([window]) => all || source.changedWindows.has(window))
      updates.push({ source: name, through: source.through, windows: windows.map(([window, counts]) => [window, [...counts]]) })
      source.changedWindows = new Set()
      source.hasChanges = false
    }
    return updates
  }

  /** Drops windows before `first`, and idle sources without windows. */
  prune (first: UsageWindow, at: number): void {
    for (const [name, { windows, updatedAt }] of this.#sources) {
      for (const window of windows.keys()) if (window < first) windows.delete(window)
      if (windows.size === 0 && at - updatedAt > idleSourceMs) this.#sources.delete(name)
    }
  }
}
