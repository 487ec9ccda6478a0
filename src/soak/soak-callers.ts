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
import { holdMs } from './guarantee-checker.js'
import type { GuaranteeChecker, WatchedCall } from './guarantee-checker.js'
import { composeRankedRoutes } from './ranked-callers.js'
import { callerPort, engineService, engineShape, plainService } from './soak-stage.js'
import type { SoakStage } from './soak-stage.js'

/** What callers and the operator need of their history. */
export interface SoakCallersOptions {
  readonly seed: number
  readonly testbed: SoakStage
  readonly checker: GuaranteeChecker
  /** Gives numbers from 0 up to 1. */
  readonly random: () => number
  /** How often a gateway's process was started anew. */
  countRestarts (gateway: string): number
}

/** Callers at each gateway. */
const callersPerGateway = 3
/** Pause of a caller between its calls, ms. */
const callerPauseMs = 15
/** Part of the calls that ask for a path of one version. */
const versionShare = 0.25
/** Versions back to which such calls go, the newest among them. */
const recentVersions = 3
/** Pause between two documents, ms; drawn from half of it up to half as much again. */
const documentPauseMs = 600
/** Tries of putting one document, and the pause between them, ms. */
const maxPutAttempts = 8
const putRetryMs = 100
/** Events of a stream: from the least, so many different counts. */
const minEvents = 3
const eventCounts = 12
const kinds: readonly WatchedCall['kind'][] = ['once', 'again', 'stream', 'resume']

export class SoakCallers {
  #options: SoakCallersOptions
  #sent = 0
  #version = 0
  /** When each version was acknowledged. */
  #acknowledgedAt = new Map<number, number>()
  #isStopping = false
  #running: Promise<void>[] = []

  constructor (options: SoakCallersOptions) {
    this.#options = options
  }

  /** The newest version that was acknowledged. */
  get newestAcknowledged (): number { return Math.max(...this.#acknowledgedAt.keys()) }

  /** Begins to call and to put documents. */
  start (): void {
    const callers = this.#options.testbed.gateways.flatMap((_, i) => Array.from({ length: callersPerGateway }, () => this.#callRepeatedly(i)))
    this.#running = [...callers, this.#putRepeatedly()]
  }

  /** Resolves once the calls under way have ended and no more will come. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  /** Puts the next document; a lost acknowledgement is made up for by sending it again. Resolves with true once one came. */
  async putDocument (): Promise<boolean> {
    const { testbed } = this.#options
    this.#version += 1
    const version = this.#version
    const text = JSON.stringify(composeDocument(version, testbed.engines.length > 0))
    for (let attempt = 0; attempt < maxPutAttempts; attempt++) {
      const { status } = await testbed.ask((version + attempt) % testbed.registries.length, 'PUT', '/v1/routing', text)
      if (status === 200) {
        this.#acknowledgedAt.set(version, performance.now())
        return true
      }
      await sleep(putRetryMs)
    }
    return false
  }

  /** Makes one call that may be repeated, over a connection of its own; true where it was answered. */
  async callOnce (gateway: number): Promise<boolean> {
    const call = await this.#call(gateway, new Agent(), 'again')
    this.#options.checker.check(call)
    return call.result.status === 200
  }

  async #callRepeatedly (gateway: number): Promise<void> {
    const { random, checker } = this.#options
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isStopping) {
      if (random() < versionShare && this.#version > 0) await this.#callVersion(gateway, agent)
      else checker.check(await this.#call(gateway, agent, kinds[Math.floor(random() * kinds.length)]))
      await sleep(callerPauseMs)
    }
    agent.destroy()
  }

  async #putRepeatedly (): Promise<void> {
    while (!this.#isStopping) {
      await this.putDocument()
      await sleep(documentPauseMs * (0.5 + this.#options.random()))
    }
  }

  async #call (gateway: number, agent: Agent, kind: WatchedCall['kind']): Promise<WatchedCall> {
    const id = this.#createId()
    const isStream = kind === 'stream' || kind === 'resume'
    const path = isStream ? `/${kind}/events-${minEvents + this.#sent % eventCounts}` : `/${kind}/${this.#sent}`
    return await this.#send(gateway, agent, { id, kind, path, version: this.#version })
  }

  // Asks for a path that only the newest, or an older, version knows.
  async #callVersion (gateway: number, agent: Agent): Promise<void> {
    const version = Math.max(1, this.#version - Math.floor(this.#options.random() * recentVersions))
    const acknowledgedAt = this.#acknowledgedAt.get(version)
    if (acknowledgedAt === undefined) return
    const call = await this.#send(gateway, agent, { id: this.#createId(), kind: 'again', path: `/v-${version}/x`, version })
    // A later version that was not acknowledged may be in force all the same.
    const laterAcknowledgedAt = [...this.#acknowledgedAt].filter(([number]) => number > version).map(([, at]) => at)
    const isNewest = version === this.#version
    if (laterAcknowledgedAt.length > 0 || isNewest) this.#options.checker.checkVersionCall(call, acknowledgedAt, laterAcknowledgedAt.length === 0 ? null : Math.min(...laterAcknowledgedAt))
  }

  async #send (gateway: number, agent: Agent, { id, kind, path, version }: Pick<WatchedCall, 'id' | 'kind' | 'path' | 'version'>): Promise<WatchedCall> {
    const { name, host: gatewayHost } = this.#options.testbed.gateways[gateway]
    const body = `body of ${id}`
    const gatewayRestarts = this.#options.countRestarts(name)
    const sentAt = performance.now()
    const result = await callHttp({ host: gatewayHost, port: callerPort, method: 'POST', path, headers: composeCaller(id), agent, timeout: 4 * holdMs }, body)
    return { id, gateway: name, gatewayRestarts, kind, path, body, version, sentAt, endedAt: performance.now(), result }
  }

  #createId (): string {
    this.#sent += 1
    return `${this.#options.seed}-${this.#sent}`
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
