/** Discrete-event simulation of a deployment: arrivals, engines, faults, and the policy under test. */
import { brandId } from '../core/index.js'
import type { BoxId, EngineId, RequestId, WorkspaceName, ZoneName } from '../core/index.js'
import { createRandom } from '../runtime/index.js'
import { EventQueue } from './event-queue.js'
import type { Policy, PolicyHost, PolicyFactory } from './policy.js'
import { computeBurstFactor } from './scenario.js'
import type { Scenario } from './scenario.js'
import { SimEngine } from './sim-engine.js'
import type { SimOutcome, SimRequest } from './sim-request.js'
import { Tally } from './tally.js'
import type { ClassTraffic, UserProfile } from './user-profile.js'

const engineDelayMs = 0.5
const callerDelayMs = 1
const tickMs = 15
const reportEveryMs = 1000
/** How long accepted requests may run on after the scenario's end. */
const maxDrainMs = 600_000

/** Results of a run. */
export interface RunResult {
  readonly tally: Tally
  readonly preempted: number
  /** Submissions to shards of other boxes, and to shards of the same box. */
  readonly submitted: { readonly remote: number, readonly local: number }
  readonly violations: readonly string[]
  /** Accepted requests that had no outcome when the run was over. */
  readonly unfinished: number
}

export class Simulation {
  #queue = new EventQueue()
  #user: UserProfile
  #scenario: Scenario
  #random: () => number
  #policyRandom: () => number
  #engines: SimEngine[] = []
  #boxes: { id: BoxId, zone: number }[] = []
  #zones = new Map<EngineId, number>()
  #boxZones = new Map<BoxId, number>()
  #policy: Policy
  #tally: Tally
  #openRequests = new Set<SimRequest>()
  #requestCount = 0
  #preempted = 0
  #submitted = { remote: 0, local: 0 }
  #violations: string[] = []
  #failedBox: BoxId | null = null

  constructor (user: UserProfile, scenario: Scenario, createPolicy: PolicyFactory, seed: number) {
    this.#user = user
    this.#scenario = scenario
    this.#random = createRandom(seed)
    this.#policyRandom = createRandom(seed + 1_000_003)
    this.#tally = new Tally(user)
    this.#createEngines()
    this.#createBoxes()
    this.#policy = createPolicy(this.#createHost())
  }

  /** Runs the scenario to its end, and then until all accepted requests have an outcome, at most for `maxDrainMs`. */
  run (): RunResult {
    for (const traffic of this.#user.traffic) this.#scheduleArrival(traffic)
    this.#scheduleFaults()
    this.#repeat(tickMs, () => this.#policy.tick())
    this.#repeat(reportEveryMs, () => this.#sendReports())
    this.#queue.runUntil(this.#scenario.durationMs)
    const until = this.#scenario.durationMs + maxDrainMs
    while (this.#openRequests.size > 0 && this.#queue.now < until) this.#queue.runUntil(this.#queue.now + 1000)
    return { tally: this.#tally, preempted: this.#preempted, submitted: this.#submitted, violations: this.#violations, unfinished: this.#openRequests.size }
  }

  #createEngines (): void {
    for (let i = 0; i < this.#user.engines; i++) {
      const zone = i % this.#user.zones
      const id = brandId<EngineId>(`engine-${i}`)
      this.#zones.set(id, zone)
      this.#engines.push(new SimEngine(id, brandId<ZoneName>(`zone-${zone}`), this.#user.shape, this.#queue, {
        noteToken: request => this.#noteToken(request),
        noteFinished: request => this.#noteFinished(request),
        noteFailed: (request, engine, wasReached) => this.#noteFailed(request, engine, wasReached)
      }))
    }
  }

  #createBoxes (): void {
    for (let i = 0; i < this.#user.boxes; i++) {
      const box = { id: brandId<BoxId>(`box-${i}`), zone: i % this.#user.zones }
      this.#boxes.push(box)
      this.#boxZones.set(box.id, box.zone)
    }
  }

  #createHost (): PolicyHost {
    return {
      user: this.#user,
      scenario: this.#scenario,
      engines: this.#engines,
      boxes: this.#boxes,
      now: () => this.#queue.now,
      schedule: (delayMs, run) => this.#queue.schedule(delayMs, run),
      random: this.#policyRandom,
      canReach: (box, zone) => this.#canReach(box, zone),
      getZone: engine => this.#zones.get(engine) ?? 0,
      send: (request, engine, priority) => this.#send(request, engine, priority),
      refuse: request => this.#end(request, 'refused'),
      notePreempted: () => { this.#preempted += 1 },
      noteSubmitted: isRemote => { this.#submitted[isRemote ? 'remote' : 'local'] += 1 },
      noteViolation: (rule, detail) => { this.#violations.push(`${rule}: ${detail}`) }
    }
  }

  #canReach (box: BoxId, zone: number): boolean {
    const { partition } = this.#scenario
    const { now } = this.#queue
    if (partition === null || now < partition.fromMs || now >= partition.untilMs) return true
    return (this.#boxZones.get(box) === partition.zone) === (zone === partition.zone)
  }

  #repeat (everyMs: number, run: () => void): void {
    this.#queue.schedule(everyMs, () => {
      run()
      this.#repeat(everyMs, run)
    })
  }

  // Arrivals: a Poisson process per class, with a higher rate during a burst.

  #scheduleArrival (traffic: ClassTraffic): void {
    const waitMs = -Math.log(1 - this.#random()) * 1000 / this.#findRate(traffic)
    const next = this.#truncateAtRateChange(waitMs)
    if (this.#queue.now + next.waitMs >= this.#scenario.durationMs) return
    this.#queue.schedule(next.waitMs, () => {
      if (next.arrives) this.#handleArrival(traffic)
      this.#scheduleArrival(traffic)
    })
  }

  // Waits are memoryless: one that spans a change of rate ends there without an arrival, and the next is drawn at the new rate.
  #truncateAtRateChange (waitMs: number): { readonly waitMs: number, readonly arrives: boolean } {
    const { burst } = this.#scenario
    const { now } = this.#queue
    for (const change of burst === null ? [] : [burst.fromMs, burst.untilMs]) {
      if (now < change && now + waitMs >= change) return { waitMs: change - now, arrives: false }
    }
    return { waitMs, arrives: true }
  }

  #findRate (traffic: ClassTraffic): number {
    const { burst } = this.#scenario
    const { now } = this.#queue
    if (burst === null || traffic.class.name !== this.#user.burstingClass || now < burst.fromMs || now >= burst.untilMs) return traffic.rate
    return traffic.rate * computeBurstFactor(this.#user, burst.capacityMultiple)
  }

  #handleArrival (traffic: ClassTraffic): void {
    this.#requestCount += 1
    const box = this.#boxes[Math.floor(this.#random() * this.#boxes.length)]
    const workspace = this.#drawWorkspace()
    const tokens = Math.max(1, Math.round(traffic.tokens * Math.exp(traffic.spread * this.#drawNormal())))
    const request: SimRequest = {
      id: brandId<RequestId>(`r${this.#requestCount}`),
      traffic,
      class: traffic.class,
      workspace: brandId<WorkspaceName>(workspace),
      box: box.id,
      promptTokens: traffic.promptTokens,
      tokens,
      prefix: `${workspace}/${traffic.class.name}/${Math.floor(this.#random() * 4)}`,
      arrivedAt: this.#queue.now,
      engine: null,
      receivedTokens: 0,
      firstTokenAt: null,
      lastTokenAt: 0,
      lateGaps: 0,
      effort: 0,
      wastedEffort: 0,
      attempts: 0,
      outcome: null
    }
    if (box.id === this.#failedBox) return this.#end(request, 'failed')
    this.#openRequests.add(request)
    this.#queue.schedule(traffic.callerTimeoutMs, () => this.#cancelOnTimeout(request))
    this.#policy.handleArrival(request)
  }

  #drawWorkspace (): string {
    const isLarge = this.#random() < this.#scenario.largeWorkspaceShare
    const number = isLarge ? Math.floor(this.#random() * 2) : 2 + Math.floor(this.#random() * (this.#user.workspaces - 2))
    return `workspace-${number}`
  }

  #drawNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.#random())) * Math.cos(2 * Math.PI * this.#random())
  }

  // Lifecycle of a request.

  #send (request: SimRequest, engine: EngineId, priority: number): void {
    request.engine = engine
    request.attempts += 1
    const { attempts } = request
    this.#queue.schedule(engineDelayMs, () => {
      if (request.outcome !== null || request.attempts !== attempts) return
      const zone = this.#zones.get(engine) ?? 0
      if (!this.#canReach(request.box, zone)) return this.#noteFailed(request, engine, false)
      this.#findEngine(engine).add(request, priority)
    })
  }

  #findEngine (id: EngineId): SimEngine {
    return this.#engines[Number(id.slice('engine-'.length))]
  }

  #noteToken (request: SimRequest): void {
    const now = this.#queue.now + engineDelayMs + callerDelayMs
    request.receivedTokens += 1
    if (request.firstTokenAt === null) {
      request.firstTokenAt = now
      this.#policy.noteFirstToken(request)
    } else if (now - request.lastTokenAt > request.class.betweenTokenMs) {
      request.lateGaps += 1
    }
    request.lastTokenAt = now
  }

  #noteFinished (request: SimRequest): void {
    this.#policy.noteFinished(request)
    this.#end(request, 'finished')
  }

  #noteFailed (request: SimRequest, engine: EngineId, wasReached: boolean): void {
    if (request.outcome !== null) return
    if (!this.#policy.noteFailed(request, engine, wasReached)) this.#end(request, 'failed')
  }

  #cancelOnTimeout (request: SimRequest): void {
    if (request.outcome !== null || request.firstTokenAt !== null) return
    if (request.engine !== null) this.#findEngine(request.engine).cancel(request)
    this.#end(request, 'left')
    this.#policy.noteCancelled(request)
  }

  #end (request: SimRequest, outcome: SimOutcome): void {
    if (request.outcome !== null) return
    request.outcome = outcome
    this.#openRequests.delete(request)
    this.#tally.add(request, this.#queue.now)
  }

  // Faults.

  #scheduleFaults (): void {
    const { slowdown, crashes, permanentCrash, boxFailure } = this.#scenario
    if (slowdown !== null) this.#queue.schedule(slowdown.fromMs, () => this.#sampleEngines(slowdown.share).forEach(engine => { engine.slowFactor = slowdown.factor }))
    if (permanentCrash !== null) this.#queue.schedule(permanentCrash.fromMs, () => this.#sampleEngines(permanentCrash.share).forEach(engine => engine.crash()))
    if (crashes !== null) this.#repeatCrashes(crashes)
    if (boxFailure !== null) this.#queue.schedule(boxFailure.atMs, () => this.#failBox(this.#boxes[boxFailure.box].id))
  }

  #repeatCrashes (crashes: NonNullable<Scenario['crashes']>): void {
    this.#queue.schedule(crashes.everyMs, () => {
      if (this.#queue.now >= this.#scenario.durationMs) return
      for (const engine of this.#sampleEngines(crashes.share)) {
        engine.crash()
        this.#queue.schedule(crashes.downMs, () => engine.recover())
      }
      this.#repeatCrashes(crashes)
    })
  }

  #sampleEngines (share: number): SimEngine[] {
    return this.#engines.filter(() => this.#random() < share)
  }

  #failBox (box: BoxId): void {
    this.#failedBox = box
    for (const request of [...this.#openRequests]) {
      if (request.box !== box) continue
      if (request.engine !== null) this.#findEngine(request.engine).cancel(request)
      this.#end(request, 'failed')
    }
    this.#policy.noteBoxFailed(box)
  }

  #sendReports (): void {
    for (const engine of this.#engines) {
      const report = engine.report()
      this.#queue.schedule(this.#scenario.reportLagMs, () => this.#policy.noteReport(engine.id, report))
    }
  }
}
