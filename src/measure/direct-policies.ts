/** Naive ways: each box sends every request straight to an engine. */
import type { BoxId, EngineId, LoadReport } from '../core/index.js'
import type { Policy, PolicyHost } from './policy.js'
import type { SimEngine } from './sim-engine.js'
import type { SimRequest } from './sim-request.js'

type Choose = (engines: readonly SimEngine[], request: SimRequest) => SimEngine

/** Sends by a choice of engine; engines queue first come, first served. */
class DirectPolicy implements Policy {
  protected host: PolicyHost
  #choose: Choose

  constructor (host: PolicyHost, choose: Choose) {
    this.host = host
    this.#choose = choose
  }

  arrive (request: SimRequest): void {
    const { host } = this
    const reachable = host.engines.filter(engine => host.canReach(request.box, host.zoneOf(engine.id)))
    host.send(request, this.#choose(reachable, request).id, 0)
  }

  noteFailed (request: SimRequest): boolean {
    if (request.attempts >= 3) return false
    request.lost += request.effort
    request.given = 0
    this.arrive(request)
    return true
  }

  noteFirstToken (): void {}
  noteFinished (_request: SimRequest): void {}
  noteLeft (_request: SimRequest): void {}
  report (_engine: EngineId, _report: LoadReport): void {}
  tick (): void {}
  noteBoxLost (_box: BoxId): void {}
}

/** Each box takes the engines in turn. */
export function createRoundRobin (host: PolicyHost): Policy {
  const turns = new Map<BoxId, number>()
  return new DirectPolicy(host, (engines, request) => {
    const turn = turns.get(request.box) ?? Math.floor(host.random() * engines.length)
    turns.set(request.box, turn + 1)
    return engines[turn % engines.length]
  })
}

/** Any engine. */
export function createRandomChoice (host: PolicyHost): Policy {
  return new DirectPolicy(host, engines => engines[Math.floor(host.random() * engines.length)])
}

/** The engine with the fewest streams by its last report. */
class LeastReported extends DirectPolicy {
  #reported: Map<EngineId, number>

  constructor (host: PolicyHost, reported: Map<EngineId, number>) {
    super(host, engines => findLeast(engines, engine => reported.get(engine.id) ?? 0, host))
    this.#reported = reported
  }

  override report (engine: EngineId, report: LoadReport): void {
    this.#reported.set(engine, report.running + report.waiting)
  }
}

export function createLeastReported (host: PolicyHost): Policy {
  return new LeastReported(host, new Map())
}

/** Two engines by lot, the one with fewer streams by report and by what this box sent since. */
class PowerOfTwo extends DirectPolicy {
  #load: Map<EngineId, number>
  #own: Map<string, number>

  constructor (host: PolicyHost, load: Map<EngineId, number>, own: Map<string, number>) {
    super(host, (engines, request) => {
      const pair = [0, 1].map(() => engines[Math.floor(host.random() * engines.length)])
      const chosen = findLeast(pair, engine => (load.get(engine.id) ?? 0) + (own.get(`${request.box} ${engine.id}`) ?? 0), host)
      const key = `${request.box} ${chosen.id}`
      own.set(key, (own.get(key) ?? 0) + 1)
      return chosen
    })
    this.#load = load
    this.#own = own
  }

  override report (engine: EngineId, report: LoadReport): void {
    this.#load.set(engine, report.running + report.waiting)
    for (const { id } of this.host.boxes) this.#own.delete(`${id} ${engine}`)
  }
}

export function createPowerOfTwo (host: PolicyHost): Policy {
  return new PowerOfTwo(host, new Map(), new Map())
}

function findLeast (engines: readonly SimEngine[], measure: (engine: SimEngine) => number, host: PolicyHost): SimEngine {
  const start = Math.floor(host.random() * engines.length)
  let best = engines[start]
  for (let i = 1; i < engines.length; i++) {
    const engine = engines[(start + i) % engines.length]
    if (measure(engine) < measure(best)) best = engine
  }
  return best
}

/**
 * One queue for everything, first come, first served, with perfect knowledge of
 * free places: the best that can be had without classes.
 */
class FifoPolicy implements Policy {
  #host: PolicyHost
  #waiting: SimRequest[] = []
  #load = new Map<EngineId, number>()
  #down = new Map<EngineId, number>()

  constructor (host: PolicyHost) {
    this.#host = host
  }

  arrive (request: SimRequest): void {
    this.#waiting.push(request)
    this.#dispatch()
  }

  noteFirstToken (): void {}
  noteFinished (request: SimRequest): void { this.#free(request.engine) }

  noteLeft (request: SimRequest): void {
    const at = this.#waiting.indexOf(request)
    if (at >= 0) this.#waiting.splice(at, 1)
    else this.#free(request.engine)
  }

  noteFailed (request: SimRequest, engine: EngineId): boolean {
    this.#free(engine)
    this.#down.set(engine, this.#host.now() + 2000)
    if (request.attempts >= 3) return false
    request.lost += request.effort
    request.given = 0
    this.#waiting.unshift(request)
    this.#dispatch()
    return true
  }

  report (): void {}
  tick (): void { this.#dispatch() }
  noteBoxLost (): void {}

  #free (engine: EngineId | null): void {
    if (engine === null) return
    this.#load.set(engine, (this.#load.get(engine) ?? 1) - 1)
    this.#dispatch()
  }

  #dispatch (): void {
    while (this.#waiting.length > 0) {
      const [next] = this.#waiting
      const engine = this.#findFree(next)
      if (engine === undefined) return
      this.#waiting.shift()
      this.#load.set(engine.id, (this.#load.get(engine.id) ?? 0) + 1)
      this.#host.send(next, engine.id, 0)
    }
  }

  #findFree (request: SimRequest): SimEngine | undefined {
    let best: SimEngine | undefined
    let least = this.#host.user.shape.batch
    for (const engine of this.#host.engines) {
      const load = this.#load.get(engine.id) ?? 0
      if (load >= least || (this.#down.get(engine.id) ?? 0) > this.#host.now()) continue
      if (!this.#host.canReach(request.box, this.#host.zoneOf(engine.id))) continue
      best = engine
      least = load
    }
    return best
  }
}

export function createFifo (host: PolicyHost): Policy {
  return new FifoPolicy(host)
}
