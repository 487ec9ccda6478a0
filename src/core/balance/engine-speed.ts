/** The time between events of a single stream at an engine while it reads no prompt, from which its speed is judged. */
import { RecentQuantile, RunningQuantile } from './average.js'

/** Relative step by which each event adjusts the estimated time between events. */
const gapStep = 0.04
/**
 * Low quantile of the gaps that is used, because prompt reading that this box does not know of lengthens them: at
 * 0.35, engines that read much are taken for slow ones.
 */
const gapQuantile = 0.1
/** Minimum number of gaps before an engine's speed is judged. */
const minGaps = 16
/** Quantile of the mean gaps of recent runs of events, and the number of runs: prompt reading that this box does not know of lengthens some. */
const runQuantile = 0.3
const maxRuns = 24
/** Minimum number of runs before an engine's speed is judged. */
const minRuns = 3
/**
 * Shorter gaps are ignored, ms: such events were received together after a stall of this box or its link. The
 * fastest engines in production take 3 ms per step. A median gap of 0 makes slowness NaN, so that no engine can be
 * chosen and gateways crash.
 */
export const minGapMs = 1

export class EngineSpeed {
  #gapQuantile: RunningQuantile | null = null
  #gapCount = 0
  #minInitialGapMs = Infinity
  /** Mean gaps of runs of events, used instead of single gaps while the measures against contention are on. */
  #runGaps = new RecentQuantile(runQuantile, maxRuns)
  /** Median over all boxes of the measured time between events. */
  #medianGapMs: number | null = null

  /** As measured by this box, ms; null until there are enough samples. */
  get ownGapMs (): number | null {
    if (this.#runGaps.count >= minRuns) return this.#runGaps.value
    return this.#gapCount < minGaps ? null : this.#gapQuantile?.value ?? this.#minInitialGapMs
  }

  /** The same as the median over all boxes; this box's own measurement until one is reported. */
  get gapMs (): number | null { return this.#medianGapMs ?? this.ownGapMs }

  noteMedianGap (gapMs: number): void { this.#medianGapMs = gapMs < minGapMs ? null : gapMs }

  /** Records the time between two events, ms. */
  noteGap (gapMs: number): void {
    this.#gapCount += 1
    // Any of the first gaps may include prompt reading that this box does not know of: the shortest is the best estimate.
    if (this.#gapCount <= minGaps) this.#minInitialGapMs = Math.min(this.#minInitialGapMs, gapMs)
    else (this.#gapQuantile ??= new RunningQuantile(this.#minInitialGapMs, gapQuantile, gapStep)).add(gapMs)
  }

  /** Records the mean time between the events of a run, ms. */
  noteRun (gapMs: number): void {
    if (gapMs >= minGapMs) this.#runGaps.add(gapMs)
  }
}
