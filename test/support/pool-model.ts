/**
 * Boxes that share engines, in virtual time: the balancer's own decisions, loads
 * that boxes hear of one another late, and engines that read prompts in the order
 * in which they came. No sockets, no clock.
 */
import { Fleet, LoadBook, brandId, subtractOwn } from '../../src/core/index.js'
import type { BoxLoad, EndpointRecord, EndpointView, Placed, RoutedService, ServiceName, Work, ZoneName } from '../../src/core/index.js'
import { createRandom } from '../../src/runtime/index.js'

/** A kind of request: its rank, its target and the size of its middle prompt. */
export interface ModelKind {
  readonly name: string
  readonly level: number
  readonly targetMs: number
  readonly pauseMs: number
  readonly promptTokens: number
  /** A caller leaves where nothing came for so long, ms. */
  readonly leaveMs: number
  /** Requests a second, over all boxes. */
  readonly rate: number
}

/** What a history is played with. Times in ms. */
export interface PoolShape {
  readonly kinds: readonly ModelKind[]
  readonly boxes: number
  readonly engines: number
  /** Tokens that an engine reads in a ms. */
  readonly engineRate: number
  /** How late boxes hear of one another; Infinity for never. */
  readonly wordMs: number
  readonly lengthMs: number
  /** How many times the usual comes at a time, of a kind. */
  times (at: number, kind: string): number
}

/** What became of one request. */
export interface ModelRequest {
  readonly kind: ModelKind
  readonly tokens: number
  readonly at: number
  /** When it was refused, or its caller left before an engine began with it; null where neither came about. */
  deniedAt: number | null
  /** When it was sent to an engine. */
  sentAt: number | null
  firstAt: number | null
}

interface ModelBox {
  readonly fleet: Fleet
  held: ModelRequest[]
}

interface ModelEngine {
  /** When it has read all that was sent to it. */
  freeAt: number
}

interface Reading {
  readonly request: ModelRequest
  readonly view: EndpointView
  readonly placed: Placed
  readonly firstAt: number
  readonly endsAt: number
}

const tickMs = 5
/** How often boxes look at what they hold: as the waiting line does. */
const lookMs = 15
/** How long a stream goes on after its first event. */
const streamMs = 400
const clump = 4
const service = brandId<ServiceName>('assistant')

export class PoolModel {
  readonly requests: ModelRequest[] = []
  #shape: PoolShape
  #random: () => number
  #boxes: ModelBox[]
  #engines = new Map<string, ModelEngine>()
  #reading: Reading[] = []
  #told: { readonly at: number, readonly loads: readonly BoxLoad[] }[] = []

  constructor (shape: PoolShape, seed: number) {
    this.#shape = shape
    this.#random = createRandom(seed)
    const records = Array.from({ length: shape.engines }, (_, i) => composeRecord(i))
    for (const { id } of records) this.#engines.set(id, { freeAt: 0 })
    this.#boxes = Array.from({ length: shape.boxes }, () => {
      const fleet = new Fleet(brandId<ZoneName>('zone-a'))
      fleet.configure([composeService()])
      fleet.applyRecords(records)
      return { fleet, held: [] }
    })
  }

  /** Plays the history; the requests tell what came of it. */
  play (): readonly ModelRequest[] {
    for (let at = 0; at < this.#shape.lengthMs; at += tickMs) {
      this.#read(at)
      this.#hear(at)
      if (at % lookMs === 0) for (const box of this.#boxes) this.#look(box, at)
      for (const kind of this.#shape.kinds) this.#arrive(kind, at)
    }
    return this.requests
  }

  #arrive (kind: ModelKind, at: number): void {
    const chance = kind.rate * this.#shape.times(at, kind.name) * tickMs / 1000 / clump
    for (let left = chance; left > 0; left -= 1) {
      if (this.#random() >= left) continue
      for (let i = 0; i < clump; i++) this.#ask(kind, at)
    }
  }

  #ask (kind: ModelKind, at: number): void {
    const tokens = Math.round(kind.promptTokens * (0.2 + 1.6 * this.#random()))
    const request: ModelRequest = { kind, tokens, at, deniedAt: null, sentAt: null, firstAt: null }
    this.requests.push(request)
    const box = this.#boxes[Math.floor(this.#random() * this.#boxes.length)]
    const work = composeWork(request)
    box.fleet.noteArrival(work, at)
    if ((box.fleet.admit(work, at)?.returnMs ?? null) !== null) request.deniedAt = at
    else if (!this.#send(box, request, at)) this.#hold(box, request)
  }

  #hold (box: ModelBox, request: ModelRequest): void {
    box.held.push(request)
    box.fleet.noteHeld(composeWork(request), true)
  }

  #look (box: ModelBox, at: number): void {
    for (const request of box.held) {
      if (at - request.at < request.kind.leaveMs) continue
      request.deniedAt = at
      box.fleet.noteHeld(composeWork(request), false)
    }
    box.held = box.held.filter(one => one.deniedAt === null)
    const ordered = [...box.held].sort((a, b) => a.kind.level - b.kind.level || a.at - b.at)
    for (const request of ordered) {
      if (!this.#send(box, request, at)) continue
      box.held = box.held.filter(one => one !== request)
      box.fleet.noteHeld(composeWork(request), false)
    }
  }

  #send ({ fleet }: ModelBox, request: ModelRequest, at: number): boolean {
    const work = composeWork(request)
    const choice = fleet.choose(work, [], at, this.#random(), at - request.at)
    if (typeof choice === 'string') return false
    const { view, plan } = choice
    request.sentAt = at
    const engine = this.#engines.get(view.id) as ModelEngine
    engine.freeAt = Math.max(at, engine.freeAt) + request.tokens / this.#shape.engineRate
    const placed = view.place(work, plan, at)
    fleet.noteBegun(work, at)
    this.#reading.push({ request, view, placed, firstAt: engine.freeAt, endsAt: engine.freeAt + streamMs })
    return true
  }

  #read (at: number): void {
    for (const { request, view, placed, firstAt, endsAt } of this.#reading) {
      if (request.firstAt === null && firstAt <= at) {
        request.firstAt = firstAt
        view.noteFirst(placed, at)
      }
      if (endsAt <= at) view.remove(placed, at)
    }
    this.#reading = this.#reading.filter(one => one.endsAt > at)
  }

  // Every box hears what all had some time ago.
  #hear (at: number): void {
    const { wordMs } = this.#shape
    if (wordMs === Infinity) return
    this.#told.push({ at, loads: this.#boxes.map(({ fleet }) => fleet.composeLoad(at)) })
    const [told] = this.#told
    if (at - told.at < wordMs) return
    this.#told.shift()
    const book = new LoadBook()
    told.loads.forEach((load, i) => book.note(brandId(`box-${i}`), brandId('zone-a'), load, at))
    const totals = book.sumOwn(at)
    this.#boxes.forEach(({ fleet }, i) => fleet.noteOthers(subtractOwn(totals, told.loads[i]), at))
  }
}

function composeRecord (i: number): EndpointRecord {
  return { id: brandId(`engine-${i}`), service, host: '10.0.0.1', port: i + 1, zone: brandId('zone-a'), slots: 64, born: 0, software: '', sequence: 1, stage: 'ready' }
}

function composeService (): RoutedService {
  return { name: service, mostConnections: 100, sizing: null, engine: { slots: 64, memoryTokens: 600_000, tokensPerEvent: 5, transfer: null } }
}

function composeWork ({ kind, tokens, at }: ModelRequest): Work {
  const { level, targetMs, pauseMs } = kind
  return { service, level, priority: level, pauseMs, targetMs, cost: { promptTokens: tokens, mostTokens: 100, parts: [{ id: `${kind.name}-${at}-${tokens}`, tokens }] } }
}
