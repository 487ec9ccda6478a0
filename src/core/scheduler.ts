/**
 * The decision core: which engine takes a request, what waits, what is refused.
 * One scheduler decides for one shard of engines, on behalf of all boxes.
 * Events go in through `step`, typed actions come out; time and randomness are
 * arguments. State is private and changed only in `step`.
 *
 * The precedence rule, checked at every refusal and every yield:
 * 1. A request of a class that may not wait is refused only if no engine of
 *    the shard could run it by pausing streams of lower classes.
 * 2. A stream is paused only for a request of a higher class.
 * 3. Requests that may wait use `floorPlaces`, which no other request can use,
 *    and whatever places are free. A stream of theirs is paused, never lost.
 */
import type { BoxId, ClassName, EngineId, RequestId } from './ids.js'
import type { RequestClass } from './request-class.js'
import type { SchedulerConfig } from './scheduler-config.js'
import type { RefusalReason, SchedulerAction } from './scheduler-action.js'
import type { LoadReport, SchedulerEvent } from './scheduler-event.js'
import type { Submission } from './submission.js'
import { sumLoad } from './shard-load.js'
import type { ShardLoad } from './shard-load.js'
import type { ClassQueue, Waiting } from './class-queue.js'
import { ClassQueues } from './class-queues.js'
import { EngineSet } from './engine-set.js'
import type { EngineState } from './engine-state.js'
import { LeadTime } from './lead-time.js'
import { LengthEstimate } from './length-estimate.js'
import { ServiceRate } from './service-rate.js'

/** Least time after which a refused request is asked to come back, ms. */
const leastRetryAfterMs = 250
/** Part by which that time is spread, so that callers don't come back together. */
const jitterShare = 0.5
/** A stream is guessed to be as long as the middle one of its class and workspace. */
const guessShare = 0.5
/** A stream that was cut waits at most so long for another engine, ms. */
const resumedWaitMs = 30_000
/** What a prompt token counts beside a token written, in service received. */
const promptWeight = 0.25

interface Placed {
  readonly engine: EngineState
  readonly submission: Submission
}

export class Scheduler {
  #config: SchedulerConfig
  #random: () => number
  #classes = new Map<ClassName, RequestClass>()
  #engines = new EngineSet()
  #queues = new ClassQueues()
  #placed = new Map<RequestId, Placed>()
  #quickRate = new ServiceRate()
  #patientRate = new ServiceRate()
  #lengths = new LengthEstimate()
  #leads = new Map<ClassName, LeadTime>()
  #actions: SchedulerAction[] = []
  #now = 0

  constructor (config: SchedulerConfig, random: () => number) {
    this.#config = config
    this.#random = random
    this.#configure(config)
  }

  /** Takes one event and returns what is to be done, in order. */
  step (event: SchedulerEvent): SchedulerAction[] {
    this.#actions = []
    this.#now = Math.max(this.#now, event.at)
    this.#handle(event)
    return this.#actions
  }

  /** What other boxes need to know of this shard. */
  get load (): ShardLoad { return sumLoad(this.#engines.listUsable(false), this.#queues.list) }

  /** True where requests wait, so that ticks must come often. */
  get hasWaiting (): boolean { return this.#queues.waiting > 0 }

  /** Requests waiting, by class. */
  get queueSizes (): ReadonlyMap<ClassName, number> {
    return new Map(this.#queues.list.map(queue => [queue.class.name, queue.size]))
  }

  /** The engines, for status pages. */
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
      case 'drain': return this.#drain(event.engine, event.leaving)
      case 'boxLost': return this.#loseBox(event.box)
      case 'configure': return this.#configure(event.config)
      case 'tick': return this.#tick()
      default: return assertNever(event)
    }
  }

  #submit (submission: Submission): void {
    const wanted = this.#classes.get(submission.class)
    if (wanted === undefined) return this.#refuse(submission, 'no-engine')
    this.#forget(submission.request)
    const engine = this.#engines.choose(submission, wanted, this.#now)
    if (engine !== undefined && !this.#queues.hasBefore(submission, wanted)) return this.#grant(submission, wanted, engine)
    const refusal = this.#findRefusal(submission, wanted)
    if (refusal !== undefined) return this.#refuse(submission, refusal)
    this.#queues.push(submission, wanted, this.#now)
    this.#dispatch()
  }

  #adopt (submission: Submission, id: EngineId): void {
    const engine = this.#engines.find(id)
    const wanted = this.#classes.get(submission.class)
    if (engine === undefined || wanted === undefined) return
    this.#forget(submission.request)
    this.#place(submission, wanted, engine)
  }

  #findRefusal (submission: Submission, wanted: RequestClass): RefusalReason | undefined {
    const places = this.#engines.countPlaces(submission, wanted.mayWait)
    if (places === 0) return 'no-engine'
    if (submission.resumed) return undefined
    if (wanted.mayWait) {
      const limit = this.#config.queuePerEngine * this.#engines.list.length
      return this.#queues.open(wanted).size >= limit ? 'queue-full' : undefined
    }
    const ahead = this.#queues.countAhead(submission, wanted)
    const waitMs = this.#quickRate.predictWait(ahead, places) * this.#config.waitMargin
    return this.#now + waitMs + this.#openLead(wanted.name).safeMs > submission.deadline ? 'overloaded' : undefined
  }

  #openLead (name: ClassName): LeadTime {
    const known = this.#leads.get(name)
    if (known !== undefined) return known
    const made = new LeadTime()
    this.#leads.set(name, made)
    return made
  }

  #grant (submission: Submission, wanted: RequestClass, engine: EngineState): void {
    const yielding = wanted.mayWait ? undefined : engine.findYielding(wanted.priority)
    if (yielding !== undefined) this.#noteYield(yielding.request, yielding.priority, submission, wanted, engine)
    this.#place(submission, wanted, engine)
    this.#actions.push({
      type: 'grant',
      box: submission.box,
      request: submission.request,
      attempt: submission.attempt,
      engine: engine.id,
      priority: wanted.priority
    })
  }

  #noteYield (request: RequestId, priority: number, to: Submission, wanted: RequestClass, engine: EngineState): void {
    if (priority <= wanted.priority) this.#violate('yield-to-higher-only', `${request} yields to ${to.request}`)
    this.#actions.push({ type: 'yield', request, engine: engine.id, to: to.request })
  }

  #place (submission: Submission, wanted: RequestClass, engine: EngineState): void {
    const estimatedTokens = this.#lengths.quantile(wanted.name, submission.workspace, guessShare)
    engine.add({
      request: submission.request,
      attempt: submission.attempt,
      box: submission.box,
      class: wanted.name,
      workspace: submission.workspace,
      priority: wanted.priority,
      mayWait: wanted.mayWait,
      grantedAt: this.#now,
      estimatedTokens
    })
    engine.prefixes.add(submission.prefix)
    this.#placed.set(submission.request, { engine, submission })
    const service = submission.promptTokens * promptWeight + estimatedTokens
    const queue = this.#queues.open(wanted)
    queue.charge(submission.workspace, service)
    queue.served += service
  }

  /** Gives free places to waiting requests, highest class first. */
  #dispatch (): void {
    for (const peers of this.#queues.listByPriority()) {
      while (this.#dispatchOneOf(peers));
    }
  }

  // Among classes of one priority, the least served goes first.
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
    const wanted = this.#classes.get(submission.class)
    const lowerCouldYield = wanted !== undefined && this.#engines.couldYield(submission, wanted)
    if (lowerCouldYield) this.#violate('no-shed-for-lower', `${submission.request} ${reason}`)
    this.#actions.push({
      type: 'refuse',
      box: submission.box,
      request: submission.request,
      attempt: submission.attempt,
      reason,
      retryAfterMs: this.#predictRetry(submission, wanted),
      lowerCouldYield
    })
  }

  #predictRetry (submission: Submission, wanted: RequestClass | undefined): number {
    const mayWait = wanted?.mayWait ?? false
    const rate = mayWait ? this.#patientRate : this.#quickRate
    const ahead = wanted === undefined ? 0 : this.#queues.open(wanted).size
    const wait = rate.predictWait(ahead, this.#engines.countPlaces(submission, mayWait))
    const base = Number.isFinite(wait) ? Math.max(leastRetryAfterMs, wait) : rate.meanMs
    return Math.round(base * (1 + jitterShare * this.#random()))
  }

  #cancel (request: RequestId, attempt: number): void {
    const known = this.#queues.findWaiting(request) ?? this.#placed.get(request)?.submission
    if (known === undefined || known.attempt > attempt) return
    this.#forget(request)
    this.#dispatch()
  }

  #forget (request: RequestId): void {
    this.#queues.remove(request)
    const placed = this.#placed.get(request)
    if (placed === undefined) return
    this.#placed.delete(request)
    placed.engine.remove(request)
  }

  #noteFirstToken (request: RequestId, attempt: number): void {
    const placed = this.#placed.get(request)
    if (placed === undefined || placed.submission.attempt !== attempt) return
    placed.engine.health.addSuccess()
    const stream = placed.engine.streams.get(request)
    if (stream !== undefined) this.#openLead(stream.class).add(this.#now - stream.grantedAt)
  }

  #end ({ request, attempt, how, tokens, backoffMs = 0 }: Extract<SchedulerEvent, { type: 'end' }>): void {
    const placed = this.#placed.get(request)
    if (placed === undefined || placed.submission.attempt !== attempt) return
    this.#placed.delete(request)
    const stream = placed.engine.remove(request)
    if (backoffMs > 0) placed.engine.health.addBackoff(this.#now + backoffMs)
    if (stream === undefined) return
    const heldMs = this.#now - stream.grantedAt
    const rate = stream.mayWait ? this.#patientRate : this.#quickRate
    switch (how) {
      case 'done':
        placed.engine.health.addSuccess()
        this.#lengths.add(stream.class, stream.workspace, tokens)
        rate.add(heldMs)
        this.#queues.find(stream.class)?.charge(stream.workspace, tokens - stream.estimatedTokens)
        break
      case 'engine-failed':
        placed.engine.health.addFailure(this.#now)
        break
      case 'engine-unreachable':
        placed.engine.health.addRefusal(this.#now)
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
    engine.saysLeaving = report.leaving
  }

  #drain (id: EngineId, leaving: boolean): void {
    const engine = this.#engines.find(id)
    if (engine === undefined) return
    engine.drained = leaving
    this.#dispatch()
  }

  #loseBox (box: BoxId): void {
    this.#queues.removeOf(box)
    for (const [request, placed] of [...this.#placed]) {
      if (placed.submission.box === box) this.#forget(request)
    }
    this.#dispatch()
  }

  #tick (): void {
    this.#engines.advance(this.#now, this.#config.ejectShare)
    this.#dispatch()
    for (const queue of this.#queues.list) this.#dropLate(queue)
  }

  #dropLate (queue: ClassQueue): void {
    if (queue.size === 0) return
    const late = this.#queues.takeAll(queue, entry => this.#isLate(entry, queue.class))
    for (const submission of late) this.#refuse(submission, 'late')
  }

  #isLate (entry: Waiting, of: RequestClass): boolean {
    if (entry.submission.resumed) return this.#now - entry.since > resumedWaitMs
    if (of.mayWait) return this.#now - entry.since > of.maxWaitMs
    return this.#now + this.#openLead(of.name).safeMs > entry.submission.deadline
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
