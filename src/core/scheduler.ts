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
import type { EngineSpec, SchedulerConfig } from './scheduler-config.js'
import type { RefusalReason, SchedulerAction } from './scheduler-action.js'
import type { LoadReport, SchedulerEvent, StreamEnd } from './scheduler-event.js'
import type { Submission } from './submission.js'
import type { ShardLoad } from './shard-load.js'
import { ClassQueue } from './class-queue.js'
import type { Waiting } from './class-queue.js'
import { EngineState } from './engine-state.js'
import { LeadTime } from './lead-time.js'
import { LengthEstimate } from './length-estimate.js'
import { ServiceRate } from './service-rate.js'
import { findSlow } from './slow-engines.js'

const slowCheckMs = 1000
const leastRetryAfterMs = 250
const jitterShare = 0.5
const pausePenaltyMs = 15
const streamPenaltyMs = 1
const silentPenaltyMs = 200
const guessShare = 0.5
const resumedWaitMs = 30_000
const promptWeight = 0.25

interface Placed {
  readonly engine: EngineState
  readonly submission: Submission
}

export class Scheduler {
  #config: SchedulerConfig
  #random: () => number
  #classes = new Map<ClassName, RequestClass>()
  #engines = new Map<EngineId, EngineState>()
  #list: EngineState[] = []
  #queues: ClassQueue[] = []
  #waiting = new Map<RequestId, Submission>()
  #placed = new Map<RequestId, Placed>()
  #quickRate = new ServiceRate()
  #patientRate = new ServiceRate()
  #lengths = new LengthEstimate()
  #leads = new Map<ClassName, LeadTime>()
  #slowCheckAt = 0
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
  get load (): ShardLoad {
    let places = 0
    let quick = 0
    let patient = 0
    for (const engine of this.#list) {
      if (!this.#isUsable(engine, false)) continue
      places += engine.spec.places
      quick += engine.quick
      patient += engine.load - engine.quick
    }
    let queued = 0
    let queuedPatient = 0
    for (const queue of this.#queues) {
      if (queue.class.mayWait) queuedPatient += queue.size
      else queued += queue.size
    }
    return { places, quick, patient, queued, queuedPatient }
  }

  /** True where requests wait, so that ticks must come often. */
  get hasWaiting (): boolean { return this.#waiting.size > 0 }

  /** Requests waiting, by class. */
  get queueSizes (): ReadonlyMap<ClassName, number> {
    return new Map(this.#queues.map(queue => [queue.class.name, queue.size]))
  }

  /** The engines, for status pages. */
  get engines (): readonly EngineState[] { return this.#list }

  #handle (event: SchedulerEvent): void {
    switch (event.type) {
      case 'submit': return this.#submit(event.submission)
      case 'adopt': return this.#adopt(event.submission, event.engine)
      case 'cancel': return this.#cancel(event.request, event.attempt)
      case 'firstToken': return this.#noteFirstToken(event.request, event.attempt)
      case 'end': return this.#end(event.request, event.attempt, event.how, event.tokens)
      case 'report': return this.#report(event.engine, event.report)
      case 'evicted': return this.#engines.get(event.engine)?.prefixes.evict(event.prefixes)
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
    if (this.#waiting.has(submission.request) || this.#placed.has(submission.request)) {
      this.#forget(submission.request)
    }
    const engine = this.#choose(submission, wanted)
    if (engine !== undefined && !this.#isOvertaking(submission, wanted)) {
      return this.#grant(submission, wanted, engine)
    }
    const refusal = this.#findRefusal(submission, wanted)
    if (refusal !== undefined) return this.#refuse(submission, refusal)
    this.#enqueue(submission, wanted)
    this.#dispatch()
  }

  #adopt (submission: Submission, id: EngineId): void {
    const engine = this.#engines.get(id)
    const wanted = this.#classes.get(submission.class)
    if (engine === undefined || wanted === undefined) return
    this.#forget(submission.request)
    this.#place(submission, wanted, engine)
  }

  // Requests of the same or a higher class that wait already go first.
  #isOvertaking (submission: Submission, wanted: RequestClass): boolean {
    for (const queue of this.#queues) {
      if (queue.size === 0) continue
      if (queue.class.priority > wanted.priority) return false
      if (queue.findNext(other => other.model === submission.model) !== undefined) return true
    }
    return false
  }

  #findRefusal (submission: Submission, wanted: RequestClass): RefusalReason | undefined {
    const places = this.#countPlaces(submission, wanted.mayWait)
    if (places === 0) return 'no-engine'
    if (submission.resumed) return undefined
    if (wanted.mayWait) {
      const limit = this.#config.queuePerEngine * this.#list.length
      return this.#openQueue(wanted).size >= limit ? 'queue-full' : undefined
    }
    const ahead = this.#countAhead(submission, wanted)
    const waitMs = this.#quickRate.predictWait(ahead, places) * this.#config.waitMargin
    return this.#now + waitMs + this.#openLead(wanted.name).safeMs > submission.deadline ? 'overloaded' : undefined
  }

  // Classes of one priority take turns, so each is refused for its own excess.
  #countAhead (submission: Submission, wanted: RequestClass): number {
    const own = this.#openQueue(wanted).countBefore(submission.workspace)
    let ahead = own
    for (const queue of this.#queues) {
      if (queue.class === wanted || queue.class.mayWait || queue.class.priority > wanted.priority) continue
      ahead += queue.class.priority < wanted.priority ? queue.size : Math.min(queue.size, own + 1)
    }
    return ahead
  }

  #countPlaces (submission: Submission, mayWait: boolean): number {
    let places = 0
    for (const engine of this.#list) {
      if (!this.#canServe(engine, submission, mayWait)) continue
      places += engine.spec.places + (mayWait ? engine.spec.floorPlaces : 0)
    }
    return places
  }

  #openLead (name: ClassName): LeadTime {
    const known = this.#leads.get(name)
    if (known !== undefined) return known
    const made = new LeadTime()
    this.#leads.set(name, made)
    return made
  }

  #canServe (engine: EngineState, submission: Submission, mayWait: boolean): boolean {
    if (!this.#isUsable(engine, mayWait)) return false
    if (!engine.spec.models.includes(submission.model)) return false
    return submission.exclude.length === 0 || !submission.exclude.includes(engine.id)
  }

  // A slow engine is kept for requests that may wait.
  #isUsable (engine: EngineState, mayWait: boolean): boolean {
    if (engine.leaving || engine.health.state === 'out') return false
    if (engine.health.state === 'probing' && engine.load > 0) return false
    return mayWait || !engine.health.slow
  }

  #choose (submission: Submission, wanted: RequestClass): EngineState | undefined {
    let best: EngineState | undefined
    let bestCost = Infinity
    for (const engine of this.#list) {
      if (!engine.hasPlace(wanted.priority, wanted.mayWait)) continue
      if (!this.#canServe(engine, submission, wanted.mayWait)) continue
      const cost = this.#estimateCost(engine, submission)
      if (cost < bestCost) {
        best = engine
        bestCost = cost
      }
    }
    return best
  }

  /** Expected delay of the first token at this engine, ms. */
  #estimateCost (engine: EngineState, submission: Submission): number {
    const cached = engine.prefixes.expect(submission.prefix)
    const prefill = submission.promptTokens * (1 - cached) * engine.spec.prefillMs / 1000
    const pausing = engine.load >= engine.batchLimit ? pausePenaltyMs : 0
    const step = engine.health.tokenMs ?? 0
    const silent = engine.health.isSilent(this.#now) ? silentPenaltyMs : 0
    return prefill + pausing + step + engine.load * streamPenaltyMs + silent
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
    const queue = this.#openQueue(wanted)
    queue.charge(submission.workspace, service)
    queue.served += service
  }

  #enqueue (submission: Submission, wanted: RequestClass): void {
    const queue = this.#openQueue(wanted)
    if (queue.size === 0) queue.served = Math.max(queue.served, this.#findLeastServed(wanted.priority))
    queue.push(submission, this.#now)
    this.#waiting.set(submission.request, submission)
  }

  // A class that comes back after idling is not owed for the idle time.
  #findLeastServed (priority: number): number {
    let least = Infinity
    for (const queue of this.#queues) {
      if (queue.size > 0 && queue.class.priority === priority) least = Math.min(least, queue.served)
    }
    return least === Infinity ? 0 : least
  }

  /** Gives free places to waiting requests, highest class first. */
  #dispatch (): void {
    for (let from = 0; from < this.#queues.length;) {
      let until = from + 1
      while (until < this.#queues.length && this.#queues[until].class.priority === this.#queues[from].class.priority) until += 1
      const peers = this.#queues.slice(from, until)
      while (this.#dispatchOneOf(peers));
      from = until
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
      const found = this.#choose(submission, queue.class)
      if (found !== undefined) engine = found
      return found !== undefined
    })
    if (next === undefined || engine === undefined) return false
    this.#take(queue, next)
    this.#grant(next.submission, queue.class, engine)
    return true
  }

  #take (queue: ClassQueue, entry: Waiting): void {
    queue.remove(entry.submission.workspace, entry.submission.request)
    this.#waiting.delete(entry.submission.request)
  }

  #refuse (submission: Submission, reason: RefusalReason): void {
    const wanted = this.#classes.get(submission.class)
    const lowerCouldYield = wanted !== undefined && this.#couldYield(submission, wanted)
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

  // The naive form of the precedence rule, on purpose apart from `#choose`.
  #couldYield (submission: Submission, wanted: RequestClass): boolean {
    if (wanted.mayWait) return false
    for (const engine of this.#list) {
      if (!this.#canServe(engine, submission, false)) continue
      let same = 0
      let lower = 0
      for (const stream of engine.streams.values()) {
        if (stream.priority <= wanted.priority) same += 1
        else lower += 1
      }
      if (lower > 0 && same < engine.spec.places && engine.hasPlace(wanted.priority, false)) return true
    }
    return false
  }

  #predictRetry (submission: Submission, wanted: RequestClass | undefined): number {
    const mayWait = wanted?.mayWait ?? false
    const rate = mayWait ? this.#patientRate : this.#quickRate
    const ahead = wanted === undefined ? 0 : this.#openQueue(wanted).size
    const wait = rate.predictWait(ahead, this.#countPlaces(submission, mayWait))
    const base = Number.isFinite(wait) ? Math.max(leastRetryAfterMs, wait) : rate.meanMs
    return Math.round(base * (1 + jitterShare * this.#random()))
  }

  #cancel (request: RequestId, attempt: number): void {
    const known = this.#waiting.get(request) ?? this.#placed.get(request)?.submission
    if (known === undefined || known.attempt > attempt) return
    this.#forget(request)
    this.#dispatch()
  }

  #forget (request: RequestId): void {
    const submission = this.#waiting.get(request)
    if (submission !== undefined) {
      this.#waiting.delete(request)
      this.#findQueue(submission.class)?.remove(submission.workspace, request)
    }
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

  #end (request: RequestId, attempt: number, how: StreamEnd, tokens: number): void {
    const placed = this.#placed.get(request)
    if (placed === undefined || placed.submission.attempt !== attempt) return
    this.#placed.delete(request)
    const stream = placed.engine.remove(request)
    if (stream === undefined) return
    const heldMs = this.#now - stream.grantedAt
    const rate = stream.mayWait ? this.#patientRate : this.#quickRate
    switch (how) {
      case 'done':
        placed.engine.health.addSuccess()
        this.#lengths.add(stream.class, stream.workspace, tokens)
        rate.add(heldMs)
        this.#findQueue(stream.class)?.charge(stream.workspace, tokens - stream.estimatedTokens)
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
    const engine = this.#engines.get(id)
    if (engine === undefined) return
    engine.health.addReport(this.#now, report.stepMs)
    engine.saysLeaving = report.leaving
  }

  #drain (id: EngineId, leaving: boolean): void {
    const engine = this.#engines.get(id)
    if (engine === undefined) return
    engine.drained = leaving
    this.#dispatch()
  }

  #loseBox (box: BoxId): void {
    for (const [request, submission] of [...this.#waiting]) {
      if (submission.box === box) this.#forget(request)
    }
    for (const [request, placed] of [...this.#placed]) {
      if (placed.submission.box === box) this.#forget(request)
    }
    this.#dispatch()
  }

  #tick (): void {
    for (const engine of this.#list) engine.health.advance(this.#now)
    if (this.#now >= this.#slowCheckAt) {
      this.#slowCheckAt = this.#now + slowCheckMs
      findSlow(this.#list, this.#config.ejectShare)
    }
    this.#dispatch()
    for (const queue of this.#queues) this.#dropLate(queue)
  }

  #dropLate (queue: ClassQueue): void {
    if (queue.size === 0) return
    const late = queue.collect(entry => this.#isLate(entry, queue.class))
    for (const entry of late) {
      this.#take(queue, entry)
      this.#refuse(entry.submission, 'late')
    }
  }

  #isLate (entry: Waiting, of: RequestClass): boolean {
    if (entry.submission.resumed) return this.#now - entry.since > resumedWaitMs
    if (of.mayWait) return this.#now - entry.since > of.maxWaitMs
    return this.#now + this.#openLead(of.name).safeMs > entry.submission.deadline
  }

  #configure (config: SchedulerConfig): void {
    this.#config = config
    this.#classes = new Map(config.classes.map(one => [one.name, one]))
    this.#syncEngines(config.engines)
    const old = this.#queues
    this.#queues = []
    for (const one of [...config.classes].sort((a, b) => a.priority - b.priority)) {
      this.#queues.push(new ClassQueue(one))
    }
    for (const queue of old) this.#requeue(queue)
    this.#dispatch()
  }

  #requeue (old: ClassQueue): void {
    for (const entry of old.collect(() => true)) {
      const queue = this.#findQueue(old.class.name)
      if (queue === undefined) {
        this.#waiting.delete(entry.submission.request)
        this.#refuse(entry.submission, 'no-engine')
      } else {
        queue.push(entry.submission, entry.since)
      }
    }
    this.#findQueue(old.class.name)?.inherit(old)
  }

  #syncEngines (specs: readonly EngineSpec[]): void {
    const kept = new Map<EngineId, EngineState>()
    for (const spec of specs) {
      const known = this.#engines.get(spec.id) ?? new EngineState(spec)
      known.spec = spec
      kept.set(spec.id, known)
    }
    this.#engines = kept
    this.#list = [...kept.values()]
  }

  #findQueue (name: ClassName): ClassQueue | undefined {
    return this.#queues.find(queue => queue.class.name === name)
  }

  #openQueue (of: RequestClass): ClassQueue {
    const queue = this.#findQueue(of.name)
    if (queue !== undefined) return queue
    const made = new ClassQueue(of)
    this.#queues.push(made)
    return made
  }

  #violate (rule: string, detail: string): void {
    this.#actions.push({ type: 'violation', rule, detail })
  }
}

function assertNever (value: never): never {
  throw new Error(`unexpected ${JSON.stringify(value)}`)
}
