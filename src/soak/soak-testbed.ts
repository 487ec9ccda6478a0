/**
 * The testbed of a soak run: registries and gateways as processes, stand-in
 * endpoints behind proxies, and proxies before the registries' links. All of them
 * use loopback addresses of a network that is derived from the run's number.
 */
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { stringify } from 'smol-toml'
import { StandinEndpoint } from '../standin/index.js'
import type { CrashShape, PacedEngineShape } from '../standin/index.js'
import { contentionEndpoints } from './contention-plan.js'
import type { ContentionPlan } from './contention-plan.js'
import { FaultProxy } from './fault-proxy.js'
import type { SoakShape } from './fault-draw.js'
import { callHttp } from './http-call.js'
import type { HttpResult } from './http-call.js'
import { ProgramProcess } from './program-process.js'
import type { ProcessExit } from './program-process.js'
import { endpointSlots, streamShape } from './silence-plan.js'
import { writerCount, writerEventMs, writerService } from './stop-plan.js'

/** The process of a registry or a gateway, and its address. */
export interface TestbedBox {
  readonly name: string
  readonly host: string
  readonly process: ProgramProcess
  /** Data folder; null for a gateway. */
  readonly data: string | null
}

/** A stand-in endpoint, the proxy before it, and what the endpoint registers. */
export interface TestbedEndpoint {
  readonly standin: StandinEndpoint
  readonly proxy: FaultProxy
  /** Port of the proxy. */
  readonly port: number
  readonly service: string
  readonly zone: string
  stage: 'ready' | 'draining'
  sequence: number
  /** Start of its process, Unix ms; simulated. */
  born: number
}

/** Names of the services in a run's documents. */
export const plainService = 'desk'
export const engineService = 'assistant'
/** An engine that reads some 70 tokens/ms, like the users' engines; a chunk of a prompt takes 30 ms, and an event some 150 ms under continuous prefill. */
export const engineShape: PacedEngineShape = { batch: 64, baseMs: 4, streamMs: 0.03, contextMs: 0.004, prefillMs: 12, kvTokens: 600_000, prefixTokens: 0, prefixEntries: 0, tokensPerEvent: 5 }
/** Port on which gateways accept callers. */
export const callerPort = 7003
/** Other ports, the same on every address. */
const linkPort = 7000
const loadPort = 7001
const operatorPort = 7002
const readyPort = 7004
const relayPort = 7005
/** Part of the addresses of the first gateway's proxies before the endpoints. */
const firstPathPart = 10
const zones = ['zone-a', 'zone-b', 'zone-c']
const endpointHeaders = { requestId: 'x-wrenlane-request-id', expectedEndpoint: 'x-wrenlane-endpoint', notRun: 'x-wrenlane-not-run', mark: '', lastEvent: 'last-event-id', tokens: 'x-wrenlane-tokens', limit: 'x-wrenlane-limit', leaving: 'x-wrenlane-leaving', brittle: 'x-wrenlane-brittle' }
const programFolder = fileURLToPath(new URL('../bin/', import.meta.url))
/** Maximum number of registries in the seed list of a box. */
const maxSeeds = 3
/** How an endpoint crashes: 60 ms after it has started a harmful request; it is back after as long as a process takes to start. */
const crash: CrashShape = { afterMs: 60, downMs: 2500 }
/** Interval between registrations of an endpoint, ms. */
const heartbeatMs = 400
/** Retry budgets of gateways, and those of runs with silences, one of them in each run. */
const retries = { ratio: 0.2, extra: 50, windowSeconds: 10 }
const silenceRetries = [retries, { ...retries, extra: 20 }, { ...retries, ratio: 0, extra: 0 }]
/** Timeout of calls to registries and of readiness checks, ms. */
const operatorTimeoutMs = 1000
/** Interval of events in a run with software versions, ms. */
const versionedEventMs = 20
/** First second octet of the loopback networks for soak runs, and their number; no other test or deployment uses these. */
const firstNetwork = 150
const networkCount = 80
/** A torn record: some bytes of a record whose write was cut off by a power loss. */
const tornBytes = Buffer.from([0, 0, 1, 42, 7, 7, 7])

/** The second octet of the loopback addresses of the run with the given number. */
export function computeNetwork (number: number): number {
  return firstNetwork + number % networkCount
}

/** Whether a second octet is reserved for soak runs. */
export function isSoakNetwork (network: number): boolean {
  return network >= firstNetwork && network < firstNetwork + networkCount
}

export class SoakTestbed {
  readonly folder = mkdtempSync(join(tmpdir(), 'wrenlane-soak-'))
  readonly registries: TestbedBox[] = []
  readonly gateways: TestbedBox[] = []
  readonly endpoints: TestbedEndpoint[] = []
  /** Endpoints of the language-model service. */
  readonly engines: TestbedEndpoint[] = []
  readonly links: FaultProxy[] = []
  /** Proxies between each gateway and all endpoints; empty unless the run has faults there. */
  readonly paths: FaultProxy[][] = []
  #shape: SoakShape
  /** Settings by gateway; null in a run without contention. */
  readonly contention: ContentionPlan['settings'] | null
  #network: number
  #onUnexpectedExit: (name: string, exit: ProcessExit) => void
  #heartbeatTimer: NodeJS.Timeout | null = null

  constructor (shape: SoakShape, number: number, contention: ContentionPlan['settings'] | null, onUnexpectedExit: (name: string, exit: ProcessExit) => void) {
    this.#shape = shape
    this.contention = contention
    this.#network = computeNetwork(number)
    this.#onUnexpectedExit = onUnexpectedExit
  }

  /** Starts everything; resolves before the boxes serve. `stop` must be called even if this rejects. */
  async start (): Promise<void> {
    for (let i = 0; i < this.#shape.registries; i++) await this.#addRegistry(i)
    for (let i = 0; i < this.#shape.gateways; i++) this.#addGateway(i)
    for (let i = 0; i < this.#shape.endpoints; i++) this.endpoints.push(await this.#addEndpoint(`endpoint-${i}`, plainService, zones[this.#hasSpreadEndpoints ? i % zones.length : 0], null))
    if (this.hasVersions) for (const [i, { standin }] of this.endpoints.entries()) Object.assign(standin, { software: `v${1 + i % this.#versions}`, eventMs: versionedEventMs })
    for (const [i, { service, answerMs, slots }] of (this.contention === null ? [] : contentionEndpoints).entries()) {
      const endpoint = await this.#addEndpoint(`${service}-${i}`, service, zones[i % zones.length], null)
      Object.assign(endpoint.standin, { answerMs, slots })
      this.endpoints.push(endpoint)
    }
    for (let i = 0; i < (this.hasStops ? writerCount : 0); i++) {
      const endpoint = await this.#addEndpoint(`${writerService}-${i}`, writerService, zones[i % zones.length], null)
      endpoint.standin.eventMs = writerEventMs
      this.endpoints.push(endpoint)
    }
    for (let i = 0; i < this.#shape.engines; i++) this.engines.push(await this.#addEndpoint(`engine-${i}`, engineService, zones[i % zones.length], engineShape))
    if (this.#shape.paths === true) await this.#addPaths()
    for (const box of [...this.registries, ...this.gateways]) box.process.start()
    this.#heartbeatTimer = setInterval(() => { for (const endpoint of [...this.endpoints, ...this.engines]) if (!endpoint.standin.isDown) void this.register(endpoint) }, heartbeatMs)
  }

  /** Whether endpoints fall silent, so that callers ask for longer streams. */
  get hasSilences (): boolean { return this.#shape.silences === true }

  /** Whether gateways stop while long streams become slower. */
  get hasStops (): boolean { return this.#shape.stops === true }

  /** Endpoints of long streams. */
  get writers (): TestbedEndpoint[] { return this.endpoints.filter(({ service }) => service === writerService) }

  /** Whether endpoints name software versions. */
  get hasVersions (): boolean { return this.#versions > 0 }

  get #versions (): number { return this.#shape.versions ?? 0 }

  get retries (): typeof retries { return this.hasSilences ? silenceRetries[this.#network % silenceRetries.length] : retries }

  /** Stops everything that was started and removes its files. */
  async stop (): Promise<void> {
    if (this.#heartbeatTimer !== null) clearInterval(this.#heartbeatTimer)
    for (const { process } of [...this.gateways, ...this.registries]) await process.kill()
    for (const { standin, proxy } of [...this.endpoints, ...this.engines]) {
      proxy.close()
      standin.close()
    }
    for (const link of [...this.links, ...this.paths.flat()]) link.close()
    rmSync(this.folder, { recursive: true, force: true, maxRetries: 3 })
  }

  /** Deletes a registry's data; its process must have exited. */
  wipe (registry: number): void {
    const { data } = this.registries[registry]
    if (data !== null) rmSync(data, { recursive: true, force: true })
    this.#writeRegistry(registry, false)
  }

  /** Appends a torn record to a registry's newest log file; its process must have exited. */
  tear (registry: number): void {
    const { data } = this.registries[registry]
    // After a wipe there is no log file yet.
    if (data === null || !existsSync(data)) return
    const newest = readdirSync(data).filter(name => name.startsWith('log.')).sort((a, b) => Number(a.slice(4)) - Number(b.slice(4))).at(-1)
    if (newest === undefined) return
    // Appends no second torn record if the process exited before it truncated the last one.
    const path = join(data, newest)
    if (!readFileSync(path).subarray(-tornBytes.length).equals(tornBytes)) appendFileSync(path, tornBytes)
  }

  /** Registers an endpoint; resolves with true if a registry accepted it, with false if all of them failed. */
  async register (endpoint: TestbedEndpoint): Promise<boolean> {
    endpoint.sequence += 1
    const { standin, port, service, zone, stage, sequence, born } = endpoint
    const body = JSON.stringify({ service, host: this.#composeAddress(2, 0), port, zone, slots: Math.min(standin.slots, engineShape.batch), born, sequence, stage, ...(standin.software === '' ? {} : { software: standin.software }) })
    for (let i = 0; i < this.registries.length; i++) {
      const { status } = await this.callRegistry((sequence + i) % this.registries.length, 'PUT', `/v1/endpoints/${standin.id}`, body)
      if (status === 200) return true
    }
    return false
  }

  /** Calls a registry's operator port, as operators and endpoints do. */
  callRegistry (registry: number, method: string, path: string, body = ''): Promise<HttpResult> {
    const { host } = this.registries[registry]
    return callHttp({ host, port: operatorPort, method, path, headers: { 'content-type': 'application/json' }, timeout: operatorTimeoutMs }, body)
  }

  /** Whether a gateway reports that it is ready. */
  async isReady (gateway: number): Promise<boolean> {
    const { status } = await callHttp({ host: this.gateways[gateway].host, port: readyPort, path: '/readyz', timeout: operatorTimeoutMs }, '')
    return status === 200
  }

  // The i-th address of a part of the testbed: 0 registries and the proxies before their links, 1 gateways, 2 endpoints, 3 the registries' link servers behind these proxies.
  #composeAddress (part: number, i: number): string { return `127.${this.#network}.${part}.${i + 1}` }

  // Whether endpoints are in all zones; silent ones are in every second run.
  get #hasSpreadEndpoints (): boolean { return this.#shape.crashers > 0 || this.hasVersions || (this.hasSilences && this.#network % 2 === 1) }

  get #seeds (): string[] {
    return Array.from({ length: Math.min(maxSeeds, this.#shape.registries) }, (_, i) => `${this.#composeAddress(0, i)}:${operatorPort}`)
  }

  async #addRegistry (i: number): Promise<void> {
    const name = `registry-${i}`
    const host = this.#composeAddress(0, i)
    const link = new FaultProxy(this.#composeAddress(3, i), () => linkPort)
    await link.listen(host, linkPort)
    this.links.push(link)
    const data = join(this.folder, name)
    const process = new ProgramProcess(join(programFolder, 'registry.js'), [`${data}.toml`], exit => this.#onUnexpectedExit(name, exit))
    this.registries.push({ name, host, process, data })
    this.#writeRegistry(i, true)
  }

  // `first`: whether the registry may form a new log. After the loss of its disk it must wait to be added instead.
  #writeRegistry (i: number, first: boolean): void {
    const { name, host, data } = this.registries[i]
    const faults = (this.#shape.registries - 1) >> 1
    mkdirSync(this.folder, { recursive: true })
    writeFileSync(`${data}.toml`, stringify({ ...this.#composeShared(name, host, i), bind: this.#composeAddress(3, i), listen: `${host}:${operatorPort}`, data: data ?? '', first, faults }))
  }

  #addGateway (i: number): void {
    const name = `gateway-${i}`
    const host = this.#composeAddress(1, i)
    const settings = join(this.folder, `${name}.toml`)
    const contended = this.contention?.[i] ?? null
    const tables = contended === null ? {} : { contention: { mode: 'on' }, answers: { budgetMb: contended.budgetMb }, box: { cpuShare: contended.cpuShare, memoryMb: contended.memoryMb, linkMbps: 100 } }
    writeFileSync(settings, stringify({ ...this.#composeShared(name, host, i), listen: `${host}:${callerPort}`, ready: `${host}:${readyPort}`, relayPort, drainSeconds: 6, retries: this.retries, ...tables }))
    const [program, args] = this.#shape.paths === true ? ['soak-gateway.js', [settings, this.#composeAddress(firstPathPart + i, 0)]] as const : ['gateway.js', [settings]] as const
    const process = new ProgramProcess(join(programFolder, program), args, exit => this.#onUnexpectedExit(name, exit))
    this.gateways.push({ name, host, process, data: null })
  }

  #composeShared (id: string, host: string, i: number): Record<string, unknown> {
    return { id, zone: zones[i % zones.length], host, linkPort, loadPort, seeds: this.#seeds, openLinks: true }
  }

  /** Lets gateways connect to the endpoints again. */
  async restorePaths (boxes: readonly number[]): Promise<void> {
    const targets = this.#pathPorts
    for (const i of boxes) for (const [k, proxy] of this.paths[i].entries()) await proxy.listen(this.#composeAddress(firstPathPart + i, 0), targets[k])
  }

  get #pathPorts (): number[] { return [...this.endpoints, ...this.engines].map(({ port }) => port) }

  // A proxy for each gateway and endpoint, at the endpoint's port on an address of the gateway.
  async #addPaths (): Promise<void> {
    for (let i = 0; i < this.gateways.length; i++) this.paths.push(this.#pathPorts.map(port => new FaultProxy(this.#composeAddress(2, 0), () => port)))
    await this.restorePaths(this.gateways.map((_, i) => i))
  }

  async #addEndpoint (name: string, service: string, zone: string, engine: PacedEngineShape | null): Promise<TestbedEndpoint> {
    const host = this.#composeAddress(2, 0)
    const standin = new StandinEndpoint(`${name}-of-${this.#network}`, endpointHeaders, engine)
    await standin.listen(host)
    const proxy = new FaultProxy(host, () => standin.port)
    const endpoint: TestbedEndpoint = { standin, proxy, port: await proxy.listen(host), service, zone, stage: 'ready', sequence: 0, born: Date.now() }
    standin.crash = crash
    if (this.hasSilences && engine === null) Object.assign(standin, { eventMs: streamShape.eventMs, slots: endpointSlots })
    standin.noteCrash = () => proxy.halt()
    standin.noteRestart = () => { void this.#restart(endpoint, host) }
    return endpoint
  }

  // A restarted process has lost its state, including its sequence number.
  async #restart (endpoint: TestbedEndpoint, host: string): Promise<void> {
    await endpoint.proxy.listen(host, endpoint.port)
    endpoint.sequence = 0
    endpoint.born = Date.now()
    if (await this.register(endpoint)) endpoint.standin.noteRegistered()
  }
}
