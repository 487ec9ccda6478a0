/**
 * Randomised simulations of one scheduler, checked against a naive, obviously
 * correct model. The model tracks only which requests were granted and ended.
 */
import { Scheduler, brandId, defaultTuning } from '../core/index.js'
import type { BoxId, ClassName, EngineId, EngineSpec, ModelName, RequestClass, RequestId, SchedulerAction, SchedulerEvent, Submission, WorkspaceName } from '../core/index.js'
import { createRandom } from '../runtime/index.js'

/** Result of a simulated run. */
export interface SchedulerReport {
  readonly violations: readonly string[]
  readonly submitted: number
  readonly granted: number
  readonly refused: number
  readonly yielded: number
  readonly deferrableFinished: number
}

interface ActiveRequest {
  readonly submission: Submission
  readonly class: RequestClass
  engine: EngineId | null
}

const model = brandId<ModelName>('m')
const places = 3
const floorPlaces = 1

function describeClass (name: string, priority: number, mayWait: boolean): RequestClass {
  return { name: brandId<ClassName>(name), priority, firstTokenMs: mayWait ? 60_000 : 400, betweenTokenMs: 100, wholeMs: null, mayWait, maxWaitMs: 10_000_000 }
}

const classes = [
  describeClass('pitch', 0, false),
  describeClass('ranger', 0, false),
  describeClass('quote', 1, false),
  describeClass('draft', 4, true),
  describeClass('tag', 5, true)
]

export class SchedulerHistory {
  #random: () => number
  #engines: EngineSpec[]
  #leaving = new Set<EngineId>()
  #scheduler: Scheduler
  #active = new Map<RequestId, ActiveRequest>()
  #now = 0
  #counter = 0
  #violations: string[] = []
  #granted = 0
  #refused = 0
  #yielded = 0
  #deferrableFinished = 0

  constructor (seed: number, engines: number) {
    this.#random = createRandom(seed)
    this.#engines = Array.from({ length: engines }, (_, i) => ({ id: brandId<EngineId>(`e${i}`), models: [model], places, floorPlaces, prefillMs: 50 }))
    this.#scheduler = new Scheduler({ ...defaultTuning, queuePerEngine: 1000, classes, engines: this.#engines }, this.#random)
  }

  /** Runs `steps` random steps; then stops submitting and checks that every accepted request is served. */
  run (steps: number): SchedulerReport {
    for (let i = 0; i < steps; i++) this.#runRandomStep()
    this.#drainAll()
    return {
      violations: this.#violations,
      submitted: this.#counter,
      granted: this.#granted,
      refused: this.#refused,
      yielded: this.#yielded,
      deferrableFinished: this.#deferrableFinished
    }
  }

  #runRandomStep (): void {
    const roll = this.#random()
    if (roll < 0.5) return this.#submit()
    if (roll < 0.8) return this.#finishRandomRequest()
    if (roll < 0.83) return this.#cancelRandomRequest()
    if (roll < 0.86) return this.#toggleDrain()
    if (roll < 0.88) return this.#reportEngine()
    if (roll < 0.89) return this.#sendStaleEnd()
    this.#advanceTime(this.#random() * 40)
  }

  #submit (): void {
    this.#counter += 1
    // Mostly interactive load: three of four requests are of classes that may not wait.
    const requestClass = classes[this.#random() < 0.75 ? Math.floor(this.#random() * 3) : 3 + Math.floor(this.#random() * 2)]
    const submission: Submission = {
      request: brandId<RequestId>(`r${this.#counter}`),
      attempt: 1,
      box: brandId<BoxId>(`b${Math.floor(this.#random() * 3)}`),
      class: requestClass.name,
      workspace: brandId<WorkspaceName>(`w${Math.floor(this.#random() * 4)}`),
      model,
      promptTokens: 100,
      prefix: null,
      deadline: this.#now + requestClass.firstTokenMs,
      exclude: [],
      resumed: false
    }
    this.#active.set(submission.request, { submission, class: requestClass, engine: null })
    this.#step({ type: 'submit', at: this.#now, submission })
  }

  #finishRandomRequest (): void {
    const running = [...this.#active.values()].filter(held => held.engine !== null)
    if (running.length === 0) return
    const { submission, class: requestClass } = running[Math.floor(this.#random() * running.length)]
    this.#active.delete(submission.request)
    if (requestClass.mayWait) this.#deferrableFinished += 1
    this.#step({ type: 'end', at: this.#now, request: submission.request, attempt: 1, how: 'done', tokens: 20 })
  }

  #cancelRandomRequest (): void {
    const all = [...this.#active.values()]
    if (all.length === 0) return
    const { submission } = all[Math.floor(this.#random() * all.length)]
    this.#active.delete(submission.request)
    this.#step({ type: 'cancel', at: this.#now, request: submission.request, attempt: 1 })
  }

  #toggleDrain (): void {
    const { id } = this.#engines[Math.floor(this.#random() * this.#engines.length)]
    const leaving = !this.#leaving.has(id) && this.#leaving.size < this.#engines.length - 1
    if (leaving) this.#leaving.add(id)
    else this.#leaving.delete(id)
    this.#step({ type: 'drain', at: this.#now, engine: id, leaving })
  }

  #reportEngine (): void {
    const { id } = this.#engines[Math.floor(this.#random() * this.#engines.length)]
    this.#step({ type: 'report', at: this.#now, engine: id, report: { running: 0, waiting: 0, kvUsed: 0, stepMs: 30, leaving: false } })
  }

  // The end of a stale attempt must be ignored.
  #sendStaleEnd (): void {
    const all = [...this.#active.values()]
    if (all.length === 0) return
    const { submission } = all[Math.floor(this.#random() * all.length)]
    this.#step({ type: 'end', at: this.#now, request: submission.request, attempt: 0, how: 'done', tokens: 1 })
  }

  #advanceTime (ms: number): void {
    this.#now += ms
    this.#step({ type: 'tick', at: this.#now })
  }

  #step (event: SchedulerEvent): void {
    for (const action of this.#scheduler.step(event)) this.#handleAction(action)
  }

  #handleAction (action: SchedulerAction): void {
    switch (action.type) {
      case 'grant': return this.#checkGrant(action.request, action.engine)
      case 'refuse': return this.#checkRefusal(action.request)
      case 'yield': return this.#checkYield(action.request, action.to)
      case 'violation': return this.#reportViolation(`${action.rule}: ${action.detail}`)
    }
  }

  #checkGrant (request: RequestId, engine: EngineId): void {
    this.#granted += 1
    const held = this.#active.get(request)
    if (held === undefined) return this.#reportViolation(`granted ${request}, which is not pending`)
    if (held.engine !== null) return this.#reportViolation(`granted ${request} twice`)
    if (this.#leaving.has(engine)) this.#reportViolation(`granted ${request} on ${engine}, which is leaving`)
    const running = this.#listRunning(engine)
    const urgentCount = running.filter(other => other.class.priority <= held.class.priority).length
    if (held.class.mayWait && running.length >= places + floorPlaces) this.#reportViolation(`granted ${request} on a full engine`)
    if (!held.class.mayWait && urgentCount >= places) this.#reportViolation(`granted ${request} beyond the capacity for its class`)
    held.engine = engine
  }

  // A request that may not wait is refused only if no engine could run it.
  #checkRefusal (request: RequestId): void {
    this.#refused += 1
    const held = this.#active.get(request)
    if (held === undefined) return this.#reportViolation(`refused ${request}, which is not pending`)
    this.#active.delete(request)
    if (held.class.mayWait) return this.#reportViolation(`refused ${request}, whose class may wait`)
    for (const { id } of this.#engines) {
      if (this.#leaving.has(id)) continue
      const running = this.#listRunning(id)
      const lessUrgent = running.filter(other => other.class.priority > held.class.priority)
      const urgentCount = running.length - lessUrgent.length
      if (lessUrgent.length > 0 && urgentCount < places && running.length < 2 * (places + floorPlaces)) this.#reportViolation(`refused ${request} while ${id} runs less urgent requests`)
    }
  }

  #checkYield (request: RequestId, to: RequestId): void {
    this.#yielded += 1
    const paused = this.#active.get(request)
    const higher = this.#active.get(to)
    if (paused === undefined || higher === undefined) return this.#reportViolation(`${request} yields to ${to}, but one of them is unknown`)
    if (paused.class.priority <= higher.class.priority) this.#reportViolation(`${request} (${paused.class.name}) yields to ${to} (${higher.class.name})`)
  }

  #listRunning (engine: EngineId): ActiveRequest[] {
    return [...this.#active.values()].filter(held => held.engine === engine)
  }

  // Submission has stopped; every remaining request must be served.
  #drainAll (): void {
    for (const id of [...this.#leaving]) {
      this.#leaving.delete(id)
      this.#step({ type: 'drain', at: this.#now, engine: id, leaving: false })
    }
    for (let i = 0; i < 20_000 && this.#active.size > 0; i++) {
      this.#finishRandomRequest()
      this.#advanceTime(20)
    }
    if (this.#active.size > 0) this.#reportViolation(`${this.#active.size} accepted requests were never served`)
  }

  #reportViolation (text: string): void {
    if (this.#violations.length < 20) this.#violations.push(text)
  }
}
