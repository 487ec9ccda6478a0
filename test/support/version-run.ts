/**
 * Plays resumable streams at endpoints of several software versions. An endpoint crashes every 1.2 s; callers take
 * broken streams up at other gateways; gateways are killed, cut off from the registries, and versions are rolled out.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { readEvents } from '../../src/standin/index.js'
import type { StandinEndpoint } from '../../src/standin/index.js'
import { waitFor } from './deployment.js'
import { RegistryCut } from './registry-cut.js'
import { RouteDeployment, composeDocument } from './route-deployment.js'

export interface VersionShape {
  /** Number of the deployment. */
  readonly number: number
  readonly gateways: number
  /** Versions of the endpoints at the start; empty for one that names none. */
  readonly versions: readonly string[]
  readonly ms: number
  /** Whether a gateway is killed every 5 s. */
  readonly kills?: boolean
  /** The last gateways, this many, are cut off from 35% to 70% of the time. */
  readonly cut?: number
  /** Whether each endpoint of v1 drains, ends and is replaced by one of v2. */
  readonly rollOut?: boolean
  /** Whether an endpoint that crashed comes back with any of the versions. */
  readonly swaps?: boolean
}

/** Requests to gateways in touch for the rest of a stream; `wentOn`: how many brought events. */
export interface TakenUp {
  takenUp: number
  wentOn: number
}

export interface VersionCounts {
  streams: number
  /** Answers that hold events of several versions, and streams that do over their caller's tries. */
  mixedAnswers: number
  mixedStreams: number
  /** Streams with an event that is missing or came twice. */
  brokenOrders: number
  /** By whether the stream had begun at a gateway that was cut off. */
  readonly connected: TakenUp
  readonly cutOff: TakenUp
  /** New streams sent to gateways in touch, and how many of them began. */
  sent: number
  begun: number
  /** Requests to gateways in touch that brought no event, by stream, status and error. */
  readonly failures: Record<string, number>
}

const events = 40
const path = `/resume/events-${events}`
/** Interval of the events of a stream, and pause between the starts of two streams, ms. */
const eventMs = 50
const streamPauseMs = 31
/** How often an endpoint crashes and a gateway is killed, how long each is down, and how long an endpoint drains, ms. */
const crashIntervalMs = 1200
const killIntervalMs = 5000
const downMs = 2000
const drainMs = 2500
/** Most requests for a stream, the pause between two of them, and their deadline, ms. */
const maxTries = 4
const retryMs = 150
const deadlineMs = 12_000
/** A gateway counts as in touch again this long after a start or the end of a cut, ms. */
const settleMs = 1500
const zones = ['zone-a', 'zone-b', 'zone-c']

export class VersionRun {
  readonly counts: VersionCounts = { streams: 0, mixedAnswers: 0, mixedStreams: 0, brokenOrders: 0, connected: { takenUp: 0, wentOn: 0 }, cutOff: { takenUp: 0, wentOn: 0 }, sent: 0, begun: 0, failures: {} }
  #shape: VersionShape
  #deployment: RouteDeployment
  #cuts: readonly RegistryCut[]
  #endpoints: StandinEndpoint[] = []
  #isEnding = false
  /** By gateway, since when it has been in touch; Infinity while it is not. */
  #inTouchSince: number[]
  #cutOff = new Set<number>()

  private constructor (shape: VersionShape, deployment: RouteDeployment, cuts: readonly RegistryCut[]) {
    this.#shape = shape
    this.#deployment = deployment
    this.#cuts = cuts
    this.#inTouchSince = Array.from({ length: shape.gateways }, () => 0)
  }

  static async play (shape: VersionShape): Promise<VersionCounts> {
    const deployment = new RouteDeployment({ number: shape.number, gateways: shape.gateways, bindsRegistriesElsewhere: true })
    const cuts = [0, 1, 2].map(i => new RegistryCut(deployment.registryLinkHost(i), deployment.linkPort))
    for (const [i, cut] of cuts.entries()) await cut.listen(deployment.registryHost(i), deployment.linkPort)
    const run = new VersionRun(shape, deployment, cuts)
    try {
      await run.#start()
      await run.#play()
      return run.counts
    } finally {
      await deployment.stop()
      for (const cut of cuts) cut.close()
    }
  }

  async #start (): Promise<void> {
    await this.#deployment.startBoxes()
    const document = composeDocument(1)
    await this.#deployment.putDocument(Object.assign(document, { routes: document.routes.map(route => ({ ...route, timeoutMs: deadlineMs })) }))
    for (const [i, version] of this.#shape.versions.entries()) await this.#addEndpoint(zones[i % zones.length], version)
    await waitFor(() => this.#deployment.gateways.every(({ fleet }) => [...fleet.views].length >= this.#shape.versions.length), 'the endpoints known')
  }

  async #addEndpoint (zone: string, version: string, port = 0): Promise<void> {
    const endpoint = await this.#deployment.startEndpoint('desk', zone, 16, version, port)
    endpoint.eventMs = eventMs
    this.#endpoints.push(endpoint)
  }

  async #play (): Promise<void> {
    const { ms, kills = false, cut = 0, rollOut = false } = this.#shape
    const others = [this.#sendStreams(), this.#crashEndpoints(), kills ? this.#killGateways() : null, cut > 0 ? this.#cutOffGateways(cut) : null, rollOut ? this.#rollOut() : null]
    await sleep(ms)
    this.#isEnding = true
    await Promise.all(others)
  }

  async #sendStreams (): Promise<void> {
    const streams: Promise<void>[] = []
    while (!this.#isEnding) {
      streams.push(this.#callStream(`stream-${streams.length}`))
      await sleep(streamPauseMs)
    }
    await Promise.all(streams)
  }

  // Each comes back at its address under another id.
  async #crashEndpoints (): Promise<void> {
    const { swaps = false, versions } = this.#shape
    while (!this.#isEnding) {
      await sleep(crashIntervalMs)
      const endpoint = this.#endpoints[Math.floor(Math.random() * this.#endpoints.length)]
      this.#endpoints = this.#endpoints.filter(one => one !== endpoint)
      endpoint.close()
      const version = swaps ? versions[Math.floor(Math.random() * versions.length)] : endpoint.software
      void sleep(downMs).then(() => this.#isEnding ? undefined : this.#addEndpoint(zones[this.#endpoints.length % zones.length], version, endpoint.port))
    }
  }

  async #killGateways (): Promise<void> {
    for (let i = 0; ; i = (i + 1) % this.#shape.gateways) {
      await sleep(killIntervalMs - downMs)
      if (this.#isEnding) return
      this.#inTouchSince[i] = Infinity
      this.#deployment.gateways[i].kill()
      await sleep(downMs)
      await this.#deployment.startGateway(i)
      this.#inTouchSince[i] = performance.now()
    }
  }

  async #cutOffGateways (count: number): Promise<void> {
    const { ms, gateways } = this.#shape
    const chosen = Array.from({ length: count }, (_, i) => gateways - 1 - i)
    await sleep(0.35 * ms)
    for (const i of chosen) {
      this.#cutOff.add(i)
      this.#inTouchSince[i] = Infinity
    }
    for (const cut of this.#cuts) cut.cut(chosen.map(i => `gateway-${i}`))
    await sleep(0.35 * ms)
    for (const cut of this.#cuts) cut.heal()
    this.#cutOff.clear()
    for (const i of chosen) this.#inTouchSince[i] = performance.now()
  }

  async #rollOut (): Promise<void> {
    for (const endpoint of this.#endpoints.filter(({ software }) => software === 'v1')) {
      if (this.#isEnding || !this.#endpoints.includes(endpoint)) continue
      await this.#deployment.register(endpoint, 'desk', 'draining')
      await sleep(drainMs)
      this.#endpoints = this.#endpoints.filter(one => one !== endpoint)
      endpoint.close()
      await this.#addEndpoint(zones[this.#endpoints.length % zones.length], 'v2')
    }
  }

  async #callStream (name: string): Promise<void> {
    this.counts.streams += 1
    const ids: number[] = []
    const versions = new Set<string>()
    let isMixedAnswer = false
    let began: { readonly id: string, readonly isCutOff: boolean } | null = null
    for (let i = 0; i < maxTries && ids.at(-1) !== events; i++) {
      if (i > 0) await sleep(retryMs)
      const id = `${name}-${i}`
      const gateway = Math.floor(Math.random() * this.#shape.gateways)
      const isCutOff = this.#cutOff.has(gateway)
      const sentAt = performance.now()
      const headers: Record<string, string> = began === null ? {} : { 'last-event-id': String(ids.at(-1) ?? 0), 'x-wrenlane-resumes': began.id }
      const { status, body } = await this.#deployment.ask(path, { requestId: id, gateway, deadlineMs, headers })
      const { ids: newIds, versions: newVersions } = readEvents(status === 200 ? body : '')
      if (this.#inTouchSince[gateway] + settleMs < sentAt) {
        this.#count(newIds.length > 0, began)
        if (newIds.length === 0) this.#countFailure(began === null ? 'new' : began.isCutOff ? 'begun at a gateway cut off' : 'begun elsewhere', status, body)
      }
      if (newIds.length > 0) began ??= { id, isCutOff: isCutOff || this.#cutOff.has(gateway) }
      isMixedAnswer ||= new Set(newVersions).size > 1
      ids.push(...newIds)
      for (const version of newVersions) versions.add(version)
    }
    if (isMixedAnswer) this.counts.mixedAnswers += 1
    else if (versions.size > 1) this.counts.mixedStreams += 1
    if (ids.some((id, i) => id !== i + 1)) this.counts.brokenOrders += 1
  }

  #countFailure (what: string, status: number, body: string): void {
    const failure = `${what}: ${status} ${/"error":\s*"([^"]*)"/.exec(body)?.[1] ?? ''}`
    this.counts.failures[failure] = (this.counts.failures[failure] ?? 0) + 1
  }

  #count (hasEvents: boolean, began: { readonly isCutOff: boolean } | null): void {
    if (began === null) {
      this.counts.sent += 1
      if (hasEvents) this.counts.begun += 1
      return
    }
    const taken = began.isCutOff ? this.counts.cutOff : this.counts.connected
    taken.takenUp += 1
    if (hasEvents) taken.wentOn += 1
  }
}
