/**
 * What ran in each window of time, as it was settled: a state machine of the
 * replicated log. The first counts that are settled for a window are its counts
 * for good, whoever reports them and however often.
 */

/** A window's number: it begins so many windows after 1970 in true time. */
export type UsageWindow = number

/** Requests that began, by workspace. */
export type UsageCounts = readonly (readonly [workspace: string, requests: number])[]

/** A window whose counts stand. */
export interface SettledWindow {
  readonly window: UsageWindow
  readonly counts: UsageCounts
  /** True once the other side said that it has it. */
  readonly isReported: boolean
}

/** What is asked of the ledger. */
export type UsageCommand =
  | { readonly type: 'settle', readonly window: UsageWindow, readonly counts: UsageCounts }
  /** The other side has taken the window, or it is given up. */
  | { readonly type: 'note-reported', readonly window: UsageWindow }

/** The answer; `closed`: the window is older than all that are kept. */
export type UsageResult =
  | { readonly type: 'settled', readonly settled: SettledWindow }
  | { readonly type: 'reported' }
  | { readonly type: 'closed' }

/** The ledger as it stands in a snapshot, the oldest window first. */
export type UsageLedgerState = readonly SettledWindow[]

/** Windows that are kept: two minutes of windows of 5 s, for operators and for reports that wait for the other side. */
const maxWindows = 24

export class UsageLedger {
  #windows: SettledWindow[]

  constructor (state: UsageLedgerState = []) {
    this.#windows = [...state]
  }

  /** The windows that are kept, the oldest first. */
  get windows (): readonly SettledWindow[] { return this.#windows }
  /** The newest window that is settled; null before the first. */
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
