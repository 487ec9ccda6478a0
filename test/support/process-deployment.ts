/** One registry and one gateway as processes with lowered limits, before a stand-in endpoint of the test's process. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { composeRelayHeaders } from '../../src/protocol/index.js'
import { StandinEndpoint } from '../../src/standin/index.js'
import { boxPorts } from './box-ports.js'
import type { CrowdTarget } from './client-crowds.js'
import { waitFor } from './deployment.js'
import { MeasuredProcess } from './measured-process.js'
import { call, composeDocument, key, native } from './route-deployment.js'
import type { CallAnswer } from './route-deployment.js'

/** Routes and services of a routing document. */
export interface ExtraRoutes {
  readonly routes: readonly object[]
  readonly services: readonly object[]
}

export type Listener = 'callers' | 'relay' | 'readiness' | 'gateway metrics' | 'registry' | 'registry metrics' | 'links'

const { linkPort, loadPort, operatorPort, callerPort, readyPort, relayPort, metricsPort } = boxPorts
/** Lowered limits. */
export const heapMb = 64
export const gatewayBudgetMb = 16
export const callerConnections = 300
const bodyBytes = 2 ** 20
/** The default of a registry, MB, and its connections. */
export const registryBudgetMb = 64
export const registryConnections = 2000
/** No time-out ends anything while a crowd is there, ms. */
const longMs = 600_000

export class ProcessDeployment {
  readonly registry: MeasuredProcess
  readonly gateway: MeasuredProcess
  #folder = mkdtempSync(join(tmpdir(), 'wrenlane-crowds-'))
  #network: string
  #endpoint: StandinEndpoint
  #timer: NodeJS.Timeout
  #sequence = 0

  private constructor (network: string) {
    this.#network = network
    this.#endpoint = new StandinEndpoint('endpoint', native.endpointHeaders)
    const shared = { zone: 'zone-a', linkPort, loadPort, seeds: [`${network}.0.1:${operatorPort}`], openLinks: true, metricsPort }
    this.registry = this.#start('registry', { ...shared, host: `${network}.0.1`, listen: `${network}.0.1:${operatorPort}`, data: join(this.#folder, 'data'), first: true, faults: 0, maxBodyBytes: bodyBytes })
    this.gateway = this.#start('gateway', { ...shared, host: `${network}.1.1`, listen: `${network}.1.1:${callerPort}`, ready: `${network}.1.1:${readyPort}`, relayPort, maxConnections: callerConnections, answers: { budgetMb: gatewayBudgetMb }, retries: { ratio: 0.2, extra: 50, windowSeconds: 10 } })
    this.#timer = setInterval(() => { void this.#register() }, 1000)
  }

  /** Resolves once the gateway serves. `extra`: routes and services beside those of the ordinary requests. */
  static async start (network: string, extra: ExtraRoutes = { routes: [], services: [] }): Promise<ProcessDeployment> {
    const deployment = new ProcessDeployment(network)
    await deployment.#endpoint.listen(`${network}.2.1`)
    const limits = { headerBytes: 65_536, bodyBytes, headerMs: longMs, idleMs: longMs }
    const route = (name: string, kind: string) => ({ name, host: 'camp.example', prefix: `/${name}/`, kind, timeoutMs: longMs, targetMs: 10_000, mostAttempts: 2, services: [{ service: 'desk' }] })
    const document = JSON.stringify(composeDocument(1, { limits, routes: [route('once', 'once'), ...extra.routes], services: [{ name: 'desk' }, ...extra.services] }))
    await waitFor(async () => (await deployment.#operate('PUT', '/v1/routing', document)).status === 200, 'the document taken')
    await deployment.#register()
    await waitFor(async () => (await deployment.ask('ordinary')).status === 200, 'the gateway serves')
    return deployment
  }

  /** One ordinary request of a caller, on a connection of its own. */
  ask (requestId: string, body = 'a body'): Promise<CallAnswer> {
    return call({ host: `${this.#network}.1.1`, port: callerPort, method: 'POST', path: '/once/x', headers: this.#composeHeaders(requestId), body })
  }

  get endpointHost (): string { return `${this.#network}.2.1` }

  /** One request of a caller to any route, on a connection of its own. */
  askAt (path: string, requestId: string, deadlineMs: number): Promise<CallAnswer> {
    return call({ host: `${this.#network}.1.1`, port: callerPort, method: 'POST', path, headers: { host: 'camp.example', ...native.composeCall(requestId, key, deadlineMs) }, body: 'a body' })
  }

  /** Registers an endpoint of the test's own. */
  async register (id: string, service: string, port: number): Promise<void> {
    await this.#operate('PUT', `/v1/endpoints/${id}`, JSON.stringify({ service, host: this.endpointHost, port, zone: 'zone-a', slots: 1000, sequence: 1, born: 1, stage: 'ready' }))
  }

  /** One ordinary call to a listener. */
  askListener (listener: Listener): Promise<CallAnswer> {
    switch (listener) {
      case 'callers': return this.ask('afterwards')
      case 'relay': return this.#call('1.1', relayPort, 'POST', '/once/x', { ...this.#relayHeaders, ...this.#composeHeaders('relayed') }, 'a body')
      case 'readiness': return this.#call('1.1', readyPort, 'GET', native.dialect.readyPath)
      case 'gateway metrics': return this.#call('1.1', metricsPort, 'GET', '/metrics')
      case 'registry':
      case 'links': return this.#operate('GET', '/v1/routing')
      case 'registry metrics': return this.#call('0.1', metricsPort, 'GET', '/metrics')
    }
  }

  findTarget (listener: Listener): CrowdTarget {
    const shared = { bodyBytes, method: 'POST' }
    switch (listener) {
      case 'callers': return { ...shared, host: `${this.#network}.1.1`, port: callerPort, path: '/once/x', headers: this.#composeHeaders('crowd') }
      case 'relay': return { ...shared, host: `${this.#network}.1.1`, port: relayPort, path: '/once/x', headers: { ...this.#relayHeaders, ...this.#composeHeaders('crowd') } }
      case 'readiness': return { ...shared, host: `${this.#network}.1.1`, port: readyPort, method: 'GET', path: native.dialect.readyPath, headers: { host: 'gateway' } }
      case 'gateway metrics': return { ...shared, host: `${this.#network}.1.1`, port: metricsPort, method: 'GET', path: '/metrics', headers: { host: 'gateway' } }
      case 'registry': return { ...shared, host: `${this.#network}.0.1`, port: operatorPort, method: 'PUT', path: '/v1/routing', headers: { host: 'registry' } }
      case 'links': return { ...shared, host: `${this.#network}.0.1`, port: linkPort, path: '', headers: {} }
      case 'registry metrics': return { ...shared, host: `${this.#network}.0.1`, port: metricsPort, method: 'GET', path: '/metrics', headers: { host: 'registry' } }
    }
  }

  /** The process that listens there. */
  findProcess (listener: Listener): MeasuredProcess { return listener === 'links' || listener.startsWith('registry') ? this.registry : this.gateway }

  async stop (): Promise<void> {
    clearInterval(this.#timer)
    await this.gateway.stop()
    await this.registry.stop()
    this.#endpoint.close()
    rmSync(this.#folder, { recursive: true, force: true, maxRetries: 3 })
  }

  #start (program: string, settings: object): MeasuredProcess {
    const path = join(this.#folder, `${program}.toml`)
    writeFileSync(path, stringify({ id: program, ...settings }))
    return new MeasuredProcess(program, heapMb, [path])
  }

  #composeHeaders (requestId: string): Record<string, string> { return { host: 'camp.example', ...native.composeCall(requestId, key, longMs) } }

  get #relayHeaders (): Record<string, string> {
    const [endpointName, endpoint, taskName, task] = composeRelayHeaders('forward', 'endpoint' as never, null, 0)
    return { [endpointName]: endpoint, [taskName]: task }
  }

  #operate (method: string, path: string, body = ''): Promise<CallAnswer> { return this.#call('0.1', operatorPort, method, path, {}, body) }

  #call (host: string, port: number, method: string, path: string, headers: Record<string, string> = {}, body = ''): Promise<CallAnswer> {
    return call({ host: `${this.#network}.${host}`, port, method, path, headers, body })
  }

  async #register (): Promise<void> {
    this.#sequence += 1
    const { id, port } = this.#endpoint
    await this.#operate('PUT', `/v1/endpoints/${id}`, JSON.stringify({ service: 'desk', host: `${this.#network}.2.1`, port, zone: 'zone-a', slots: 1000, sequence: this.#sequence, born: 1, stage: 'ready' }))
  }
}
