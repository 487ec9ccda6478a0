/**
 * What boxes told of the requests that began there, before it is settled. Each
 * start of a box is a source of its own, and its counts of a window only rise:
 * a telling may come twice, late, out of order or by way of several boxes, and
 * counts once.
 */
import type { UsageCounts, UsageWindow } from './usage-ledger.js'

/** What one start of a box tells: some of its windows, each whole. */
export interface UsageTelling {
  /** The box's start, unique over all boxes and starts. */
  readonly source: string
  /** All that began before this true time is told, ms since 1970. */
  readonly through: number
  readonly windows: readonly (readonly [window: UsageWindow, counts: UsageCounts])[]
}

/** What is known of a source. */
interface Source {
  through: number
  /** When the news of it came, on the rising clock of this box, ms. */
  updatedAt: number
  readonly windows: Map<UsageWindow, Map<string, number>>
  /** Windows that have changed since news was last taken; `isNews` also where `through` alone has. */
  changedWindows: Set<UsageWindow>
  hasChanges: boolean
}

/** A source without windows that was silent for so long is forgotten, ms: it ended, or has nothing to tell that could still be reported. */
const idleSourceMs = 60_000

export class UsageBook {
  #sources = new Map<string, Source>()

  note ({ source: name, through, windows }: UsageTelling, at: number): void {
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

  /** All that began in a window, as far as it is told, by workspace in order of names. */
  sum (window: UsageWindow): UsageCounts {
    const sum = new Map<string, number>()
    for (const { windows } of this.#sources.values()) {
      for (const [workspace, requests] of windows.get(window) ?? []) sum.set(workspace, (sum.get(workspace) ?? 0) + requests)
    }
    return [...sum].sort(([a], [b]) => a < b ? -1 : 1)
  }

  /** Sources that were heard since `since`, on the clock of `note`, and have not told all before true time `until`. */
  countBehind (until: number, since: number): number {
    return [...this.#sources.values()].filter(({ through, updatedAt: heardAt }) => heardAt >= since && through < until).length
  }

  /** What is new since the last call, or with `all` everything, for another box. */
  takeNews (all: boolean): UsageTelling[] {
    const updates: UsageTelling[] = []
    for (const [name, source] of this.#sources) {
      if (!all && !source.hasChanges) continue
      const windows = [...source.windows].filter(([window]) => all || source.changedWindows.has(window))
      updates.push({ source: name, through: source.through, windows: windows.map(([window, counts]) => [window, [...counts]]) })
      source.changedWindows = new Set()
      source.hasChanges = false
    }
    return updates
  }

  /** Drops windows before `first`, and sources that have none and were silent. */
  forget (first: UsageWindow, at: number): void {
    for (const [name, { windows, updatedAt: heardAt }] of this.#sources) {
      for (const window of windows.keys()) if (window < first) windows.delete(window)
      if (windows.size === 0 && at - heardAt > idleSourceMs) this.#sources.delete(name)
    }
  }
}
