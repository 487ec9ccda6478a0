/**
 * Randomised histories of one scheduler, beside a naive and obviously right
 * model of what it may do. The model knows only what was granted and ended.
 */
import { Scheduler, brandId, defaultTuning } from '../core/index.js'
import type { BoxId, ClassName, EngineId, EngineSpec, ModelName, RequestClass, RequestId, SchedulerAction, SchedulerEvent, Submission, WorkspaceName } from '../core/index.js'
import { createRandom } from '../runtime/index.js'

/** What a history found. */
export interface SchedulerReport {
  readonly violations: readonly string[]
  readonly submitted: number
  readonly granted: number
  readonly refused: number
  readonly yielded: number
  readonly patientFinished: number
}

interface Held {
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
  #held = new Map<RequestId, Held>()
  #now = 0
  #counter = 0
  #violations: string[] = []
  #granted = 0
  #refused = 0
  #yielded = 0
  #patientFinished = 0

  constructor (seed: number, engines: number) {
    this.#random = createRandom(seed)
    this.#engines = Array.from({ length: engines }, (_, i) => ({ id: brandId<EngineId>(`e${i}`), models: [model], places, floorPlaces, prefillMs: 50 }))
    this.#scheduler = new Scheduler({ ...defaultTuning, queuePerEngine: 1000, classes, engines: this.#engines }, this.#random)
  }

  /** Does `steps` random things; then ends the burst and checks that all that was accepted is served. */
  run (steps: number): SchedulerReport {
    for (let i = 0; i < steps; i++) this.#doOne()
    this.#drain()
    return {
      violations: this.#violations,
      submitted: this.#counter,
      granted: this.#granted,
      refused: this.#refused,
      yielded: this.#yielded,
      patientFinished: this.#patientFinished
    }
  }

  #doOne (): void {
    const dice = this.#random()
    if (dice < 0.5) return this.#submit()
    if (dice < 0.8) return this.#endOne()
    if (dice < 0.83) return this.#cancelOne()
    if (dice < 0.86) return this.#toggleDrain()
    if (dice < 0.88) return this.#report()
    if (dice < 0.89) return this.#sayLateWord()
    this.#passTime(this.#random() * 40)
  }

  #submit (): void {
    this.#counter += 1
    // A burst of quick requests: three of four are of classes that may not wait.
    const wanted = classes[this.#random() < 0.75 ? Math.floor(this.#random() * 3) : 3 + Math.floor(this.#random() * 2)]
    const submission: Submission = {
      request: brandId<RequestId>(`r${this.#counter}`),
      attempt: 1,
      box: brandId<BoxId>(`b${Math.floor(this.#random() * 3)}`),
      class: wanted.name,
      workspace: brandId<WorkspaceName>(`w${Math.floor(this.#random() * 4)}`),
      model,
      promptTokens: 100,
      prefix: null,
      deadline: this.#now + wanted.firstTokenMs,
      exclude: [],
      resumed: false
    }
    this.#held.set(submission.request, { submission, class: wanted, engine: null })
    this.#step({ type: 'submit', at: this.#now, submission })
  }

  #endOne (): void {
    const running = [...this.#held.values()].filter(held => held.engine !== null)
    if (running.length === 0) return
    const { submission, class: wanted } = running[Math.floor(this.#random() * running.length)]
    this.#held.delete(submission.request)
    if (wanted.mayWait) this.#patientFinished += 1
    this.#step({ type: 'end', at: this.#now, request: submission.request, attempt: 1, how: 'done', tokens: 20 })
  }

  #cancelOne (): void {
    const all = [...this.#held.values()]
    if (all.length === 0) return
    const { submission } = all[Math.floor(this.#random() * all.length)]
    this.#held.delete(submission.request)
    this.#step({ type: 'cancel', at: this.#now, request: submission.request, attempt: 1 })
  }

  #toggleDrain (): void {
    const { id } = this.#engines[Math.floor(this.#random() * this.#engines.length)]
    const leaving = !this.#leaving.has(id) && this.#leaving.size < this.#engines.length - 1
    if (leaving) this.#leaving.add(id)
    else this.#leaving.delete(id)
    this.#step({ type: 'drain', at: this.#now, engine: id, leaving })
  }

  #report (): void {
    const { id } = this.#engines[Math.floor(this.#random() * this.#engines.length)]
    this.#step({ type: 'report', at: this.#now, engine: id, report: { running: 0, waiting: 0, kvUsed: 0, stepMs: 30, leaving: false } })
  }

  // Word of an attempt that is over must change nothing.
  #sayLateWord (): void {
    const all = [...this.#held.values()]
    if (all.length === 0) return
    const { submission } = all[Math.floor(this.#random() * all.length)]
    this.#step({ type: 'end', at: this.#now, request: submission.request, attempt: 0, how: 'done', tokens: 1 })
  }

  #passTime (ms: number): void {
    this.#now += ms
    this.#step({ type: 'tick', at: this.#now })
  }

  #step (event: SchedulerEvent): void {
    for (const action of this.#scheduler.step(event)) this.#take(action)
  }

  #take (action: SchedulerAction): void {
    switch (action.type) {
      case 'grant': return this.#checkGrant(action.request, action.engine)
      case 'refuse': return this.#checkRefusal(action.request)
      case 'yield': return this.#checkYield(action.request, action.to)
      case 'violation': return this.#violate(`${action.rule}: ${action.detail}`)
    }
  }

  #checkGrant (request: RequestId, engine: EngineId): void {
    this.#granted += 1
    const held = this.#held.get(request)
    if (held === undefined) return this.#violate(`granted ${request}, which nobody waits for`)
    if (held.engine !== null) return this.#violate(`granted ${request} twice`)
    if (this.#leaving.has(engine)) this.#violate(`granted ${request} on ${engine}, which is leaving`)
    const there = this.#listRunning(engine)
    const same = there.filter(other => other.class.priority <= held.class.priority).length
    if (held.class.mayWait && there.length >= places + floorPlaces) this.#violate(`granted ${request} on a full engine`)
    if (!held.class.mayWait && same >= places) this.#violate(`granted ${request} beyond the places of its class`)
    held.engine = engine
  }

  // A request that may not wait is refused only if it could run nowhere.
  #checkRefusal (request: RequestId): void {
    this.#refused += 1
    const held = this.#held.get(request)
    if (held === undefined) return this.#violate(`refused ${request}, which nobody waits for`)
    this.#held.delete(request)
    if (held.class.mayWait) return this.#violate(`refused ${request}, which may wait`)
    for (const { id } of this.#engines) {
      if (this.#leaving.has(id)) continue
      const there = this.#listRunning(id)
      const lower = there.filter(other => other.class.priority > held.class.priority)
      const same = there.length - lower.length
      if (lower.length > 0 && same < places && there.length < 2 * (places + floorPlaces)) this.#violate(`refused ${request} beside lower work on ${id}`)
    }
  }

  #checkYield (request: RequestId, to: RequestId): void {
    this.#yielded += 1
    const paused = this.#held.get(request)
    const higher = this.#held.get(to)
    if (paused === undefined || higher === undefined) return this.#violate(`${request} yields to ${to}, and one is unknown`)
    if (paused.class.priority <= higher.class.priority) this.#violate(`${request} (${paused.class.name}) yields to ${to} (${higher.class.name})`)
  }

  #listRunning (engine: EngineId): Held[] {
    return [...this.#held.values()].filter(held => held.engine === engine)
  }

  // The burst ends; whatever was accepted and may wait is served.
  #drain (): void {
    for (const id of [...this.#leaving]) {
      this.#leaving.delete(id)
      this.#step({ type: 'drain', at: this.#now, engine: id, leaving: false })
    }
    for (let i = 0; i < 20_000 && this.#held.size > 0; i++) {
      this.#endOne()
      this.#passTime(20)
    }
    if (this.#held.size > 0) this.#violate(`${this.#held.size} accepted requests were never served`)
  }

  #violate (text: string): void {
    if (this.#violations.length < 20) this.#violations.push(text)
  }
}
