/** Applies drawn faults to the testbed, and records when they disturb which part of it. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Disturbances } from './disturbances.js'
import type { ProcessFault, SoakFault, SoakNotice, TimedFault } from './fault-draw.js'
import type { GuaranteeChecker } from './guarantee-checker.js'
import type { PathChecker } from './path-checker.js'
import type { SilenceChecker } from './silence-checker.js'
import type { SoakTestbed, TestbedBox, TestbedEndpoint } from './soak-testbed.js'

/** Polling interval for the exit of a process after SIGTERM, ms. */
const exitPollMs = 20
/** Minimum time for which the runs of a draining endpoint are checked, ms; the duration of the fault is added. */
const minDrainMs = 2000
/** Polling interval for the runs of a draining endpoint, ms. */
const runPollMs = 25
/** Factor on the time of an answer in a slow stretch. */
const slowFactor = 2.5
/** Number of events after which an endpoint breaks off a stream. */
const breakAfterEvents = 2

export class FaultInjector {
  #testbed: SoakTestbed
  #disturbances: Disturbances
  #checker: GuaranteeChecker
  #pathChecker: PathChecker
  #silenceChecker: SilenceChecker
  #restartCounts = new Map<string, number>()
  #stopping = new Set<TestbedBox>()

  constructor (testbed: SoakTestbed, disturbances: Disturbances, checker: GuaranteeChecker, pathChecker: PathChecker, silenceChecker: SilenceChecker) {
    this.#testbed = testbed
    this.#disturbances = disturbances
    this.#checker = checker
    this.#pathChecker = pathChecker
    this.#silenceChecker = silenceChecker
  }

  countRestarts (box: string): number { return this.#restartCounts.get(box) ?? 0 }

  /** Applies each fault at its time, counted from now; resolves once all are over. */
  async injectAll (faults: readonly TimedFault[]): Promise<void> {
    const startedAt = performance.now()
    await Promise.all(faults.map(async ({ at, fault }) => {
      await sleep(Math.max(0, startedAt + at - performance.now()))
      await this.#inject(fault)
    }))
  }

  async #inject (fault: SoakFault): Promise<void> {
    const { registries, gateways, endpoints, links } = this.#testbed
    switch (fault.target) {
      case 'gateway': return await this.#applyProcessFault(gateways[fault.box], fault.action, null)
      case 'registry': return await this.#applyProcessFault(registries[fault.box], fault.action, fault.box)
      case 'registries': {
        await Promise.all(registries.map((box, i) => this.#applyProcessFault(box, { type: 'kill', ms: fault.ms }, i)))
        return
      }
      case 'link': {
        const link = links[fault.registry]
        return await this.#applyFor(`link ${fault.registry}`, fault.ms, () => link.setMode(fault.mode), () => link.setMode('pass'))
      }
      case 'proxy': {
        const { proxy } = endpoints[fault.endpoint]
        return await this.#applyFor(`proxy ${fault.endpoint}`, fault.ms, () => proxy.setMode(fault.mode), () => proxy.setMode('pass'))
      }
      case 'endpoint': {
        const { standin } = endpoints[fault.endpoint]
        const endpointFault = fault.fault === 'break' ? { type: fault.fault, afterEvents: breakAfterEvents } as const : { type: fault.fault } as const
        return await this.#applyFor(`endpoint ${fault.endpoint}`, fault.ms, () => { standin.fault = endpointFault }, () => { standin.fault = { type: 'none' } })
      }
      case 'paths': return await this.#cutPaths(fault.boxes, fault.isReset, fault.ms)
      case 'drain': return await this.#drain(fault.endpoint, fault.ms)
      case 'silence': return void await Promise.all(fault.endpoints.map(i => this.#silence(i, fault.isLasting, fault.ms)))
      case 'slow': return await this.#slow(endpoints[fault.endpoint], fault.ms)
      case 'pace': return await this.#changePace(fault.factor, fault.ms)
      case 'notice': {
        const endDisturbance = this.#disturbances.begin(`notice ${fault.endpoint}`, performance.now())
        await this.#sendNotice(endpoints[fault.endpoint], fault.notice, fault.ms)
        return endDisturbance(performance.now())
      }
    }
  }

  async #cutPaths (boxes: readonly number[], isReset: boolean, ms: number): Promise<void> {
    const { gateways, paths } = this.#testbed
    const cut = boxes.flatMap(i => paths[i])
    const end = this.#pathChecker.begin(boxes.map(i => gateways[i].name), performance.now())
    for (const proxy of cut) {
      if (isReset) proxy.halt()
      else proxy.refuse()
    }
    await sleep(ms)
    end(performance.now())
    await this.#testbed.restorePaths(boxes)
  }

  async #silence (endpoint: number, isLasting: boolean, ms: number): Promise<void> {
    const endDisturbance = this.#disturbances.begin(`silence ${endpoint}`, performance.now())
    const endSpan = this.#silenceChecker.begin(endpoint, isLasting, performance.now())
    await this.#testbed.endpoints[endpoint].standin.silence.start(ms)
    for (const end of [endDisturbance, endSpan]) end(performance.now())
  }

  // Slow stretches of one endpoint may overlap.
  async #slow ({ standin }: TestbedEndpoint, ms: number): Promise<void> {
    standin.answerMs *= slowFactor
    await sleep(ms)
    standin.answerMs /= slowFactor
  }

  // Later streams have the new pace too.
  async #changePace (factor: number, ms: number): Promise<void> {
    const writers = this.#testbed.writers
    for (const { standin } of writers) standin.eventMs *= factor
    await sleep(ms)
    for (const { standin } of writers) standin.eventMs /= factor
  }

  // Applies a fault for `ms` and records it as a disturbance of `part`.
  async #applyFor (part: string, ms: number, begin: () => void, end: () => void): Promise<void> {
    const endDisturbance = this.#disturbances.begin(part, performance.now())
    begin()
    await sleep(ms)
    end()
    endDisturbance(performance.now())
  }

  // `registry`: index of the box among the registries; null for a gateway.
  async #applyProcessFault (box: TestbedBox, action: ProcessFault, registry: number | null): Promise<void> {
    if (!box.process.isRunning) return
    if (action.type === 'reload') {
      if (!await box.process.reload()) this.#checker.reportViolation('a process has no handler of SIGHUP', box.name)
      return
    }
    // A second SIGTERM would make the program exit at once instead of gracefully.
    if (action.type === 'stop' && this.#stopping.has(box)) return
    // The guarantees of a gateway also hold during its graceful stop, so the stop is recorded under a name of its own.
    const isGatewayStop = action.type === 'stop' && registry === null
    const endDisturbance = this.#disturbances.begin(isGatewayStop ? `stop ${box.name}` : box.name, performance.now())
    await this.#perform(box, action, registry)
    if (action.type !== 'pause') this.#restart(box)
    endDisturbance(performance.now())
    // Records the restart as a disturbance: the process needs time to receive the document in force.
    this.#disturbances.begin(box.name, performance.now())(performance.now())
  }

  async #perform (box: TestbedBox, action: Exclude<ProcessFault, { type: 'reload' }>, registry: number | null): Promise<void> {
    switch (action.type) {
      case 'pause':
        box.process.sendSignal('SIGSTOP')
        await sleep(action.ms)
        return box.process.sendSignal('SIGCONT')
      case 'stop':
        await this.#stop(box)
        return await sleep(action.ms)
      case 'kill':
      case 'wipe':
      case 'tear':
        await box.process.kill()
        if (action.type === 'wipe' && registry !== null) this.#testbed.wipe(registry)
        if (action.type === 'tear' && registry !== null) this.#testbed.tear(registry)
        return await sleep(action.ms)
    }
  }

  // Stops the process with SIGTERM; resolves once it has exited.
  async #stop (box: TestbedBox): Promise<void> {
    this.#stopping.add(box)
    box.process.sendSignal('SIGTERM')
    while (box.process.isRunning) await sleep(exitPollMs)
    this.#stopping.delete(box)
  }

  #restart (box: TestbedBox): void {
    if (box.process.isRunning) return
    this.#restartCounts.set(box.name, this.countRestarts(box.name) + 1)
    box.process.start()
  }

  // Makes an endpoint give a notice on its answers for `ms`. An endpoint that announced its leaving then registers as a restarted process.
  async #sendNotice (endpoint: TestbedEndpoint, notice: SoakNotice, ms: number): Promise<void> {
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
        await this.#testbed.register(endpoint)
    }
  }

  // Registers an endpoint as draining, and checks that it gets no new requests.
  async #drain (index: number, ms: number): Promise<void> {
    const endpoint = this.#testbed.endpoints[index]
    if (endpoint.stage === 'draining') return
    const endDisturbance = this.#disturbances.begin(`drain ${index}`, performance.now())
    endpoint.stage = 'draining'
    const isRegistered = await this.#testbed.register(endpoint)
    const registeredAt = performance.now()
    const until = registeredAt + minDrainMs + ms
    const { runs, arrivals } = endpoint.standin
    let seenRuns = runs.length
    while (performance.now() < until) {
      await sleep(runPollMs)
      const newRuns = runs.slice(seenRuns)
      seenRuns += newRuns.length
      // A silent endpoint runs a request long after its arrival.
      if (isRegistered) for (const run of newRuns) this.#checker.checkRunWhileDraining(run, registeredAt, arrivals.findLast(({ requestId }) => requestId === run.requestId)?.at ?? performance.now())
    }
    endpoint.stage = 'ready'
    endDisturbance(performance.now())
  }
}
