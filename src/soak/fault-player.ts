/** Plays drawn faults on the stage, and notes when they disturb which part of it. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Disturbances } from './disturbances.js'
import type { ProcessFault, SoakFault, SoakNotice, TimedFault } from './fault-draw.js'
import type { PromiseWatch } from './promise-watch.js'
import type { SoakStage, StagedBox, StagedEndpoint } from './soak-stage.js'

/** How often it is looked whether a process that was told to end is gone, ms. */
const goneEveryMs = 20
/** A leaving endpoint is watched for this time and the fault's own, ms. */
const leastDrainMs = 2000
/** How often its runs are looked at, ms; a run may be older by about twice as much when it is seen. */
const runsEveryMs = 25
const runsLateMs = 50
/** Events after which an endpoint breaks an answer off. */
const breakAfterEvents = 2

export class FaultPlayer {
  #stage: SoakStage
  #disturbances: Disturbances
  #watch: PromiseWatch
  #lives = new Map<string, number>()
  #stopping = new Set<StagedBox>()

  constructor (stage: SoakStage, disturbances: Disturbances, watch: PromiseWatch) {
    this.#stage = stage
    this.#disturbances = disturbances
    this.#watch = watch
  }

  /** How often a box's process was started anew. */
  countLives (box: string): number { return this.#lives.get(box) ?? 0 }

  /** Plays each fault at its time from now; resolves once all are over. */
  async playAll (faults: readonly TimedFault[]): Promise<void> {
    const startedAt = performance.now()
    await Promise.all(faults.map(async ({ at, fault }) => {
      await sleep(Math.max(0, startedAt + at - performance.now()))
      await this.#play(fault)
    }))
  }

  async #play (fault: SoakFault): Promise<void> {
    const { registries, gateways, endpoints, links } = this.#stage
    switch (fault.on) {
      case 'gateway': return await this.#disturb(gateways[fault.box], fault.what, null)
      case 'registry': return await this.#disturb(registries[fault.box], fault.what, fault.box)
      case 'registries': {
        await Promise.all(registries.map((box, i) => this.#disturb(box, { type: 'kill', ms: fault.ms }, i)))
        return
      }
      case 'link': {
        const link = links[fault.registry]
        return await this.#hold(`link ${fault.registry}`, fault.ms, () => link.set(fault.mode), () => link.set('pass'))
      }
      case 'road': {
        const { road } = endpoints[fault.endpoint]
        return await this.#hold(`road ${fault.endpoint}`, fault.ms, () => road.set(fault.mode), () => road.set('pass'))
      }
      case 'endpoint': {
        const { standin } = endpoints[fault.endpoint]
        const set = fault.fault === 'break' ? { type: fault.fault, afterEvents: breakAfterEvents } as const : { type: fault.fault } as const
        return await this.#hold(`endpoint ${fault.endpoint}`, fault.ms, () => { standin.fault = set }, () => { standin.fault = { type: 'none' } })
      }
      case 'drain': return await this.#drain(endpoints[fault.endpoint], fault.ms)
      case 'notice': return await this.#tell(endpoints[fault.endpoint], fault.notice, fault.ms)
    }
  }

  // Holds a fault for a while, as a disturbance of a part.
  async #hold (part: string, ms: number, begin: () => void, end: () => void): Promise<void> {
    const over = this.#disturbances.begin(part, performance.now())
    begin()
    await sleep(ms)
    end()
    over(performance.now())
  }

  // `registry`: the box's number among the registries; null for a gateway.
  async #disturb (box: StagedBox, what: ProcessFault, registry: number | null): Promise<void> {
    if (!box.process.isRunning) return
    if (what.type === 'reload') return box.process.sendSignal('SIGHUP')
    // A second signal to end asks a program to end at once.
    if (what.type === 'stop' && this.#stopping.has(box)) return
    // A planned stop is no disturbance of what its gateway promises.
    const isPlanned = what.type === 'stop' && registry === null
    const over = this.#disturbances.begin(isPlanned ? `stop ${box.name}` : box.name, performance.now())
    await this.#perform(box, what, registry)
    if (what.type !== 'pause') this.#restart(box)
    over(performance.now())
    // What starts is no longer calm until it had time to learn what is in force.
    this.#disturbances.begin(box.name, performance.now())(performance.now())
  }

  async #perform (box: StagedBox, what: Exclude<ProcessFault, { type: 'reload' }>, registry: number | null): Promise<void> {
    switch (what.type) {
      case 'pause':
        box.process.sendSignal('SIGSTOP')
        await sleep(what.ms)
        return box.process.sendSignal('SIGCONT')
      case 'stop':
        await this.#stop(box)
        return await sleep(what.ms)
      case 'kill':
      case 'wipe':
      case 'tear':
        await box.process.kill()
        if (what.type === 'wipe' && registry !== null) this.#stage.wipe(registry)
        if (what.type === 'tear' && registry !== null) this.#stage.tear(registry)
        return await sleep(what.ms)
    }
  }

  // Resolves once the process is gone.
  async #stop (box: StagedBox): Promise<void> {
    this.#stopping.add(box)
    box.process.sendSignal('SIGTERM')
    while (box.process.isRunning) await sleep(goneEveryMs)
    this.#stopping.delete(box)
  }

  #restart (box: StagedBox): void {
    if (box.process.isRunning) return
    this.#lives.set(box.name, this.countLives(box.name) + 1)
    box.process.start()
  }

  // Has an endpoint say something of itself on its answers. One that said it leaves starts again, as a new life.
  async #tell (endpoint: StagedEndpoint, notice: SoakNotice, ms: number): Promise<void> {
    const { standin } = endpoint
    switch (notice.type) {
      case 'limit':
        standin.limit = notice.perSecond
        await sleep(ms)
        standin.limit = null
        return
      case 'backoff':
        standin.backoff = notice
        await sleep(ms)
        standin.backoff = null
        return
      case 'leaving':
        standin.isLeaving = true
        await sleep(ms)
        standin.isLeaving = false
        endpoint.sequence = 0
        endpoint.born = Date.now()
        await this.#stage.register(endpoint)
    }
  }

  // Has an endpoint say that it is leaving, and watches that it gets nothing new.
  async #drain (endpoint: StagedEndpoint, ms: number): Promise<void> {
    if (endpoint.stage === 'draining') return
    endpoint.stage = 'draining'
    const taken = await this.#stage.register(endpoint)
    const takenAt = performance.now()
    const until = takenAt + leastDrainMs + ms
    let before = endpoint.standin.runs.length
    while (performance.now() < until) {
      await sleep(runsEveryMs)
      const runs = endpoint.standin.runs.slice(before)
      before += runs.length
      const now = performance.now()
      if (taken) for (const run of runs) this.#watch.noteRunWhileLeaving(run, now - takenAt - runsLateMs, now)
    }
    endpoint.stage = 'ready'
  }
}
