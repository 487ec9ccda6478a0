/**
 * Settled request counts per time window, as a state machine on the replicated
 * log. The first counts settled for a window are final, whichever box reports
 * them to the platform and however often.
 */

/** Sequence number of a window: the number of windows between 1970 and its start, in corrected wall-clock time. */
export type UsageWindow = number

/** Number of requests that began, by workspace. */
export type UsageCounts = readonly (readonly [workspace: string, requests: number])[]

/** A window with its final counts. */
export interface SettledWindow {
  readonly window: UsageWindow
  readonly counts: UsageCounts
  /** True once the platform has confirmed the report, or reporting was given up. */
  readonly isReported: boolean
}

/** Commands on usage. */
export type UsageCommand =
  | { readonly type: 'settle', readonly window: UsageWindow, readonly counts: UsageCounts }
  /** Marks a window as accepted by the platform, or as given up. */
  | { readonly type: 'note-reported', readonly window: UsageWindow }

/** Result of a command. `closed`: the window is older than all retained ones. */
export type UsageResult =
  | { readonly type: 'settled', readonly settled: SettledWindow }
  | { readonly type: 'reported' }
  | { readonly type: 'closed' }

/** The ledger as stored in a snapshot, oldest window first. */
export type UsageLedgerState = readonly SettledWindow[]

/** Number of retained windows, 2 minutes of 5 s windows, for operators and for reports that the platform has not accepted yet. */
const maxWindows = 24

export class UsageLedger {
  #windows: SettledWindow[]

  constructor (state: UsageLedgerState = []) {
    this.#windows = [...state]
  }

  /** The retained windows, oldest first. */
  get windows (): readonly SettledWindow[] { return this.#windows }
  /** The newest settled window; null before the first. */
  get newest (): UsageWindow | null { return this.#windows.at(-1)?.window ?? null }

  apply (command: UsageCommand): UsageResult {
    switch (command.type) {
      case 'settle': return this.#settle(command.window, command.counts)
      case 'note-reported': return this.#noteReported(command.window)
    }
  }

  save (): UsageLedgerState { return [...this.#windows] }

  #settle (window: UsageWindow, counts: UsageCounts): UsageResult {
    const known = this.#windows.find(one => one.window === window)
    if (known !== undefined) return { type: 'settled', settled: known }
    if (this.#windows.length > 0 && window < this.#windows[0].window) return { type: 'closed' }
    const settled: SettledWindow = { window, counts, isReported: false }
    this.#windows = [...this.#windows, settled].sort((a, b) => a.window - b.window).slice(-maxWindows)
    return { type: 'settled', settled }
  }

  #noteReported (window: UsageWindow): UsageResult {
    this.#windows = this.#windows.map(one => one.window === window ? { ...one, isReported: true } : one)
    return { type: 'reported' }
  }
}
