/**
 * One endpoint as seen by this box: its newest record, the requests of this box in flight there, the load that its
 * hub reports for the other boxes, and performance measurements.
 */
import { hashText } from '../hash.js'
import type { EndpointId } from '../ids.js'
import { ActivityCache } from './activity-cache.js'
import type { ActivitySign } from './activity-cache.js'
import { AnswerTimes } from './answer-times.js'
import type { EndpointPath } from '../paths/index.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { EngineStats } from './engine-stats.js'
import { EndpointGate } from './endpoint-gate.js'
import { EndpointHealth } from './endpoint-health.js'
import { EngineSpeed, minGapMs } from './engine-speed.js'
import type { EventRun } from './event-run.js'
import type { EndpointLoad, PromptReport } from './box-load.js'
import { KeptSlots } from './kept-slots.js'
import { PlainOccupancy } from './plain-occupancy.js'
import { PlainSpeed } from './plain-speed.js'
import { RecentOutcomes, isBroken } from './recent-outcomes.js'
import type { Outcomes } from './recent-outcomes.js'
import { PromptCacheModel } from './prompt-cache-model.js'
import { countExpectedTokens, isPauseTolerant, listSharedParts } from './prompt-reading.js'
import { isAnyDue, measureDelay, measureLongest, measureOverdue, recentMs } from './overdue.js'
import type { PlacedRequest } from './placed-request.js'
import type { PromptPlan } from './prompt-plan.js'
import type { PromptCost, PromptPart, RequestProfile } from './work.js'

/** Assumed fraction of an engine's memory that caches prompts of no running request. */
const cacheShare = 0.5
/** Relative increase of the time between events for each additional stream, as on engines in production (0.53 to 0.71 per 100 streams). */
const gapGrowthPerStream = 0.006
/** How long the state of a prompt is repeated in reports, ms: a report may be lost, and the next ones follow within a few tens of ms. */
const promptReportMs = 200
/** An engine slower than the median by at least this factor is degraded, rather than of a slower model. */
export const degradedRatio = 2

export class EndpointView {
  /** Hash of the id; the same on every box. */
  readonly hash: number
  #health = new EndpointHealth()
  #path: EndpointPath = 'direct'
  readonly gate: EndpointGate
  /** Prompt parts that the engine has cached, or will have read before anything that is sent to it now. */
  readonly prompts: PromptCacheModel
  /** Parts that it has already cached, so that other engines can fetch them. */
  readonly cachedPrompts: PromptCacheModel
  readonly answerMs = new AnswerTimes()
  /** Answer times and load of a plain service's endpoint, for the measures against contention. */
  readonly plainSpeed = new PlainSpeed()
  readonly plainOccupancy = new PlainOccupancy()
  readonly keptSlots = new KeptSlots()
  /** How requests of this box fared recently over the current path. */
  #outcomes = new RecentOutcomes()
  /** The same of the other boxes; null while the measures against contention are off. */
  #otherOutcomes: Outcomes | null = null
  record: EndpointRecord
  /** When it last refused a request of this box as full; -Infinity if never. */
  fullAt = -Infinity
  #stats: EngineStats
  /** Prompt states that this box reports to its hub. */
  #promptReports: { readonly at: number, readonly prompt: PromptReport }[] = []
  #speed = new EngineSpeed()
  #placed = new Set<PlacedRequest>()
  #answeredAt = -Infinity
  #activity = new ActivityCache()
  /** Load of the other boxes here. */
  #others: EndpointLoad | null = null
  /** Factor by which it is slower than the median of its service; 1 if unknown. */
  slowness = 1
  /** True for an engine of a slower model than the median one. */
  isSlow = false

  /** `stats`: measurements over all engines of the service, shared by their views. */
  constructor (record: EndpointRecord, memoryTokens: number, stats: EngineStats, gate = new EndpointGate()) {
    this.record = record
    this.gate = gate
    this.hash = hashText(record.id)
    this.prompts = new PromptCacheModel(memoryTokens * cacheShare)
    this.cachedPrompts = new PromptCacheModel(memoryTokens * cacheShare)
    this.#stats = stats
  }

  get id (): EndpointId { return this.record.id }
  /** Its health as seen over the current path. */
  get health (): EndpointHealth { return this.#health }
  get outcomes (): RecentOutcomes { return this.#outcomes }
  /** How this box reaches it. */
  get path (): EndpointPath { return this.#path }

  /** Changes the path; false if it is the same. What was seen over the other path is dropped: it may have been the path's fault. */
  setPath (path: EndpointPath): boolean {
    if (path === this.#path) return false
    this.#path = path
    this.#health = new EndpointHealth()
    this.#outcomes = new RecentOutcomes()
    return true
  }

  /** True if the answer to a request of this box is overdue. */
  isOverdue (placed: PlacedRequest, at: number): boolean { return placed.firstAt === null && measureDelay(placed, this.estimateAnswerMs(placed), at) > 0 }

  /** True if it is overdue, and takes far longer than the longest recent answer of a plain service. */
  isLongOverdue (placed: PlacedRequest, at: number): boolean { return this.isOverdue(placed, at) && this.#stats.longestAnswers.isExceeded(at - placed.sentAt, at) }

  /** Time to read a prompt token, ms. */
  get readMsPerToken (): number { return this.#stats.firstEvent.msPerToken * this.slowness }

  /** Number of other boxes that the endpoint has asked to back off. */
  get backedOffOthers (): number { return this.#others?.backedOff ?? 0 }

  /** Requests in flight, including those of other boxes. */
  get running (): number {
    return this.#placed.size + (this.#others?.running ?? 0)
  }

  /** Requests of other boxes in flight, as last reported. */
  get othersRunning (): number { return this.#others?.running ?? 0 }

  /** Requests of this box in flight. */
  get ownRunning (): number { return this.#placed.size }

  /** Time since the oldest unanswered send of this box, ms; 0 for none. */
  measureLongest (at: number): number { return measureLongest(this.#placed, at) }

  /** Streams in flight that do not tolerate prompt reading beside them; `minTolerantPauseMs`: the shortest allowed pause of one that does. */
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
   * Prompt tokens that will be read before those of a new request of this priority: those of requests that are not
   * less urgent, and the rest of one less urgent prompt that may have been started.
   */
  countTokensAhead (priority: number, at: number): number {
    const { own, others, lessUrgent, largest } = this.#countWaiting(priority, at)
    return own + others + Math.min(lessUrgent, largest)
  }

  /**
   * Prompt tokens that wait here: of requests that are not less urgent than `priority`, from this box and from the
   * others, and of less urgent ones.
   */
  countBacklog (priority: number, at: number): { readonly own: number, readonly others: number, readonly lessUrgent: number } {
    return this.#countWaiting(priority, at)
  }

  #countWaiting (priority: number, at: number): { own: number, others: number, lessUrgent: number, largest: number } {
    let own = 0
    let others = 0
    let lessUrgent = 0
    let largest = 0
    for (const placed of this.#placed) {
      if (placed.firstAt !== null) continue
      const left = this.#countUnreadTokens(placed, at)
      if (placed.work.priority <= priority) own += left
      else lessUrgent += left
      largest = Math.max(largest, left)
    }
    if (this.#others === null) return { own, others, lessUrgent, largest }
    for (const [theirs, tokens] of this.#others.waiting) {
      if (theirs <= priority) others += tokens
      else lessUrgent += tokens
    }
    return { own, others, lessUrgent, largest: Math.max(largest, this.#others.largest) }
  }

  // Estimates the unread tokens of a prompt from the expected read rate. An overdue first event indicates that the prompt is queued
  // behind prompts unknown to this box, so the delay is converted to tokens and counted, up to the size of the prompt.
  #countUnreadTokens (placed: PlacedRequest, at: number): number {
    const waitedMs = at - placed.sentAt
    const expectedLeft = placed.readTokens - Math.max(0, waitedMs - placed.aheadTokens * this.readMsPerToken) / this.readMsPerToken
    const overdueTokens = (waitedMs - this.estimateAnswerMs(placed)) / this.readMsPerToken
    return Math.max(0, expectedLeft, Math.min(placed.readTokens, overdueTokens))
  }

  /** Notes that a part of an answer to this box has arrived. */
  noteActive (at: number): void {
    this.answerMs.noteReceived(at)
    this.health.noteActive()
  }

  /** True if an answer to a request of this box, or an event, has arrived since. */
  hasAnsweredSince (time: number): boolean {
    if (this.#answeredAt >= time) return true
    for (const { firstAt, lastEventAt } of this.#placed) if (firstAt !== null && lastEventAt >= time) return true
    return false
  }

  /** What this box has received from the endpoint lately. */
  findActivity (at: number): ActivitySign {
    return this.#activity.find(at, () => this.hasAnsweredSince(at - recentMs), () => isAnyDue(this.#placed, placed => this.isOverdue(placed, at), at))
  }

  /** Time by which an answer or event of the endpoint is overdue, ms; 0 if none is. */
  measureOverdue (at: number): number { return measureOverdue(this.#placed, placed => this.estimateAnswerMs(placed), at) }

  /** Expected time from sending a request to its answer or first event, ms. */
  estimateAnswerMs (placed: PlacedRequest): number {
    if (placed.work.cost === null) return this.answerMs.value
    return (placed.readTokens + placed.aheadTokens) * this.readMsPerToken + placed.fetchMs + this.#stats.firstEvent.startMs
  }

  place (work: RequestProfile, { readTokens, fetch }: PromptPlan, at: number): PlacedRequest {
    const { cost } = work
    const memory = cost === null ? 0 : cost.promptTokens + cost.maxTokens / 2
    const placed: PlacedRequest = { work, readTokens, fetchMs: fetch?.ms ?? 0, aheadTokens: this.countTokensAhead(work.priority, at), memory, sentAt: at, firstAt: null, lastEventAt: at }
    this.#placed.add(placed)
    this.keptSlots.noteSent()
    if (cost !== null) this.#reportPrompt(cost, false, at)
    return placed
  }

  /** Records the arrival of the answer or its first event. */
  noteFirst (placed: PlacedRequest, at: number): void {
    placed.firstAt = this.#answeredAt = at
    placed.lastEventAt = at
    this.outcomes.noteGood(at)
    const tookMs = at - placed.sentAt
    const { cost } = placed.work
    if (cost === null) return this.#notePlainAnswer(tookMs, at)
    this.#reportPrompt(cost, true, at)
    this.#stats.readMeter.add(at, countExpectedTokens(cost))
    this.#stats.lateness.add(placed.work.level, tookMs / this.estimateAnswerMs(placed))
    this.#stats.firstEvent.add({ ...placed, tookMs, slowness: this.slowness }, at)
  }

  #notePlainAnswer (tookMs: number, at: number): void {
    this.#stats.slotReserve.note(false)
    this.answerMs.add(tookMs, at)
    this.#stats.longestAnswers.note(tookMs, at)
    this.plainSpeed.note(tookMs, at)
    this.plainOccupancy.noteAccepted(at)
  }

  #reportPrompt (cost: PromptCost, isKept: boolean, at: number): void {
    this.notePrompt(cost.parts, isKept)
    const shared = listSharedParts(cost)
    if (shared.length > 0) this.#promptReports.push({ at, prompt: [this.id, shared.map(({ id, tokens }) => [id, tokens]), isKept] })
  }

  /** Notes that the engine reads parts of a prompt, or has already cached them (`isKept`). */
  notePrompt (parts: readonly PromptPart[], isKept: boolean): void {
    this.prompts.add(parts)
    if (isKept) this.cachedPrompts.add(parts)
  }

  /** Prompts of this box that were recently sent to or read by the engine, to be reported to the other boxes. */
  listPromptReports (at: number): PromptReport[] {
    this.#promptReports = this.#promptReports.filter(one => at - one.at <= promptReportMs)
    return this.#promptReports.map(one => one.prompt)
  }

  /** Time between events of a single stream while no prompt is read, as measured by this box, ms; null until there are enough samples. */
  get ownGapMs (): number | null { return this.#speed.ownGapMs }

  /** The same as the median over all boxes; this box's own measurement until one is reported. */
  get gapMs (): number | null { return this.#speed.gapMs }

  // Pauses of a degraded engine, or one of unknown speed, say nothing about the others.
  #noteReadingPause (pauseMs: number, at: number): void {
    if (this.gapMs !== null && this.slowness < degradedRatio) this.#stats.readingPause.add(pauseMs, this.slowness, at)
  }

  noteMedianGap (gapMs: number): void { this.#speed.noteMedianGap(gapMs) }

  /** Records the time between two events of a stream, as a reading pause if a prompt is being read, otherwise as a gap. */
  noteGap (gapMs: number, at: number): void {
    if (gapMs < minGapMs) return
    if (this.countTokensAhead(Infinity, at) > 0) return this.#noteReadingPause(gapMs, at)
    this.#speed.noteGap(gapMs / (1 + this.running * gapGrowthPerStream))
  }

  /** Records events of a stream that were received together; the time before them is a reading pause if a prompt is being read, otherwise a part of a run. */
  noteEvents (run: EventRun, events: number, at: number): void {
    const { gap, meanMs } = run.add({ at, events, isReading: this.countTokensAhead(Infinity, at) > 0 })
    if (gap !== null && gap.isReading && gap.events === 1 && gap.ms >= minGapMs) this.#noteReadingPause(gap.ms, at)
    if (meanMs !== null) this.#speed.noteRun(meanMs / (1 + this.running * gapGrowthPerStream))
  }

  /** Notes that the connection of a request of this box broke or timed out after it was written. */
  noteBroken (at: number): void {
    this.health.noteBroken(at)
    this.outcomes.noteBroken(at)
  }

  /** True if most requests of all boxes broke here recently. */
  isBroken (at: number): boolean { return this.#otherOutcomes !== null && isBroken(this.outcomes.count(at), this.#otherOutcomes) }

  /** Sets the outcomes of the other boxes. */
  noteOtherOutcomes (outcomes: Outcomes): void { this.#otherOutcomes = outcomes }

  /** Notes that the endpoint refused a request properly. */
  noteRefused (at: number): void {
    this.health.noteGood()
    this.#answeredAt = at
    if (this.gate.isClosed(at)) return
    this.fullAt = at
    this.#stats.slotReserve.note(true)
  }

  /** Removes a request that ended or was cancelled. */
  remove (placed: PlacedRequest, at: number): void {
    if (placed.firstAt !== null && placed.work.cost === null) this.#noteReleased(placed, at)
    this.#placed.delete(placed)
    if (placed.firstAt !== null) this.#answeredAt = Math.max(this.#answeredAt, placed.lastEventAt)
    // A request that was cancelled before its first event after longer than expected is late too.
    const waitedRatio = (at - placed.sentAt) / this.estimateAnswerMs(placed)
    if (placed.firstAt === null && placed.work.cost !== null && waitedRatio > 1) this.#stats.lateness.add(placed.work.level, waitedRatio)
  }

  #noteReleased (placed: PlacedRequest, at: number): void {
    this.plainOccupancy.noteReleased(this.record.slots, this.#placed.size, at - placed.sentAt, at)
    this.keptSlots.noteReleased(at)
  }

  /** Sets the load of the other boxes; null for none. */
  noteOthers (load: EndpointLoad | null): void { this.#others = load }

  /** The load that this box reports to its hub; null if there is none. */
  composeLoad (at: number, minTolerantPauseMs: number): EndpointLoad | null {
    const backedOff = this.gate.isBackedOff(at) ? 1 : 0
    if (this.#placed.size === 0 && backedOff === 0) return null
    const waiting = new Map<number, number>()
    let memory = 0
    let largest = 0
    for (const placed of this.#placed) {
      memory += placed.memory
      if (placed.firstAt !== null) continue
      const left = Math.round(this.#countUnreadTokens(placed, at))
      largest = Math.max(largest, left)
      if (left > 0) waiting.set(placed.work.priority, (waiting.get(placed.work.priority) ?? 0) + left)
    }
    return { endpoint: this.id, running: this.#placed.size, brisk: this.#countOwnPauseSensitive(minTolerantPauseMs), memory: Math.round(memory), waiting: [...waiting], largest, backedOff }
  }
}
