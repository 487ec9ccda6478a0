/**
 * The callers of a history and its operator: calls of every kind through every
 * gateway, and newer documents put at the registries. Each call is checked as it
 * ends.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHost, callerKey, composeCaller } from './caller-words.js'
import { callHttp } from './http-call.js'
import { holdMs } from './promise-watch.js'
import type { PromiseWatch, WatchedCall } from './promise-watch.js'
import { composeRankedRoutes } from './ranked-callers.js'
import { callerPort, engineService, engineShape, plainService } from './soak-stage.js'
import type { SoakStage } from './soak-stage.js'

/** What callers and the operator need of their history. */
export interface CallersHost {
  readonly seed: number
  readonly stage: SoakStage
  readonly watch: PromiseWatch
  /** Gives numbers from 0 up to 1. */
  readonly random: () => number
  /** How often a gateway's process was started anew. */
  countLives (gateway: string): number
}

/** Callers at each gateway. */
const callersPerGateway = 3
/** Pause of a caller between its calls, ms. */
const callerPauseMs = 15
/** Part of the calls that ask for a path of one version. */
const versionShare = 0.25
/** Versions back to which such calls go, the newest among them. */
const versionsBack = 3
/** Pause between two documents, ms; drawn from half of it up to half as much again. */
const documentPauseMs = 600
/** Tries of putting one document, and the pause between them, ms. */
const mostPuts = 8
const putPauseMs = 100
/** Events of a stream: from the least, so many different counts. */
const leastEvents = 3
const eventCounts = 12
const kinds: readonly WatchedCall['kind'][] = ['once', 'again', 'stream', 'resume']

export class SoakCallers {
  #host: CallersHost
  #sent = 0
  #version = 0
  /** When each version was acknowledged. */
  #acked = new Map<number, number>()
  #isOver = false
  #running: Promise<void>[] = []

  constructor (host: CallersHost) {
    this.#host = host
  }

  /** The newest version that was acknowledged. */
  get newestAcked (): number { return Math.max(...this.#acked.keys()) }

  /** Begins to call and to put documents. */
  start (): void {
    const callers = this.#host.stage.gateways.flatMap((_, i) => Array.from({ length: callersPerGateway }, () => this.#keepCalling(i)))
    this.#running = [...callers, this.#keepPutting()]
  }

  /** Resolves once the calls under way have ended and no more will come. */
  async finish (): Promise<void> {
    this.#isOver = true
    await Promise.all(this.#running)
  }

  /** Puts the next document; a lost acknowledgement is made up for by sending it again. Resolves with true once one came. */
  async put (): Promise<boolean> {
    const { stage } = this.#host
    this.#version += 1
    const version = this.#version
    const text = JSON.stringify(composeDocument(version, stage.engines.length > 0))
    for (let tries = 0; tries < mostPuts; tries++) {
      const { status } = await stage.ask((version + tries) % stage.registries.length, 'PUT', '/v1/routing', text)
      if (status === 200) {
        this.#acked.set(version, performance.now())
        return true
      }
      await sleep(putPauseMs)
    }
    return false
  }

  /** Makes one call that may be repeated, over a connection of its own; true where it was answered. */
  async tryOnce (gateway: number): Promise<boolean> {
    const call = await this.#call(gateway, new Agent(), 'again')
    this.#host.watch.note(call)
    return call.end.status === 200
  }

  async #keepCalling (gateway: number): Promise<void> {
    const { random, watch } = this.#host
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isOver) {
      if (random() < versionShare && this.#version > 0) await this.#tryVersion(gateway, agent)
      else watch.note(await this.#call(gateway, agent, kinds[Math.floor(random() * kinds.length)]))
      await sleep(callerPauseMs)
    }
    agent.destroy()
  }

  async #keepPutting (): Promise<void> {
    while (!this.#isOver) {
      await this.put()
      await sleep(documentPauseMs * (0.5 + this.#host.random()))
    }
  }

  async #call (gateway: number, agent: Agent, kind: WatchedCall['kind']): Promise<WatchedCall> {
    const id = this.#nextId()
    const isStream = kind === 'stream' || kind === 'resume'
    const path = isStream ? `/${kind}/events-${leastEvents + this.#sent % eventCounts}` : `/${kind}/${this.#sent}`
    return await this.#send(gateway, agent, { id, kind, path, version: this.#version })
  }

  // Asks for a path that only the newest, or an older, version knows.
  async #tryVersion (gateway: number, agent: Agent): Promise<void> {
    const version = Math.max(1, this.#version - Math.floor(this.#host.random() * versionsBack))
    const ackedAt = this.#acked.get(version)
    if (ackedAt === undefined) return
    const call = await this.#send(gateway, agent, { id: this.#nextId(), kind: 'again', path: `/v-${version}/x`, version })
    // A later version that was not acknowledged may be in force all the same.
    const later = [...this.#acked].filter(([number]) => number > version).map(([, at]) => at)
    const isNewest = version === this.#version
    if (later.length > 0 || isNewest) this.#host.watch.noteVersionTry(call, ackedAt, later.length === 0 ? null : Math.min(...later))
  }

  async #send (gateway: number, agent: Agent, { id, kind, path, version }: Pick<WatchedCall, 'id' | 'kind' | 'path' | 'version'>): Promise<WatchedCall> {
    const { name, host: to } = this.#host.stage.gateways[gateway]
    const body = `body of ${id}`
    const life = this.#host.countLives(name)
    const sentAt = performance.now()
    const end = await callHttp({ host: to, port: callerPort, method: 'POST', path, headers: composeCaller(id), agent, timeout: 4 * holdMs }, body)
    return { id, gateway: name, life, kind, path, body, version, sentAt, endedAt: performance.now(), end }
  }

  #nextId (): string {
    this.#sent += 1
    return `${this.#host.seed}-${this.#sent}`
  }
}

// The language-model service stands in it where there are engines.
function composeDocument (version: number, hasEngines: boolean): object {
  const services = [{ service: plainService }]
  const route = (name: string, kind: string, more: object = {}) => ({ name, host: callerHost, prefix: `/${name}/`, kind, timeoutMs: holdMs, targetMs: 300, mostAttempts: 2, services, ...more })
  const routes = [
    route('once', 'once'),
    route('again', 'repeatable'),
    route('stream', 'events'),
    route('resume', 'events', { resumable: true, pauseMs: 100 }),
    route(`v-${version}`, 'repeatable'),
    ...hasEngines ? composeRankedRoutes(engineService) : []
  ]
  const { batch: slots, kvTokens: memoryTokens, tokensPerEvent } = engineShape
  const engines = hasEngines ? [{ name: engineService, engine: { slots, memoryTokens, tokensPerEvent } }] : []
  return { version, routes, services: [{ name: plainService }, ...engines], workspaces: [{ name: 'camp', keys: [callerKey] }] }
}
