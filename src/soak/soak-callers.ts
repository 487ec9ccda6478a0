/**
 * The callers and the operator of a soak run: calls of every kind through every
 * gateway, and new document versions put to the registries. Each call is checked
 * when it ends.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHost, callerKey, composeCallerHeaders } from './caller-headers.js'
import { composeContentionParts } from './contention-plan.js'
import { callHttp } from './http-call.js'
import type { ReadPacer } from './http-call.js'
import { routeTimeoutMs } from './guarantee-checker.js'
import type { GuaranteeChecker, CheckedCall } from './guarantee-checker.js'
import { composeRankedRoutes } from './ranked-callers.js'
import { steadyCallsPerSecond, streamShape } from './silence-plan.js'
import { callerPort, engineService, engineShape, plainService } from './soak-testbed.js'
import type { SoakTestbed } from './soak-testbed.js'
import { composeWriterParts } from './stop-plan.js'

/** Dependencies of the callers and the operator. */
export interface SoakCallersOptions {
  readonly seed: number
  readonly testbed: SoakTestbed
  readonly checker: GuaranteeChecker
  /** Returns a number in [0, 1). */
  readonly random: () => number
  countRestarts (gateway: string): number
}

/** Number of callers per gateway. */
const callersPerGateway = 3
/** Pause of a caller between its calls, ms. */
const callerPauseMs = 15
/** Fraction of the calls whose path exists in one document version only. */
const versionShare = 0.25
/** Such calls go to one of this number of newest versions. */
const recentVersions = 3
/** Nominal pause between two documents, ms; pauses are drawn from 0.5 to 1.5 times it. */
const documentPauseMs = 600
/** Maximum number of attempts to put one document, and the pause between them, ms. */
const maxPutAttempts = 8
const putRetryMs = 100
/** Streams have from `minEvents` events up, with `eventCounts` different counts. */
const minEvents = 3
const eventCounts = 12
const kinds: readonly CheckedCall['kind'][] = ['once', 'again', 'stream', 'resume']
const isStreamKind = (kind: CheckedCall['kind']): boolean => kind === 'stream' || kind === 'resume'

export class SoakCallers {
  #options: SoakCallersOptions
  #sent = 0
  #version = 0
  /** Time of acknowledgement by version. */
  #acknowledgedAt = new Map<number, number>()
  #isStopping = false
  #running: Promise<void>[] = []

  constructor (options: SoakCallersOptions) {
    this.#options = options
  }

  /** Newest acknowledged version. */
  get newestAcknowledged (): number { return Math.max(...this.#acknowledgedAt.keys()) }

  /** Starts calling and putting documents. */
  start (): void {
    const callers = this.#options.testbed.gateways.flatMap((_, i) => Array.from({ length: callersPerGateway }, () => this.#callRepeatedly(i)))
    const steady = this.#options.testbed.hasSilences ? this.#options.testbed.gateways.map((_, i) => this.#callSteadily(i)) : []
    this.#running = [...callers, ...steady, this.#putRepeatedly()]
  }

  /** Stops; resolves once the calls in flight have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  /** Puts the next document version; sends it again if no acknowledgement arrives. Resolves with false if all attempts fail. */
  async putDocument (): Promise<boolean> {
    const { testbed } = this.#options
    this.#version += 1
    const version = this.#version
    const text = JSON.stringify(composeDocument(version, testbed))
    for (let attempt = 0; attempt < maxPutAttempts; attempt++) {
      const { status } = await testbed.callRegistry((version + attempt) % testbed.registries.length, 'PUT', '/v1/routing', text)
      if (status === 200) {
        this.#acknowledgedAt.set(version, performance.now())
        return true
      }
      await sleep(putRetryMs)
    }
    return false
  }

  /** Makes one repeatable call over a new connection; resolves with true if its status is 200. */
  async callOnce (gateway: number): Promise<boolean> {
    const call = await this.#call(gateway, new Agent(), 'again')
    this.#options.checker.check(call)
    return call.result.status === 200
  }

  async #callRepeatedly (gateway: number): Promise<void> {
    const { random } = this.#options
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isStopping) {
      if (random() < versionShare && this.#version > 0) await this.#callVersion(gateway, agent)
      else await this.#callAndCheck(gateway, agent)
      await sleep(callerPauseMs)
    }
    agent.destroy()
  }

  // Calls at a steady rate, each over a new connection.
  async #callSteadily (gateway: number): Promise<void> {
    const running: Promise<void>[] = []
    while (!this.#isStopping) {
      running.push(this.#callAndCheck(gateway, false))
      await sleep(1000 / steadyCallsPerSecond)
    }
    await Promise.all(running)
  }

  async #callAndCheck (gateway: number, agent: Agent | false): Promise<void> {
    const { random, checker, testbed } = this.#options
    const kind = kinds[Math.floor(random() * kinds.length)]
    checker.check(await this.#call(gateway, agent, kind), testbed.hasSilences && isStreamKind(kind) ? streamShape.timeoutMs : routeTimeoutMs)
  }

  async #putRepeatedly (): Promise<void> {
    while (!this.#isStopping) {
      await this.putDocument()
      await sleep(documentPauseMs * (0.5 + this.#options.random()))
    }
  }

  async #call (gateway: number, agent: Agent | false, kind: CheckedCall['kind']): Promise<CheckedCall> {
    const id = this.#createId()
    const isLong = this.#options.testbed.hasSilences && isStreamKind(kind)
    const path = isStreamKind(kind) ? `/${kind}/events-${(isLong ? streamShape.minEvents : minEvents) + this.#sent % eventCounts}` : `/${kind}/${this.#sent}`
    const limits = isLong ? { deadlineMs: streamShape.timeoutMs, timeoutMs: 2 * streamShape.timeoutMs } : {}
    return await callGateway(this.#options, gateway, { id, kind, path, version: this.#version }, { agent, ...limits })
  }

  // Calls a path that exists only in one of the newest document versions.
  async #callVersion (gateway: number, agent: Agent): Promise<void> {
    const version = Math.max(1, this.#version - Math.floor(this.#options.random() * recentVersions))
    const acknowledgedAt = this.#acknowledgedAt.get(version)
    if (acknowledgedAt === undefined) return
    const call = await callGateway(this.#options, gateway, { id: this.#createId(), kind: 'again', path: `/v-${version}/x`, version }, { agent })
    // A later version may be in force even without an acknowledgement, so an older version is checked only if a later one was acknowledged.
    const laterAcknowledgedAt = [...this.#acknowledgedAt].filter(([number]) => number > version).map(([, at]) => at)
    const isNewest = version === this.#version
    if (laterAcknowledgedAt.length > 0 || isNewest) this.#options.checker.checkVersionCall(call, acknowledgedAt, laterAcknowledgedAt.length === 0 ? null : Math.min(...laterAcknowledgedAt))
  }

  #createId (): string {
    this.#sent += 1
    return `${this.#options.seed}-${this.#sent}`
  }
}

/** Makes one call through a gateway. `timeoutMs`: longest inactivity of its connection. */
export async function callGateway (
  { testbed, countRestarts }: SoakCallersOptions, gateway: number, { id, kind, path, version }: Pick<CheckedCall, 'id' | 'kind' | 'path' | 'version'>,
  { agent, key, deadlineMs, timeoutMs = 4 * routeTimeoutMs, headers, pacer }: { agent?: Agent | false, key?: string, deadlineMs?: number, timeoutMs?: number, headers?: Record<string, string>, pacer?: ReadPacer }
): Promise<CheckedCall> {
  const { name, host: gatewayHost } = testbed.gateways[gateway]
  const body = `body of ${id}`
  const gatewayRestarts = countRestarts(name)
  const sentAt = performance.now()
  const result = await callHttp({ host: gatewayHost, port: callerPort, method: 'POST', path, headers: { ...composeCallerHeaders(id, deadlineMs, key), ...headers }, agent: agent ?? false, timeout: timeoutMs }, body, pacer)
  return { id, gateway: name, gatewayRestarts, kind, path, body, version, sentAt, endedAt: performance.now(), result }
}

// Composes a routing document; it includes the language-model service if there are engines, and the services and workspaces of a run with contention, and the long streams of one with stops.
function composeDocument (version: number, { engines: { length: engineCount }, contention, hasSilences, hasStops }: SoakTestbed): object {
  const hasEngines = engineCount > 0
  const streamTimeoutMs = hasSilences ? streamShape.timeoutMs : routeTimeoutMs
  const contended = contention !== null ? composeContentionParts() : { routes: [], services: [], workspaces: [] }
  const writers = hasStops ? composeWriterParts() : { routes: [], services: [] }
  const services = [{ service: plainService }]
  const route = (name: string, kind: string, more: object = {}) => ({ name, host: callerHost, prefix: `/${name}/`, kind, timeoutMs: routeTimeoutMs, targetMs: 300, mostAttempts: 2, services, ...more })
  const routes = [
    route('once', 'once'),
    route('again', 'repeatable'),
    route('stream', 'events', { timeoutMs: streamTimeoutMs }),
    route('resume', 'events', { timeoutMs: streamTimeoutMs, resumable: true, pauseMs: 100 }),
    route(`v-${version}`, 'repeatable'),
    ...hasEngines ? composeRankedRoutes(engineService) : [],
    ...contended.routes,
    ...writers.routes
  ]
  const { batch: slots, kvTokens: memoryTokens, tokensPerEvent } = engineShape
  const engines = hasEngines ? [{ name: engineService, engine: { slots, memoryTokens, tokensPerEvent } }] : []
  return { version, routes, services: [{ name: plainService }, ...engines, ...contended.services, ...writers.services], workspaces: [{ name: 'camp', keys: [callerKey] }, ...contended.workspaces] }
}
