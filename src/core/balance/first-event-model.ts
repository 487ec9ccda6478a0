/**
 * Learned time from sending a prompt to its first event: a fixed start time, and a time for each prompt token.
 *
 * Some engines spend many times longer on starting a request than on reading a short prompt. If the start time is
 * counted as reading, the time per token is overestimated several times, and with it every backlog: requests are
 * refused, and engines are dedicated to long prompts, that need not be.
 */
import { RunningQuantile } from './average.js'
import type { ContentionSwitch } from './contention.js'

/** A first event at an engine slower than the median by `slowness`. */
export interface FirstEventSample {
  /** Tokens of its own prompt that the engine read. */
  readonly readTokens: number
  /** Tokens of prompts that waited ahead of it, as far as was known. */
  readonly aheadTokens: number
  readonly tookMs: number
  /** Expected time of the transfer of a part of the prompt, ms; 0 without one. */
  readonly fetchMs: number
  readonly slowness: number
}

/** Start time and time per prompt token, ms. */
export type FirstEventTimes = readonly [startMs: number, msPerToken: number]

/** Assumed start time, ms. */
const defaultStartMs = 10
/** Shorter measured start times than this, ms, differ from the assumption by less than the delay of the network and of a decoding step. */
const minLearnedStartMs = 30
/** A start time that was learned is used until it falls below this, ms: near the threshold, the time per token would double and halve with each sample. */
const minKeptStartMs = 20
/** Time to read a prompt token before any was measured, ms: that of a typical engine in production. */
const initialReadMsPerToken = 0.024
/** A low quantile of the measured times is used: prompts with all tokens ahead known are read the fastest, and others include unknown waits. */
const readTimeQuantile = 0.3
/** Relative step by which samples adjust the assumed read time. */
const readTimeStep = 0.05
/** The time per token is learned only from prompts of at least this size, in tokens; for shorter ones, network noise dominates. */
const minTokens = 1000
/** The same beside a long start time, whose variation adds to the noise. */
const minTokensAfterStart = 2500
/** The start time is learned from prompts of at most this size, in tokens. */
const maxStartTokens = 2000
/**
 * Beside a long start time, the time per token is learned only from prompts with at most this multiple of their tokens
 * ahead. Reports of other boxes are up to 250 ms old, in which an engine reads 23,000 tokens: with these counted
 * as ahead, a prompt of 17,000 tokens seems to be read in less than half of its time.
 */
const maxAheadRatio = 0.25
/** Number of recent samples from which the start time and the time per token beside it are estimated. */
const maxRecent = 64
/** Minimum number of them: with 4, the first of 60 boxes that misjudge half of the engines' speeds learn the times after 5 s of load, with 3 after 2 s. */
const minRecent = 3
/** Minimum number of samples of the time per token beside the assumed start time: it takes 22 to fall from 0.024 to 0.011. */
const minAssumedReads = 24
/**
 * The shortest starts within this time are used, ms. Under overload every start includes a wait, so what was measured
 * before must be retained: a wait that is taken for the start time hides the overload.
 */
const startRetentionMs = 600_000

/** Number of the shortest start times that are kept: the order changes as the time per token is learned. */
const maxStarts = 32
/**
 * Quantile of them that is used. The shortest one may be of a prompt of which the engine had cached a part that the
 * box doesn't know of, so that its reading is overestimated: one such sample counts for ten minutes.
 */
const startQuantile = 0.125
/**
 * Samples of engines whose time between events differs from the median by more than this factor are only used while
 * there are too few others: the reading of a short prompt at an engine wrongly taken for ten times slower exceeds the start.
 */
const usualRatio = 1.2
/** Minimum number of samples if too few are of engines of about median speed. */
const minUnusual = 16
/** Lower bound on the time per token, ms, and the step in which it is reported. */
const readStepMs = 0.0005

interface TimedSample {
  readonly sample: FirstEventSample
  readonly at: number
}

export class FirstEventModel {
  /** Time per token if the start takes as long as assumed. */
  #assumedRead = new RunningQuantile(initialReadMsPerToken, readTimeQuantile, readTimeStep)
  /** The samples with the shortest start times. */
  #starts: TimedSample[] = []
  #startMs = defaultStartMs
  #isStartKnown = false
  #isStartLong = false
  #assumedReads = 0
  /** The most recent samples of long prompts. */
  #long: FirstEventSample[] = []
  #nextLong = 0
  #readMs: number | null = null
  #learnedAt = -Infinity
  /** Median over the boxes; null if none is reported. */
  #agreed: FirstEventTimes | null = null
  #contention: ContentionSwitch

  /** The start time is learned only while the measures against contention are on. */
  constructor (contention: ContentionSwitch) {
    this.#contention = contention
  }

  /** Time to the first event that is not spent on reading, ms. */
  get startMs (): number { return this.#findAgreed()?.[0] ?? this.#ownStartMs }

  /** Time to read a prompt token at an engine of median speed, ms. */
  get msPerToken (): number { return this.#findAgreed()?.[1] ?? this.#ownMsPerToken }

  /** Sets the median that the boxes report, which is used instead of the own estimate; null if there is none. */
  noteAgreed (times: FirstEventTimes | null): void { this.#agreed = times }

  /**
   * The own estimate for the other boxes, rounded so that it does not change with each sample. It depends on own
   * samples only, never on the agreed times. Null while the measures are off or too few samples are known.
   */
  composeReport (at: number): FirstEventTimes | null {
    const isReadKnown = this.#isStartLong ? this.#readMs !== null : this.#assumedReads >= minAssumedReads
    if (!this.#contention.isOn || !isReadKnown || !this.#isStartKnown || at - this.#learnedAt > startRetentionMs) return null
    const steps = Math.max(1, Math.round(this.#ownMsPerToken / readStepMs))
    return [Math.round(this.#ownStartMs), steps / Math.round(1 / readStepMs)]
  }

  // All boxes must use the same times: the box with the longest time per token determines how many engines are dedicated.
  #findAgreed (): FirstEventTimes | null { return this.#contention.isOn ? this.#agreed : null }

  get #usesStart (): boolean { return this.#contention.isOn && this.#isStartLong }
  get #ownStartMs (): number { return this.#usesStart ? this.#startMs : defaultStartMs }
  get #ownMsPerToken (): number { return this.#usesStart ? this.#estimateReadMs() : this.#assumedRead.value }

  add (sample: FirstEventSample, at: number): void {
    const { readTokens, aheadTokens, tookMs, fetchMs, slowness } = sample
    const tokens = readTokens + aheadTokens
    if (tokens >= minTokens) {
      this.#assumedRead.add(Math.max(0, tookMs - fetchMs - defaultStartMs) / tokens / slowness)
      this.#assumedReads += 1
    }
    // The time of a transfer is only estimated.
    if (fetchMs > 0 || !this.#contention.isOn) return
    if (readTokens <= maxStartTokens) this.#learnStart(sample, at)
    if (readTokens >= minTokensAfterStart && aheadTokens <= readTokens * maxAheadRatio) this.#learnRead(sample)
    this.#learnedAt = at
  }

  #learnStart (sample: FirstEventSample, at: number): void {
    this.#starts.push({ sample, at })
    const msPerToken = this.#estimateReadMs()
    const measure = ({ tookMs, readTokens, slowness }: FirstEventSample): number => tookMs - readTokens * msPerToken * slowness
    this.#starts = this.#starts.filter(one => at - one.at <= startRetentionMs).sort((a, b) => Number(isUsual(b.sample)) - Number(isUsual(a.sample)) || measure(a.sample) - measure(b.sample)).slice(0, maxStarts)
    const times = rankPreferred(this.#starts.map(one => one.sample), measure)
    if (times === null) return
    this.#startMs = Math.max(defaultStartMs, times[Math.floor(times.length * startQuantile)])
    this.#isStartKnown = true
    this.#isStartLong = this.#startMs >= (this.#isStartLong ? minKeptStartMs : minLearnedStartMs)
  }

  #learnRead (sample: FirstEventSample): void {
    this.#long[this.#nextLong] = sample
    this.#nextLong = (this.#nextLong + 1) % maxRecent
    const times = rankPreferred(this.#long, ({ tookMs, readTokens, aheadTokens, slowness }) => Math.max(0, tookMs - this.#startMs) / (readTokens + aheadTokens) / slowness)
    if (times !== null) this.#readMs = times[Math.floor(times.length * readTimeQuantile)]
  }

  // The time beside the assumed start also falls with overestimated tokens ahead, so it is only used until the other one is known.
  #estimateReadMs (): number { return Math.max(readStepMs, Math.min(this.#readMs ?? this.#assumedRead.value, initialReadMsPerToken)) }
}

function isUsual ({ slowness }: FirstEventSample): boolean { return slowness <= usualRatio && slowness >= 1 / usualRatio }

/** Values computed from the samples of engines of about median speed, in ascending order; from all if there are too few of these, and null if there are too few of all. */
function rankPreferred (samples: readonly FirstEventSample[], compute: (sample: FirstEventSample) => number): number[] | null {
  const usual = samples.filter(isUsual)
  if (usual.length < minRecent && samples.length < minUnusual) return null
  return (usual.length < minRecent ? samples : usual).map(compute).sort((a, b) => a - b)
}
