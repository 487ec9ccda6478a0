/**
 * Simulation in virtual time of boxes that share engines: the balancer's actual
 * decisions, load reports that reach other boxes with a delay, and engines that
 * prefill prompts in order of arrival. No sockets, no clock.
 */
import { ContentionSwitch, Fleet, LoadTable, brandId, subtractOwn } from '../../src/core/index.js'
import type { BoxLoad, WorkspaceName, EndpointRecord, EndpointView, PlacedRequest, RoutedService, ServiceName, RequestProfile, ZoneName } from '../../src/core/index.js'
import { createRandom } from '../../src/runtime/index.js'

/** A kind of request; `promptTokens` is the mean prompt size. */
export interface ModelKind {
  readonly name: string
  /** The workspace that sends its requests; none if absent. */
  readonly workspace?: string
  readonly level: number
  readonly targetMs: number
  readonly pauseMs: number
  readonly promptTokens: number
  /** Time without a response after which a caller disconnects, ms. */
  readonly callerTimeoutMs: number
  /** Requests per second, across all boxes. */
  readonly rate: number
}

/** Parameters of a simulation. Times in ms. */
export interface PoolShape {
  readonly kinds: readonly ModelKind[]
  readonly boxes: number
  readonly engines: number
  /** Prefill rate of an engine. */
  readonly tokensPerMs: number
  /** Delay of load reports between boxes; Infinity for none. */
  readonly loadDelayMs: number
  readonly lengthMs: number
  /** Whether the measures against contention are on; off if absent. */
  readonly contention?: 'on' | 'off'
  /** Factor on the arrival rate of a kind at a time. */
  loadFactor (at: number, kind: string): number
}

/** A simulated request and its progress. */
export interface ModelRequest {
  readonly kind: ModelKind
  readonly tokens: number
  readonly at: number
  /** Time at which it was refused, or its caller disconnected while it was queued; else null. */
  deniedAt: number | null
  /** Time at which it was sent to an engine. */
  sentAt: number | null
  firstAt: number | null
}

interface ModelBox {
  readonly fleet: Fleet
  queued: ModelRequest[]
}

interface ModelEngine {
  /** Time at which it has prefilled all prompts sent to it. */
  freeAt: number
}

interface Reading {
  readonly request: ModelRequest
  readonly view: EndpointView
  readonly placed: PlacedRequest
  readonly firstAt: number
  readonly endsAt: number
}

const tickMs = 5
/** Interval at which boxes retry queued requests, the same as in a gateway. */
const pollMs = 15
/** Duration of a stream after its first event. */
const streamMs = 400
const batchSize = 4
const service = brandId<ServiceName>('assistant')

export class PoolModel {
  readonly requests: ModelRequest[] = []
  #shape: PoolShape
  #random: () => number
  #boxes: ModelBox[]
  #engines = new Map<string, ModelEngine>()
  #reading: Reading[] = []
  #sentLoads: { readonly at: number, readonly loads: readonly BoxLoad[] }[] = []

  constructor (shape: PoolShape, seed: number) {
    this.#shape = shape
    this.#random = createRandom(seed)
    const records = Array.from({ length: shape.engines }, (_, i) => composeRecord(i))
    for (const { id } of records) this.#engines.set(id, { freeAt: 0 })
    this.#boxes = Array.from({ length: shape.boxes }, () => {
      const fleet = new Fleet(brandId<ZoneName>('zone-a'), undefined, undefined, new ContentionSwitch({ mode: shape.contention ?? 'off', cpuShare: null, isMarked: false }))
      fleet.configure([composeService()])
      fleet.applyRecords(records)
      return { fleet, queued: [] }
    })
  }

  /** Runs the simulation; returns all requests. */
  run (): readonly ModelRequest[] {
    for (let at = 0; at < this.#shape.lengthMs; at += tickMs) {
      this.#advanceReading(at)
      this.#deliverLoads(at)
      if (at % pollMs === 0) for (const box of this.#boxes) this.#pollHeld(box, at)
      for (const kind of this.#shape.kinds) this.#arrive(kind, at)
    }
    return this.requests
  }

  #arrive (kind: ModelKind, at: number): void {
    const expected = kind.rate * this.#shape.loadFactor(at, kind.name) * tickMs / 1000 / batchSize
    for (let remaining = expected; remaining > 0; remaining -= 1) {
      if (this.#random() >= remaining) continue
      for (let i = 0; i < batchSize; i++) this.#ask(kind, at)
    }
  }

  #ask (kind: ModelKind, at: number): void {
    const tokens = Math.round(kind.promptTokens * (0.2 + 1.6 * this.#random()))
    const request: ModelRequest = { kind, tokens, at, deniedAt: null, sentAt: null, firstAt: null }
    this.requests.push(request)
    const box = this.#boxes[Math.floor(this.#random() * this.#boxes.length)]
    const work = composeWork(request)
    box.fleet.noteArrival(work, at)
    if ((box.fleet.admit(work, at)?.retryAfterMs ?? null) !== null) request.deniedAt = at
    else if (!this.#send(box, request, at)) this.#hold(box, request)
  }

  #hold (box: ModelBox, request: ModelRequest): void {
    box.queued.push(request)
    box.fleet.noteQueued(composeWork(request), true)
  }

  #pollHeld (box: ModelBox, at: number): void {
    for (const request of box.queued) {
      if (at - request.at < request.kind.callerTimeoutMs) continue
      request.deniedAt = at
      box.fleet.noteQueued(composeWork(request), false)
    }
    box.queued = box.queued.filter(one => one.deniedAt === null)
    const ordered = [...box.queued].sort((a, b) => a.kind.level - b.kind.level || a.at - b.at)
    for (const request of ordered) {
      if (!this.#send(box, request, at)) continue
      box.queued = box.queued.filter(one => one !== request)
      box.fleet.noteQueued(composeWork(request), false)
    }
  }

  #send ({ fleet }: ModelBox, request: ModelRequest, at: number): boolean {
    const work = composeWork(request)
    const choice = fleet.choose(work, [], at, this.#random(), at - request.at)
    if (typeof choice === 'string') return false
    const { view, plan } = choice
    request.sentAt = at
    const engine = this.#engines.get(view.id) as ModelEngine
    engine.freeAt = Math.max(at, engine.freeAt) + request.tokens / this.#shape.tokensPerMs
    const placed = view.place(work, plan, at)
    fleet.noteStarted(work, at)
    this.#reading.push({ request, view, placed, firstAt: engine.freeAt, endsAt: engine.freeAt + streamMs })
    return true
  }

  #advanceReading (at: number): void {
    for (const { request, view, placed, firstAt, endsAt } of this.#reading) {
      if (request.firstAt === null && firstAt <= at) {
        request.firstAt = firstAt
        view.noteFirst(placed, at)
      }
      if (endsAt <= at) view.remove(placed, at)
    }
    this.#reading = this.#reading.filter(one => one.endsAt > at)
  }

  // Every box gets the loads that all boxes had `loadDelayMs` ago.
  #deliverLoads (at: number): void {
    const { loadDelayMs } = this.#shape
    if (loadDelayMs === Infinity) return
    this.#sentLoads.push({ at, loads: this.#boxes.map(({ fleet }) => fleet.composeLoad(at)) })
    const [sent] = this.#sentLoads
    if (at - sent.at < loadDelayMs) return
    this.#sentLoads.shift()
    const table = new LoadTable()
    sent.loads.forEach((load, i) => table.note(brandId(`box-${i}`), brandId('zone-a'), load, at))
    const totals = table.sumOwn(at)
    this.#boxes.forEach(({ fleet }, i) => fleet.noteOthers(subtractOwn(totals, sent.loads[i]), at))
  }
}

function composeRecord (i: number): EndpointRecord {
  return { id: brandId(`engine-${i}`), service, host: '10.0.0.1', port: i + 1, zone: brandId('zone-a'), slots: 64, born: 0, software: '', sequence: 1, stage: 'ready' }
}

function composeService (): RoutedService {
  return { name: service, mostConnections: 100, sizing: null, engine: { slots: 64, memoryTokens: 600_000, tokensPerEvent: 5, transfer: null } }
}

function composeWork ({ kind, tokens, at }: ModelRequest): RequestProfile {
  const { workspace, level, targetMs, pauseMs } = kind
  return { service, workspace: workspace === undefined ? undefined : brandId<WorkspaceName>(workspace), level, priority: level, pauseMs, targetMs, cost: { promptTokens: tokens, maxTokens: 100, parts: [{ id: `${kind.name}-${at}-${tokens}`, tokens }] } }
}
