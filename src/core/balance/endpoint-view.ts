/**
 * One endpoint as this box sees it: its newest record, what this box has
 * running there, what its hub tells that the other boxes have, and how it performs.
 */
import { hashText } from '../hash.js'
import type { EndpointId } from '../ids.js'
import { ExponentialAverage, RunningQuantile } from './average.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { EngineStats } from './engine-stats.js'
import { EndpointGate } from './endpoint-gate.js'
import { EndpointHealth } from './endpoint-health.js'
import type { EndpointLoad, ReadPrompt } from './load-word.js'
import { PromptMemory } from './prompt-memory.js'
import { countExpectedTokens, isPauseTolerant, listSharedParts } from './prompt-reading.js'
import type { PromptPlan } from './prompt-plan.js'
import type { PromptCost, PromptPart, Work } from './work.js'

/** A request of this box at an endpoint. */
export interface Placed {
  readonly work: Work
  /** Prompt tokens that the engine is expected to read for it. */
  readonly readTokens: number
  /** Time that it is expected to take what another engine keeps of the prompt, ms. */
  readonly fetchMs: number
  /** Tokens that waited ahead of it when it was sent. */
  readonly aheadTokens: number
  readonly memory: number
  readonly sentAt: number
  firstAt: number | null
  heardAt: number
}

/** Weight of the newest sample in what is learned of an endpoint. */
const newestWeight = 0.15
/** Reading time is learned only from prompts that take longer than the noise of the network, tokens. */
const minLearningTokens = 1000
/** Time of an answer that isn't reading, ms. */
const overheadMs = 10
/** Share of an engine's memory that is believed to hold prompts that nobody is running. */
const cacheShare = 0.5
/** Expected time of a call to a plain service before any was seen, ms. */
const initialAnswerMs = 100
/** A request that waits so many times longer than usual, and this much more, shows that its endpoint hangs. */
const overdueRatio = 3
const overdueMarginMs = 300
/** Streams give an event every few dozen ms; one endpoint that is silent on all of its streams for so long hangs, ms. */
const silentMs = 500
/** Part by which each event moves what is believed of the time between events. */
const gapStep = 0.04
/** The gaps that count are the lowest, as what is read unseen makes gaps longer: at 0.35 engines that read much passed for slow ones. */
const gapQuantile = 0.1
/** Part by which each stream more stretches the time between events, as on the users' engines (0.53 to 0.71 in 100). */
const gapGrowthPerStream = 0.006
/** What became of a prompt is told for so long, ms: a word may be lost, and the next ones go out within a few dozen ms. */
const promptReportMs = 200
/** An engine that is so many times slower than the middle one is in trouble, not of a slower kind. */
export const degradedRatio = 2
/** Events that must be seen before an engine's speed is judged. */
const minGaps = 16
/**
 * Events that come sooner after one another were read together, after a standstill of this box or of its
 * link, ms: a step of the users' fastest engines takes 3. A middle gap of 0 ended every gateway of a zone.
 */
const minGapMs = 1

export class EndpointView {
  /** Of its id: the same at every box. */
  readonly hash: number
  readonly trust = new EndpointHealth()
  readonly gate: EndpointGate
  /** What the engine holds, or will have read before anything that is sent to it now. */
  readonly prompts: PromptMemory
  /** What it holds already, so that others may take it. */
  readonly kept: PromptMemory
  readonly answerMs = new ExponentialAverage(initialAnswerMs, newestWeight)
  record: EndpointRecord
  #stats: EngineStats
  /** What this box tells of prompts here. */
  #promptReports: { readonly at: number, readonly prompt: ReadPrompt }[] = []
  #gapQuantile: RunningQuantile | null = null
  #gapCount = 0
  #minInitialGapMs = Infinity
  #placed = new Set<Placed>()
  /** What the other boxes have here. */
  #others: EndpointLoad | null = null
  /** The time between events in the middle of what all boxes measured. */
  #medianGapMs: number | null = null
  /** How many times slower than the middle of its service it is; 1 where that isn't known. */
  slowness = 1
  /** True for an engine of a slower kind than the middle one. */
  isSlow = false

  /** `learning`: of the service's engines as a whole, shared by their views. */
  constructor (record: EndpointRecord, memoryTokens: number, stats: EngineStats, gate = new EndpointGate()) {
    this.record = record
    this.gate = gate
    this.hash = hashText(record.id)
    this.prompts = new PromptMemory(memoryTokens * cacheShare)
    this.kept = new PromptMemory(memoryTokens * cacheShare)
    this.#stats = stats
  }

  get id (): EndpointId { return this.record.id }
  /** Time to read a prompt token, ms. */
  get readMsPerToken (): number { return this.#stats.readMsPerToken.value * this.slowness }

  /** Other boxes that the endpoint has asked to back off. */
  get backedOffOthers (): number { return this.#others?.backedOff ?? 0 }

  /** Requests in flight, those of other boxes included. */
  get running (): number {
    return this.#placed.size + (this.#others?.running ?? 0)
  }

  /** Streams in flight whose pauses break where a prompt is read beside them; `patienceMs`: the shortest pause that doesn't. */
  countPauseSensitive (minTolerantPauseMs: number): number {
    return this.#countOwnPauseSensitive(minTolerantPauseMs) + (this.#others?.brisk ?? 0)
  }

  #countOwnPauseSensitive (minTolerantPauseMs: number): number {
    let sensitive = 0
    for (const { work } of this.#placed) if (!isPauseTolerant(work, minTolerantPauseMs)) sensitive += 1
    return sensitive
  }

  /** Memory that requests in flight are expected to take, tokens. */
  get memoryInUse (): number {
    let tokens = this.#others?.memory ?? 0
    for (const placed of this.#placed) tokens += placed.memory
    return tokens
  }

  /**
   * Prompt tokens that will be read before those of a new request of this
   * priority: those of requests that go before it, and what is left of one
   * less urgent prompt that may have been begun.
   */
  countTokensAhead (priority: number, at: number): number {
    const { own, others, behind, largest } = this.#countWaiting(priority, at)
    return own + others + Math.min(behind, largest)
  }

  /** Prompt tokens that wait here: of requests that go before one of this priority, this box's and the others', and of those `behind` it. */
  countBefore (priority: number, at: number): { readonly own: number, readonly others: number, readonly behind: number } {
    return this.#countWaiting(priority, at)
  }

  #countWaiting (priority: number, at: number): { own: number, others: number, behind: number, largest: number } {
    let own = 0
    let others = 0
    let behind = 0
    let largest = 0
    for (const placed of this.#placed) {
      if (placed.firstAt !== null) continue
      const left = this.#countLeft(placed, at)
      if (placed.work.priority <= priority) own += left
      else behind += left
      largest = Math.max(largest, left)
    }
    if (this.#others === null) return { own, others, behind, largest }
    for (const [theirs, tokens] of this.#others.waiting) {
      if (theirs <= priority) others += tokens
      else behind += tokens
    }
    return { own, others, behind, largest: Math.max(largest, this.#others.largest) }
  }

  // Estimates the unread tokens of a prompt from the expected read rate. An overdue first event indicates that the prompt is queued
  // behind prompts unknown to this box, so the delay is converted to tokens and counted, up to the size of the prompt.
  #countLeft (placed: Placed, at: number): number {
    const waitedMs = at - placed.sentAt
    const expectedLeft = placed.readTokens - Math.max(0, waitedMs - placed.aheadTokens * this.readMsPerToken) / this.readMsPerToken
    const overdueTokens = (waitedMs - this.expectAnswer(placed)) / this.readMsPerToken
    return Math.max(0, expectedLeft, Math.min(placed.readTokens, overdueTokens))
  }

  /** How long the endpoint has been overdue with an answer or an event, ms; 0 where it isn't. */
  measureOverdue (at: number): number {
    let overdue = 0
    let started = 0
    let heardAt = -Infinity
    for (const placed of this.#placed) {
      if (placed.firstAt !== null && placed.work.cost !== null) {
        started += 1
        heardAt = Math.max(heardAt, placed.heardAt)
      } else if (placed.firstAt === null) {
        overdue = Math.max(overdue, at - placed.sentAt - overdueRatio * this.expectAnswer(placed) - overdueMarginMs)
      }
    }
    if (started > 1) overdue = Math.max(overdue, at - heardAt - silentMs)
    return overdue
  }

  /** Expected time from sending a request to its answer, or first event, ms. */
  expectAnswer (placed: Placed): number {
    if (placed.work.cost === null) return this.answerMs.value
    return (placed.readTokens + placed.aheadTokens) * this.readMsPerToken + placed.fetchMs + overheadMs
  }

  place (work: Work, { readTokens, fetch }: PromptPlan, at: number): Placed {
    const { cost } = work
    const memory = cost === null ? 0 : cost.promptTokens + cost.mostTokens / 2
    const placed: Placed = { work, readTokens, fetchMs: fetch?.ms ?? 0, aheadTokens: this.countTokensAhead(work.priority, at), memory, sentAt: at, firstAt: null, heardAt: at }
    this.#placed.add(placed)
    if (cost !== null) this.#reportPrompt(cost, false, at)
    return placed
  }

  /** The answer, or its first event, has come. */
  noteFirst (placed: Placed, at: number): void {
    placed.firstAt = at
    placed.heardAt = at
    const took = at - placed.sentAt
    const { cost } = placed.work
    if (cost === null) return this.answerMs.add(took)
    this.#reportPrompt(cost, true, at)
    this.#stats.readMeter.add(at, countExpectedTokens(cost))
    this.#stats.lateness.add(placed.work.level, took / this.expectAnswer(placed))
    const tokens = placed.readTokens + placed.aheadTokens
    if (tokens >= minLearningTokens) this.#stats.readMsPerToken.add(Math.max(0, took - overheadMs - placed.fetchMs) / tokens / this.slowness)
  }

  #reportPrompt (cost: PromptCost, isKept: boolean, at: number): void {
    this.notePrompt(cost.parts, isKept)
    const shared = listSharedParts(cost)
    if (shared.length > 0) this.#promptReports.push({ at, prompt: [this.id, shared.map(({ id, tokens }) => [id, tokens]), isKept] })
  }

  /** Notes that the engine reads parts of a prompt, or holds them already. */
  notePrompt (parts: readonly PromptPart[], isKept: boolean): void {
    this.prompts.add(parts)
    if (isKept) this.kept.add(parts)
  }

  /** Prompts of this box that were sent here or read here just now, for the other boxes. */
  listPromptReports (at: number): ReadPrompt[] {
    this.#promptReports = this.#promptReports.filter(one => at - one.at <= promptReportMs)
    return this.#promptReports.map(one => one.prompt)
  }

  /**
   * Time between events of a stream that is alone and beside which no prompt is
   * read, as this box measured it, ms; null before enough was seen.
   */
  get ownGapMs (): number | null { return this.#gapCount < minGaps ? null : this.#gapQuantile?.value ?? this.#minInitialGapMs }

  /** The same, in the middle of what all boxes measured; this box's own measure before any was told. */
  get gapMs (): number | null { return this.#medianGapMs ?? this.ownGapMs }

  // An engine in trouble, or of unknown speed, tells nothing of the others.
  #noteReadingPause (pauseMs: number, at: number): void {
    if (this.gapMs !== null && this.slowness < degradedRatio) this.#stats.readingPause.add(pauseMs, this.slowness, at)
  }

  /** Takes the middle of what all boxes measured. */
  noteMedianGap (gapMs: number): void { this.#medianGapMs = gapMs < minGapMs ? null : gapMs }

  /** Notes the time between two events of a stream: beside reading, or where nothing is being read here. */
  noteGap (gapMs: number, at: number): void {
    if (gapMs < minGapMs) return
    if (this.countTokensAhead(Infinity, at) > 0) return this.#noteReadingPause(gapMs, at)
    const aloneMs = gapMs / (1 + this.running * gapGrowthPerStream)
    this.#gapCount += 1
    // The first gaps may all stand beside reading that this box knows nothing of: the lowest is nearest.
    if (this.#gapCount <= minGaps) this.#minInitialGapMs = Math.min(this.#minInitialGapMs, aloneMs)
    else (this.#gapQuantile ??= new RunningQuantile(this.#minInitialGapMs, gapQuantile, gapStep)).add(aloneMs)
  }

  /** Takes a request out that has ended, or was called off. */
  remove (placed: Placed, at: number): void {
    this.#placed.delete(placed)
    // Whoever left without a first event waited longer than expected too.
    const waitedTimes = (at - placed.sentAt) / this.expectAnswer(placed)
    if (placed.firstAt === null && placed.work.cost !== null && waitedTimes > 1) this.#stats.lateness.add(placed.work.level, waitedTimes)
  }

  /** Takes what the other boxes have here; null for nothing. */
  noteOthers (load: EndpointLoad | null): void { this.#others = load }

  /** What this box tells its hub of its work here; null where it has none. */
  composeLoad (at: number, minTolerantPauseMs: number): EndpointLoad | null {
    const backedOff = this.gate.isBackedOff(at) ? 1 : 0
    if (this.#placed.size === 0 && backedOff === 0) return null
    const waiting = new Map<number, number>()
    let memory = 0
    let largest = 0
    for (const placed of this.#placed) {
      memory += placed.memory
      if (placed.firstAt !== null) continue
      const left = Math.round(this.#countLeft(placed, at))
      largest = Math.max(largest, left)
      if (left > 0) waiting.set(placed.work.priority, (waiting.get(placed.work.priority) ?? 0) + left)
    }
    return { endpoint: this.id, running: this.#placed.size, brisk: this.#countOwnPauseSensitive(minTolerantPauseMs), memory: Math.round(memory), waiting: [...waiting], largest, backedOff }
  }
}
