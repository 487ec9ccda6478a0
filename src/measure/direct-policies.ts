/** Baseline policies to compare with: each box sends every request directly to an engine. */
import type { BoxId, EngineId, LoadReport } from '../core/index.js'
import type { Policy, PolicyHost } from './policy.js'
import type { SimEngine } from './sim-engine.js'
import type { SimRequest } from './sim-request.js'

type ChooseEngine = (engines: readonly SimEngine[], request: SimRequest) => SimEngine

/** Sends each request to the engine that `choose` returns, without a queue of its own. Up to three attempts a request. */
class DirectPolicy implements Policy {
  protected host: PolicyHost
  #choose: ChooseEngine

  constructor (host: PolicyHost, choose: ChooseEngine) {
    this.host = host
    this.#choose = choose
  }

  handleArrival (request: SimRequest): void {
    const { host } = this
    const reachable = host.engines.filter(engine => host.canReach(request.box, host.getZone(engine.id)))
    host.send(request, this.#choose(reachable, request).id, 0)
  }

  noteFailed (request: SimRequest): boolean {
    if (request.attempts >= 3) return false
    request.wastedEffort += request.effort
    request.receivedTokens = 0
    this.handleArrival(request)
    return true
  }

  noteFirstToken (): void {}
  noteFinished (_request: SimRequest): void {}
  noteCancelled (_request: SimRequest): void {}
  noteReport (_engine: EngineId, _report: LoadReport): void {}
  tick (): void {}
  noteBoxFailed (_box: BoxId): void {}
}

/** Each box cycles through the engines, starting at a random one. */
export function createRoundRobinPolicy (host: PolicyHost): Policy {
  const turns = new Map<BoxId, number>()
  return new DirectPolicy(host, (engines, request) => {
    const turn = turns.get(request.box) ?? Math.floor(host.random() * engines.length)
    turns.set(request.box, turn + 1)
    return engines[turn % engines.length]
  })
}

/** Sends each request to a random engine. */
export function createRandomPolicy (host: PolicyHost): Policy {
  return new DirectPolicy(host, engines => engines[Math.floor(host.random() * engines.length)])
}

/** Chooses the engine with the fewest streams in its last load report. */
class LeastReportedLoadPolicy extends DirectPolicy {
  #reported: Map<EngineId, number>

  constructor (host: PolicyHost, reported: Map<EngineId, number>) {
    super(host, engines => findLeast(engines, engine => reported.get(engine.id) ?? 0, host))
    this.#reported = reported
  }

  override noteReport (engine: EngineId, report: LoadReport): void {
    this.#reported.set(engine, report.running + report.waiting)
  }
}

export function createLeastReportedLoadPolicy (host: PolicyHost): Policy {
  return new LeastReportedLoadPolicy(host, new Map())
}

/** Draws two random engines and takes the one with fewer streams, counting its last report and what this box has sent since. */
class PowerOfTwoPolicy extends DirectPolicy {
  #reportedLoad: Map<EngineId, number>
  #sentSinceReport: Map<string, number>

  constructor (host: PolicyHost, reportedLoad: Map<EngineId, number>, sentSinceReport: Map<string, number>) {
    super(host, (engines, request) => {
      const pair = [0, 1].map(() => engines[Math.floor(host.random() * engines.length)])
      const chosen = findLeast(pair, engine => (reportedLoad.get(engine.id) ?? 0) + (sentSinceReport.get(`${request.box} ${engine.id}`) ?? 0), host)
      const key = `${request.box} ${chosen.id}`
      sentSinceReport.set(key, (sentSinceReport.get(key) ?? 0) + 1)
      return chosen
    })
    this.#reportedLoad = reportedLoad
    this.#sentSinceReport = sentSinceReport
  }

  override noteReport (engine: EngineId, report: LoadReport): void {
    this.#reportedLoad.set(engine, report.running + report.waiting)
    for (const { id } of this.host.boxes) this.#sentSinceReport.delete(`${id} ${engine}`)
  }
}

export function createPowerOfTwoPolicy (host: PolicyHost): Policy {
  return new PowerOfTwoPolicy(host, new Map(), new Map())
}

function findLeast (engines: readonly SimEngine[], getLoad: (engine: SimEngine) => number, host: PolicyHost): SimEngine {
  const startIndex = Math.floor(host.random() * engines.length)
  let best = engines[startIndex]
  for (let i = 1; i < engines.length; i++) {
    const engine = engines[(startIndex + i) % engines.length]
    if (getLoad(engine) < getLoad(best)) best = engine
  }
  return best
}

/**
 * One global FIFO queue with perfect knowledge of free places: an upper bound
 * for policies that don't distinguish classes.
 */
class FifoPolicy implements Policy {
  #host: PolicyHost
  #queue: SimRequest[] = []
  #load = new Map<EngineId, number>()
  #downUntil = new Map<EngineId, number>()

  constructor (host: PolicyHost) {
    this.#host = host
  }

  handleArrival (request: SimRequest): void {
    this.#queue.push(request)
    this.#dispatch()
  }

  noteFirstToken (): void {}
  noteFinished (request: SimRequest): void { this.#releasePlace(request.engine) }

  noteCancelled (request: SimRequest): void {
    const index = this.#queue.indexOf(request)
    if (index >= 0) this.#queue.splice(index, 1)
    else this.#releasePlace(request.engine)
  }

  noteFailed (request: SimRequest, engine: EngineId): boolean {
    this.#releasePlace(engine)
    this.#downUntil.set(engine, this.#host.now() + 2000)
    if (request.attempts >= 3) return false
    request.wastedEffort += request.effort
    request.receivedTokens = 0
    this.#queue.unshift(request)
    this.#dispatch()
    return true
  }

  noteReport (): void {}
  tick (): void { this.#dispatch() }
  noteBoxFailed (): void {}

  #releasePlace (engine: EngineId | null): void {
    if (engine === null) return
    this.#load.set(engine, (this.#load.get(engine) ?? 1) - 1)
    this.#dispatch()
  }

  #dispatch (): void {
    while (this.#queue.length > 0) {
      const [first] = this.#queue
      const engine = this.#findFreeEngine(first)
      if (engine === undefined) return
      this.#queue.shift()
      this.#load.set(engine.id, (this.#load.get(engine.id) ?? 0) + 1)
      this.#host.send(first, engine.id, 0)
    }
  }

  #findFreeEngine (request: SimRequest): SimEngine | undefined {
    let best: SimEngine | undefined
    let minLoad = this.#host.user.shape.batch
    for (const engine of this.#host.engines) {
      const load = this.#load.get(engine.id) ?? 0
      if (load >= minLoad || (this.#downUntil.get(engine.id) ?? 0) > this.#host.now()) continue
      if (!this.#host.canReach(request.box, this.#host.getZone(engine.id))) continue
      best = engine
      minLoad = load
    }
    return best
  }
}

export function createFifoPolicy (host: PolicyHost): Policy {
  return new FifoPolicy(host)
}
