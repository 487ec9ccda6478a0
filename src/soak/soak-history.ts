/**
 * One history: the real programs under load while the drawn faults come, what
 * callers and endpoints see checked as it goes, and all of it well again at the
 * end. Times and faults come from the seed; the machine's own timing doesn't.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom } from '../runtime/index.js'
import { Disturbances } from './disturbances.js'
import { drawFaults } from './fault-draw.js'
import type { ProcessFault, SoakFault, SoakShape } from './fault-draw.js'
import { PromiseWatch, holdMs } from './promise-watch.js'
import type { WatchedCall } from './promise-watch.js'
import { SoakStage, callHttp, callerPort } from './soak-stage.js'
import type { StagedBox, StagedEndpoint } from './soak-stage.js'

/** What a history came to. */
export interface SoakReport {
  readonly violations: readonly string[]
  readonly calls: number
  readonly served: number
  readonly faults: number
  /** The newest lines of each process, where something was violated. */
  readonly logs: ReadonlyMap<string, readonly string[]>
}

const host = 'camp.example'
const key = 'soak-key'
/** Callers at each gateway. */
const callersPerGateway = 3
/** Pause of a caller between its calls, ms. */
const callerPauseMs = 15
/** Pause between two documents, ms. */
const documentPauseMs = 600
/** The longest that the stage may take to serve, at first and after the faults, ms. */
const startMs = 20_000
const recoverMs = 15_000
/** What still runs has ended after this, ms. */
const settleMs = holdMs + 500
const kinds: readonly WatchedCall['kind'][] = ['once', 'again', 'stream', 'resume']

export class SoakHistory {
  #seed: number
  #lengthMs: number
  #shape: SoakShape
  #random: () => number
  #disturbances = new Disturbances()
  #watch = new PromiseWatch(this.#disturbances)
  #stage: SoakStage
  #lives = new Map<string, number>()
  #stopping = new Set<StagedBox>()
  #sent = 0
  #version = 0
  /** When each version was acknowledged. */
  #acked = new Map<number, number>()
  #isOver = false

  constructor (seed: number, lengthMs: number, shape: SoakShape) {
    this.#seed = seed
    this.#lengthMs = lengthMs
    this.#shape = shape
    this.#random = createRandom(seed)
    this.#stage = new SoakStage(shape, seed, (name, code) => this.#watch.violate('a process ended by itself', `${name} with ${code}`))
  }

  async run (): Promise<SoakReport> {
    const faults = drawFaults(createRandom(this.#seed), this.#shape, this.#lengthMs)
    try {
      await this.#stage.start()
      await this.#expect(startMs, 'the stage serves', async () => await this.#put() && await this.#isServing())
      const startedAt = performance.now()
      const callers = this.#stage.gateways.flatMap((_, i) => Array.from({ length: callersPerGateway }, () => this.#keepCalling(i)))
      const operator = this.#keepPutting()
      const played = faults.map(async ({ at, fault }) => {
        await sleep(Math.max(0, startedAt + at - performance.now()))
        await this.#play(fault)
      })
      await Promise.all(played)
      this.#isOver = true
      await Promise.all([...callers, operator])
      await this.#checkRecovery()
      await sleep(settleMs)
      this.#watch.settle(this.#stage.endpoints.flatMap(({ standin }) => standin.runs))
      this.#checkLogs()
      return this.#report(faults.length)
    } finally {
      await this.#stage.stop()
    }
  }

  /** Ends everything that the history started. */
  stop (): Promise<void> { return this.#stage.stop() }

  // Callers and the operator.

  async #keepCalling (gateway: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isOver) {
      if (this.#random() < 0.25 && this.#version > 0) await this.#tryVersion(gateway, agent)
      else this.#watch.note(await this.#call(gateway, agent, kinds[Math.floor(this.#random() * kinds.length)]))
      await sleep(callerPauseMs)
    }
    agent.destroy()
  }

  async #call (gateway: number, agent: Agent, kind: WatchedCall['kind'], version = this.#version): Promise<WatchedCall> {
    this.#sent += 1
    const id = `${this.#seed}-${this.#sent}`
    const isStream = kind === 'stream' || kind === 'resume'
    const path = isStream ? `/${kind}/events-${3 + this.#sent % 12}` : `/${kind}/${this.#sent}`
    return await this.#send(gateway, agent, { id, kind, path, version })
  }

  async #send (gateway: number, agent: Agent, { id, kind, path, version }: Pick<WatchedCall, 'id' | 'kind' | 'path' | 'version'>): Promise<WatchedCall> {
    const { name, host: to } = this.#stage.gateways[gateway]
    const body = `body of ${id}`
    const headers = { host, authorization: `Bearer ${key}`, 'x-wrenlane-request-id': id, 'x-wrenlane-deadline-ms': '5000' }
    const life = this.#lives.get(name) ?? 0
    const sentAt = performance.now()
    const end = await callHttp({ host: to, port: callerPort, method: 'POST', path, headers, agent, timeout: 4 * holdMs }, body)
    return { id, gateway: name, life, kind, path, body, version, sentAt, endedAt: performance.now(), end }
  }

  // Asks for a path that only the newest, or an older, version knows.
  async #tryVersion (gateway: number, agent: Agent): Promise<void> {
    const version = Math.max(1, this.#version - Math.floor(this.#random() * 3))
    const ackedAt = this.#acked.get(version)
    if (ackedAt === undefined) return
    this.#sent += 1
    const call = await this.#send(gateway, agent, { id: `${this.#seed}-${this.#sent}`, kind: 'again', path: `/v-${version}/x`, version })
    // A later version that was not acknowledged may be in force all the same.
    const later = [...this.#acked].filter(([number]) => number > version).map(([, at]) => at)
    const isNewest = version === this.#version
    if (later.length > 0 || isNewest) this.#watch.noteVersionTry(call, ackedAt, later.length === 0 ? null : Math.min(...later))
  }

  async #keepPutting (): Promise<void> {
    while (!this.#isOver) {
      await this.#put()
      await sleep(documentPauseMs * (0.5 + this.#random()))
    }
  }

  // Puts the next document; a lost acknowledgement is made up for by sending it again.
  async #put (): Promise<boolean> {
    this.#version += 1
    const version = this.#version
    const text = JSON.stringify(composeDocument(version))
    for (let tries = 0; tries < 8; tries++) {
      const { status } = await this.#stage.operate((version + tries) % this.#shape.registries, 'PUT', '/v1/routing', text)
      if (status === 200) {
        this.#acked.set(version, performance.now())
        return true
      }
      await sleep(100)
    }
    return false
  }

  // Faults.

  async #play (fault: SoakFault): Promise<void> {
    const { registries, gateways, endpoints, links } = this.#stage
    switch (fault.on) {
      case 'gateway': return await this.#disturb(gateways[fault.box], fault.what, -1)
      case 'registry': return await this.#disturb(registries[fault.box], fault.what, fault.box)
      case 'registries': {
        await Promise.all(registries.map((box, i) => this.#disturb(box, { type: 'kill', ms: fault.ms }, i)))
        return
      }
      case 'link': return await this.#during(`link ${fault.registry}`, fault.ms, () => links[fault.registry].set(fault.mode), () => links[fault.registry].set('pass'))
      case 'road': {
        const { road } = endpoints[fault.endpoint]
        return await this.#during(`road ${fault.endpoint}`, fault.ms, () => road.set(fault.mode), () => road.set('pass'))
      }
      case 'endpoint': {
        const { standin } = endpoints[fault.endpoint]
        const set = fault.fault === 'break' ? { type: fault.fault, afterEvents: 2 } as const : { type: fault.fault } as const
        return await this.#during(`endpoint ${fault.endpoint}`, fault.ms, () => { standin.fault = set }, () => { standin.fault = { type: 'none' } })
      }
      case 'drain': return await this.#drain(endpoints[fault.endpoint], fault.ms)
    }
  }

  async #during (part: string, ms: number, begin: () => void, end: () => void): Promise<void> {
    const over = this.#disturbances.begin(part, performance.now())
    begin()
    await sleep(ms)
    end()
    over(performance.now())
  }

  async #disturb (box: StagedBox, what: ProcessFault, registry: number): Promise<void> {
    if (!box.process.isRunning) return
    if (what.type === 'reload') return box.process.signal('SIGHUP')
    // A second signal to end asks a program to end at once.
    if (what.type === 'stop' && this.#stopping.has(box)) return
    // A planned stop is no disturbance of what its gateway promises.
    const isPlanned = what.type === 'stop' && registry < 0
    const over = this.#disturbances.begin(isPlanned ? `stop ${box.name}` : box.name, performance.now())
    switch (what.type) {
      case 'pause':
        box.process.signal('SIGSTOP')
        await sleep(what.ms)
        box.process.signal('SIGCONT')
        break
      case 'stop':
        this.#stopping.add(box)
        box.process.signal('SIGTERM')
        while (box.process.isRunning) await sleep(20)
        this.#stopping.delete(box)
        await sleep(what.ms)
        break
      case 'kill':
      case 'wipe':
      case 'tear':
        await box.process.kill()
        if (what.type === 'wipe') this.#stage.wipe(registry)
        if (what.type === 'tear') this.#stage.tear(registry)
        await sleep(what.ms)
    }
    if (what.type !== 'pause') this.#restart(box)
    over(performance.now())
    // What starts is no longer calm until it had time to learn what is in force.
    this.#disturbances.begin(box.name, performance.now())(performance.now())
  }

  #restart (box: StagedBox): void {
    if (box.process.isRunning) return
    this.#lives.set(box.name, (this.#lives.get(box.name) ?? 0) + 1)
    box.process.start()
  }

  async #drain (endpoint: StagedEndpoint, ms: number): Promise<void> {
    if (endpoint.stage === 'draining') return
    endpoint.stage = 'draining'
    const taken = await this.#stage.register(endpoint)
    const takenAt = performance.now()
    const until = takenAt + 2000 + ms
    let before = endpoint.standin.runs.length
    while (performance.now() < until) {
      await sleep(25)
      const runs = endpoint.standin.runs.slice(before)
      before += runs.length
      const now = performance.now()
      if (taken) for (const run of runs) this.#watch.noteRunWhileLeaving(run, now - takenAt - 50, now)
    }
    endpoint.stage = 'ready'
  }

  // The end.

  async #checkRecovery (): Promise<void> {
    await this.#expect(recoverMs, 'all is served again after the faults', () => this.#isServing())
    const newest = Math.max(...this.#acked.keys())
    await this.#expect(recoverMs, 'the newest document can be read', async () => (await this.#read()) !== null)
    const read = await this.#read()
    if (read !== null && read < newest) this.#watch.violate('an acknowledged document is lost', `read ${read}, acknowledged ${newest}`)
  }

  async #read (): Promise<number | null> {
    const { status, body } = await this.#stage.operate(0, 'GET', '/v1/routing')
    return status === 200 ? (JSON.parse(body) as { version: number }).version : null
  }

  async #isServing (): Promise<boolean> {
    for (let i = 0; i < this.#stage.gateways.length; i++) {
      if (!await this.#stage.isReady(i)) return false
      const agent = new Agent()
      const call = await this.#call(i, agent, 'again')
      this.#watch.note(call)
      if (call.end.status !== 200) return false
    }
    return true
  }

  async #expect (withinMs: number, what: string, holds: () => Promise<boolean>): Promise<void> {
    const until = performance.now() + withinMs
    while (performance.now() < until) {
      if (await holds()) return
      await sleep(100)
    }
    this.#watch.violate('it did not come about', what)
  }

  #checkLogs (): void {
    for (const { name, process } of [...this.#stage.registries, ...this.#stage.gateways]) {
      for (const line of process.lines) if (line.includes('event=violation')) this.#watch.violate('a process saw a fault of its own', `${name}: ${line}`)
    }
  }

  #report (faults: number): SoakReport {
    const { violations, calls } = this.#watch
    const boxes = violations.length === 0 ? [] : [...this.#stage.registries, ...this.#stage.gateways]
    const logs = new Map(boxes.map(({ name, process }) => [name, [...process.lines]]))
    return { violations, calls: calls.length, served: calls.filter(call => call.end.status === 200 && call.end.isWhole).length, faults, logs }
  }
}

function composeDocument (version: number): object {
  const services = [{ service: 'desk' }]
  const route = (name: string, kind: string, more: object = {}) => ({ name, host, prefix: `/${name}/`, kind, timeoutMs: holdMs, targetMs: 300, mostAttempts: 2, services, ...more })
  const routes = [route('once', 'once'), route('again', 'repeatable'), route('stream', 'events'), route('resume', 'events', { resumable: true, pauseMs: 100 }), route(`v-${version}`, 'repeatable')]
  return { version, routes, services: [{ name: 'desk' }], workspaces: [{ name: 'camp', keys: [key] }] }
}
