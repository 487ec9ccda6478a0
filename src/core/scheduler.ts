/**
 * Assigns requests to engines, queues them or refuses them. One scheduler serves
 * one shard of engines on behalf of all boxes. `step` takes an event and returns
 * typed actions; time and randomness are passed in, and state changes only there.
 *
 * Classes are interactive or deferrable (`mayWait`). The precedence rule, checked
 * at every refusal and every yield:
 * 1. An interactive request is refused only if no engine of the shard could run
 *    it by pausing streams of lower classes.
 * 2. A stream is paused only for a request of a higher class.
 * 3. Deferrable requests have `floorPlaces` reserved for them and may also use any
 *    free places. Their streams may be paused but are never dropped.
 */
import type { BoxId, ClassName, EngineId, RequestId } from './ids.js'
import type { RequestClass } from './request-class.js'
import type { SchedulerConfig } from './scheduler-config.js'
import type { RefusalReason, SchedulerAction } from './scheduler-action.js'
import type { LoadReport, SchedulerEvent } from './scheduler-event.js'
import type { Submission } from './submission.js'
import { sumLoad } from './shard-load.js'
import type { ShardLoad } from './shard-load.js'
import type { ClassQueue, QueuedRequest } from './class-queue.js'
import { ClassQueues } from './class-queues.js'
import { EngineSet } from './engine-set.js'
import type { EngineState } from './engine-state.js'
import { FirstTokenDelay } from './first-token-delay.js'
import { LengthEstimate } from './length-estimate.js'
import { ServiceTime } from './service-time.js'

/** Lower bound of the retry delay that is sent with a refusal, ms. */
const minRetryAfterMs = 250
/** Jitter as a fraction of the retry delay, so that callers do not retry in lockstep. */
const retryJitter = 0.5
/** Quantile of the observed lengths of a class and workspace that serves as the length estimate of a new stream. */
const lengthQuantile = 0.5
/** Time that an interrupted stream is queued for another engine before it is refused, ms. */
const maxResumedWaitMs = 30_000
/** Weight of a prompt token relative to a generated token in the service accounting. */
const promptWeight = 0.25

interface PlacedRequest {
  readonly engine: EngineState
  readonly submission: Submission
}

export class Scheduler {
  #config: SchedulerConfig
  #random: () => number
  #classes = new Map<ClassName, RequestClass>()
  #engines = new EngineSet()
  #queues = new ClassQueues()
  #placed = new Map<RequestId, PlacedRequest>()
  #interactiveTime = new ServiceTime()
  #deferrableTime = new ServiceTime()
  #lengths = new LengthEstimate()
  #firstTokenDelays = new Map<ClassName, FirstTokenDelay>()
  #actions: SchedulerAction[] = []
  #now = 0

  constructor (config: SchedulerConfig, random: () => number) {
    this.#config = config
    this.#random = random
    this.#configure(config)
  }

  /** Applies one event; returns the resulting actions in order. */
  step (event: SchedulerEvent): SchedulerAction[] {
    this.#actions = []
    this.#now = Math.max(this.#now, event.at)
    this.#handle(event)
    return this.#actions
  }

  /** Load summary that is sent to other boxes. */
  get load (): ShardLoad { return sumLoad(this.#engines.listUsable(false), this.#queues.list) }

  /** True if requests are queued; the caller then has to send ticks often. */
  get hasWaiting (): boolean { return this.#queues.size > 0 }

  /** Number of queued requests by class. */
  get queueSizes (): ReadonlyMap<ClassName, number> {
    return new Map(this.#queues.list.map(queue => [queue.class.name, queue.size]))
  }

  /** The engines, for status output. */
  get engines (): readonly EngineState[] { return this.#engines.list }

  #handle (event: SchedulerEvent): void {
    switch (event.type) {
      case 'submit': return this.#submit(event.submission)
      case 'adopt': return this.#adopt(event.submission, event.engine)
      case 'cancel': return this.#cancel(event.request, event.attempt)
      case 'firstToken': return this.#noteFirstToken(event.request, event.attempt)
      case 'end': return this.#end(event)
      case 'report': return this.#report(event.engine, event.report)
      case 'evicted': return this.#engines.find(event.engine)?.prefixes.evict(event.prefixes)
      case 'cacheState': return this.#engines.find(event.engine)?.prefixes.setState(event.state)
      case 'drain': return this.#drain(event.engine, event.leaving)
      case 'boxLost': return this.#releaseBox(event.box)
      case 'configure': return this.#configure(event.config)
      case 'tick': return this.#tick()
      default: return assertNever(event)
    }
  }

  #submit (submission: Submission): void {
    const requestClass = this.#classes.get(submission.class)
    if (requestClass === undefined) return this.#refuse(submission, 'no-engine')
    this.#release(submission.request)
    const engine = this.#engines.choose(submission, requestClass, this.#now)
    if (engine !== undefined && !this.#queues.hasPreceding(submission, requestClass)) return this.#grant(submission, requestClass, engine)
    const refusal = this.#findRefusal(submission, requestClass)
    if (refusal !== undefined) return this.#refuse(submission, refusal)
    this.#queues.push(submission, requestClass, this.#now)
    this.#dispatch()
  }

  #adopt (submission: Submission, id: EngineId): void {
    const engine = this.#engines.find(id)
    const requestClass = this.#classes.get(submission.class)
    if (engine === undefined || requestClass === undefined) return
    this.#release(submission.request)
    this.#place(submission, requestClass, engine)
  }

  #findRefusal (submission: Submission, requestClass: RequestClass): RefusalReason | undefined {
    const places = this.#engines.countPlaces(submission, requestClass.mayWait)
    if (places === 0) return 'no-engine'
    if (submission.resumed) return undefined
    if (requestClass.mayWait) {
      const limit = this.#config.queuePerEngine * this.#engines.list.length
      return this.#queues.getOrCreate(requestClass).size >= limit ? 'queue-full' : undefined
    }
    const ahead = this.#queues.countAhead(submission, requestClass)
    const waitMs = this.#interactiveTime.predictWait(ahead, places) * this.#config.waitMargin
    return this.#now + waitMs + this.#getFirstTokenDelay(requestClass.name).upperMs > submission.deadline ? 'overloaded' : undefined
  }

  #getFirstTokenDelay (name: ClassName): FirstTokenDelay {
    const known = this.#firstTokenDelays.get(name)
    if (known !== undefined) return known
    const created = new FirstTokenDelay()
    this.#firstTokenDelays.set(name, created)
    return created
  }

  #grant (submission: Submission, requestClass: RequestClass, engine: EngineState): void {
    const paused = requestClass.mayWait ? undefined : engine.findStreamToPause(requestClass.priority)
    if (paused !== undefined) this.#emitYield(paused.request, paused.priority, submission, requestClass, engine)
    this.#place(submission, requestClass, engine)
    this.#actions.push({
      type: 'grant',
      box: submission.box,
      request: submission.request,
      attempt: submission.attempt,
      engine: engine.id,
      priority: requestClass.priority
    })
  }

  #emitYield (request: RequestId, priority: number, to: Submission, requestClass: RequestClass, engine: EngineState): void {
    if (priority <= requestClass.priority) this.#violate('yield-to-higher-only', `${request} yields to ${to.request}`)
    this.#actions.push({ type: 'yield', request, engine: engine.id, to: to.request })
  }

  #place (submission: Submission, requestClass: RequestClass, engine: EngineState): void {
    const estimatedTokens = this.#lengths.quantile(requestClass.name, submission.workspace, lengthQuantile)
    engine.add({
      request: submission.request,
      attempt: submission.attempt,
      box: submission.box,
      class: requestClass.name,
      workspace: submission.workspace,
      priority: requestClass.priority,
      mayWait: requestClass.mayWait,
      grantedAt: this.#now,
      estimatedTokens
    })
    engine.prefixes.add(submission.prefix)
    this.#placed.set(submission.request, { engine, submission })
    const service = submission.promptTokens * promptWeight + estimatedTokens
    const queue = this.#queues.getOrCreate(requestClass)
    queue.charge(submission.workspace, service)
    queue.served += service
  }

  /** Assigns free places to queued requests, highest class first. */
  #dispatch (): void {
    for (const peers of this.#queues.listByPriority()) {
      while (this.#dispatchOneOf(peers));
    }
  }

  // Among classes of equal priority, the one that has received the least service goes first.
  #dispatchOneOf (peers: ClassQueue[]): boolean {
    if (peers.length > 1) peers.sort((a, b) => a.served - b.served)
    for (const queue of peers) {
      if (queue.size > 0 && this.#dispatchOne(queue)) return true
    }
    return false
  }

  #dispatchOne (queue: ClassQueue): boolean {
    let engine: EngineState | undefined
    const next = queue.findNext(submission => {
      const found = this.#engines.choose(submission, queue.class, this.#now)
      if (found !== undefined) engine = found
      return found !== undefined
    })
    if (next === undefined || engine === undefined) return false
    this.#queues.remove(next.submission.request)
    this.#grant(next.submission, queue.class, engine)
    return true
  }

  #refuse (submission: Submission, reason: RefusalReason): void {
    const requestClass = this.#classes.get(submission.class)
    const lowerCouldYield = requestClass !== undefined && this.#engines.canPauseLower(submission, requestClass)
    if (lowerCouldYield) this.#violate('no-shed-for-lower', `${submission.request} ${reason}`)
    this.#actions.push({
      type: 'refuse',
      box: submission.box,
      request: submission.request,
      attempt: submission.attempt,
      reason,
      retryAfterMs: this.#predictRetry(submission, requestClass),
      lowerCouldYield
    })
  }

  #predictRetry (submission: Submission, requestClass: RequestClass | undefined): number {
    const mayWait = requestClass?.mayWait ?? false
    const serviceTime = mayWait ? this.#deferrableTime : this.#interactiveTime
    const ahead = requestClass === undefined ? 0 : this.#queues.getOrCreate(requestClass).size
    const predictedMs = serviceTime.predictWait(ahead, this.#engines.countPlaces(submission, mayWait))
    const baseMs = Number.isFinite(predictedMs) ? Math.max(minRetryAfterMs, predictedMs) : serviceTime.meanMs
    return Math.round(baseMs * (1 + retryJitter * this.#random()))
  }

  #cancel (request: RequestId, attempt: number): void {
    const known = this.#queues.findQueued(request) ?? this.#placed.get(request)?.submission
    if (known === undefined || known.attempt > attempt) return
    this.#release(request)
    this.#dispatch()
  }

  #release (request: RequestId): void {
    this.#queues.remove(request)
    const placed = this.#placed.get(request)
    if (placed === undefined) return
    this.#placed.delete(request)
    placed.engine.remove(request)
  }

  #noteFirstToken (request: RequestId, attempt: number): void {
    const placed = this.#placed.get(request)
    if (placed === undefined || placed.submission.attempt !== attempt) return
    this.#engines.noteSuccess(placed.engine, placed.submission.box, this.#now)
    const stream = placed.engine.streams.get(request)
    if (stream !== undefined) this.#getFirstTokenDelay(stream.class).add(this.#now - stream.grantedAt)
  }

  #end ({ request, attempt, how, tokens, backoffMs = 0 }: Extract<SchedulerEvent, { type: 'end' }>): void {
    const placed = this.#placed.get(request)
    if (placed === undefined || placed.submission.attempt !== attempt) return
    this.#placed.delete(request)
    const stream = placed.engine.remove(request)
    if (backoffMs > 0) placed.engine.health.addBackoff(this.#now + backoffMs)
    if (stream === undefined) return
    const serviceMs = this.#now - stream.grantedAt
    const serviceTime = stream.mayWait ? this.#deferrableTime : this.#interactiveTime
    switch (how) {
      case 'done':
        this.#engines.noteSuccess(placed.engine, placed.submission.box, this.#now)
        this.#lengths.add(stream.class, stream.workspace, tokens)
        serviceTime.add(serviceMs)
        this.#queues.find(stream.class)?.charge(stream.workspace, tokens - stream.estimatedTokens)
        break
      case 'engine-failed':
      case 'engine-unreachable':
        placed.engine.health.addFailure(this.#now, placed.submission.box, how === 'engine-unreachable')
        break
      case 'cancelled':
        break
      default: assertNever(how)
    }
    this.#dispatch()
  }

  #report (id: EngineId, report: LoadReport): void {
    const engine = this.#engines.find(id)
    if (engine === undefined) return
    engine.health.addReport(this.#now, report.stepMs)
    engine.hasReportedLeaving = report.leaving
  }

  #drain (id: EngineId, leaving: boolean): void {
    const engine = this.#engines.find(id)
    if (engine === undefined) return
    engine.isDrained = leaving
    this.#dispatch()
  }

  #releaseBox (box: BoxId): void {
    this.#queues.removeByBox(box)
    this.#engines.removeBox(box)
    for (const [request, placed] of [...this.#placed]) {
      if (placed.submission.box === box) this.#release(request)
    }
    this.#dispatch()
  }

  #tick (): void {
    this.#engines.advance(this.#now, this.#config.ejectShare)
    this.#dispatch()
    for (const queue of this.#queues.list) this.#refuseLate(queue)
  }

  #refuseLate (queue: ClassQueue): void {
    if (queue.size === 0) return
    const late = this.#queues.removeWhere(queue, entry => this.#isLate(entry, queue.class))
    for (const submission of late) this.#refuse(submission, 'late')
  }

  #isLate (entry: QueuedRequest, requestClass: RequestClass): boolean {
    if (entry.submission.resumed) return this.#now - entry.enqueuedAt > maxResumedWaitMs
    if (requestClass.mayWait) return this.#now - entry.enqueuedAt > requestClass.maxWaitMs
    return this.#now + this.#getFirstTokenDelay(requestClass.name).upperMs > entry.submission.deadline
  }

  #configure (config: SchedulerConfig): void {
    this.#config = config
    this.#classes = new Map(config.classes.map(one => [one.name, one]))
    this.#engines.configure(config.engines)
    for (const submission of this.#queues.configure(config.classes)) this.#refuse(submission, 'no-engine')
    this.#dispatch()
  }

  #violate (rule: string, detail: string): void {
    this.#actions.push({ type: 'violation', rule, detail })
  }
}

function assertNever (value: never): never {
  throw new Error(`unexpected ${JSON.stringify(value)}`)
}
