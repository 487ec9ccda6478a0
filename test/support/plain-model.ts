/**
 * Boxes that share the endpoints of a plain service, in virtual time: the gateway's searches, wait queue and retry
 * policy, load totals that reach the boxes with a delay, and endpoints that refuse what exceeds their slots. No
 * sockets, no clock.
 */
import { ContentionSwitch, Fleet, LoadTable, SharedRetryBudget, brandId, noTotals, subtractOwn } from '../../src/core/index.js'
import type { BoxLoad, Choice, ContentionMode, EndpointId, EndpointView, PlacedRequest, Route, ZoneName } from '../../src/core/index.js'
import { EndpointSearch, PlainWaitQueue, RetryPolicy } from '../../src/gateway/index.js'
import type { AdmittedRequest, ExchangeHost, NextStep, Searcher, SendOutcome } from '../../src/gateway/index.js'
import { createRandom } from '../../src/runtime/index.js'
import { createRecord, createWork, desk, nameZone, unpinned } from './fleet-builder.js'

/** Parameters of a run. Times in ms; endpoints and boxes are spread over the zones in turn. */
export interface PlainShape {
  readonly mode: ContentionMode
  readonly boxes: number
  readonly zones: number
  /** Speed of each endpoint; 1 answers in `answerMs` on average. */
  readonly speeds: readonly number[]
  readonly slots: number
  readonly answerMs: number
  readonly targetMs: number
  /** Calls per second over all boxes. */
  readonly rate: number
  /** Fraction of the calls that may not be repeated. */
  readonly onceShare: number
  /** Fraction of the calls that come through the boxes of the first zone. */
  readonly firstZoneShare: number
  /** Each endpoint is slower by `factor` for `ms` in every `everyMs`; null for never. */
  readonly slow: { readonly factor: number, readonly ms: number, readonly everyMs: number } | null
  /** Delay of the load totals; Infinity without a hub. */
  readonly lagMs: number
  /** From then on the last zone can't be reached from the others, nor they from it; Infinity for never. */
  readonly cutAt: number
  readonly lengthMs: number
}

const tickMs = 2
const pollMs = 14
const totalsMs = 20
const workspaces = 8
const timeoutMs = 2000

interface Running {
  readonly call: ModelCall
  readonly box: ModelBox
  readonly view: EndpointView
  readonly placed: PlacedRequest
  leftMs: number
}

class ModelBox {
  readonly queue = new PlainWaitQueue<ModelCall>()
  readonly retries = new SharedRetryBudget({ ratio: 0.15, extra: 30, windowMs: 10_000 })
  readonly fleet: Fleet
  readonly zone: ZoneName
  host!: ExchangeHost<ModelCall>
  constructor (zone: ZoneName, mode: ContentionMode) {
    this.zone = zone
    this.fleet = new Fleet(zone, () => true, () => undefined, new ContentionSwitch({ mode, cpuShare: null, isMarked: false }))
  }
}

export class ModelCall implements Searcher {
  readonly pin = unpinned
  readonly request: AdmittedRequest
  readonly workspace: number
  readonly hasBegun = false
  readonly mayUseAnother = true
  isEnded = false
  sends = 0
  /** Number of endpoints that took it. */
  runs = 0
  firstSentAt: number | null = null
  answeredAt: number | null = null
  refusedAt: number | null = null
  search: EndpointSearch<ModelCall>
  #policy: RetryPolicy
  #model: PlainModel
  #box: ModelBox

  constructor (model: PlainModel, box: ModelBox, request: AdmittedRequest, workspace: number, takeRetry: () => boolean) {
    this.#model = model
    this.#box = box
    this.request = request
    this.workspace = workspace
    this.#policy = new RetryPolicy(request.route, takeRetry)
    this.search = new EndpointSearch(box.host, this)
  }

  get isInTime (): boolean { return this.answeredAt !== null && this.answeredAt - this.request.arrivedAt <= this.request.work.targetMs }

  tryPlace (): void { this.search.retry() }

  send ({ view, plan }: Choice): void {
    this.sends += 1
    this.firstSentAt ??= this.#model.at
    this.#policy.noteSend()
    this.#model.send(this, this.#box, view, view.place(this.request.work, plan, this.#model.at))
  }

  fail (outcome: SendOutcome): void {
    const next: NextStep = this.#policy.decide(outcome)
    if (next.type === 'send') return this.search.start()
    this.isEnded = true
    this.refusedAt = this.#model.at
    this.search.stop()
  }
}

export class PlainModel {
  readonly calls: ModelCall[] = []
  /** Sends that reached a full endpoint. */
  sendsToFull = 0
  /** With one box: ticks at whose end a call waited although an endpoint had a free slot. */
  idleWaits = 0
  at = 0
  #shape: PlainShape
  #random: () => number
  #boxes: ModelBox[]
  #zoneOf = new Map<EndpointId, ZoneName>()
  #speeds = new Map<EndpointId, { readonly speed: number, readonly phaseMs: number }>()
  #running: Running[] = []
  #refusals: Running[] = []
  /** Answers that can't reach their box. */
  #lost: Running[] = []
  #reports: { readonly at: number, readonly loads: readonly BoxLoad[] }[] = []

  constructor (shape: PlainShape, seed: number) {
    this.#shape = shape
    this.#random = createRandom(seed)
    const findZone = (i: number): ZoneName => nameZone(`zone-${i % shape.zones}`)
    const records = shape.speeds.map((_, i) => createRecord(`e${i + 1}`, { zone: findZone(i), slots: shape.slots }))
    records.forEach(({ id, zone }, i) => {
      this.#zoneOf.set(id, zone)
      this.#speeds.set(id, { speed: shape.speeds[i], phaseMs: this.#random() * (shape.slow?.everyMs ?? 0) })
    })
    this.#boxes = Array.from({ length: shape.boxes }, (_, i) => {
      const box = new ModelBox(findZone(i), shape.mode)
      box.fleet.configure([{ name: desk, mostConnections: 100, sizing: null, engine: null }])
      box.fleet.applyRecords(records)
      box.fleet.noteBoxes(shape.boxes)
      box.host = this.#createHost(box)
      return box
    })
  }

  run (): this {
    for (this.at = 0; this.at < this.#shape.lengthMs; this.at += tickMs) {
      this.#finishRefusals()
      this.#advance()
      if (this.at % totalsMs === 0) this.#deliverTotals()
      for (let left = this.#shape.rate * tickMs / 1000; left > 0; left -= 1) if (this.#random() < left) this.#arrive()
      this.#boxes.forEach(({ queue }, i) => { if ((this.at + i * tickMs) % pollMs === 0) queue.retry() })
      if (this.#shape.boxes === 1 && this.#boxes[0].queue.length > 0 && this.#running.length < this.#shape.slots * this.#shape.speeds.length) this.idleWaits += 1
    }
    return this
  }

  /** Fraction of the calls that were answered in time, from `from` on: overall, and for the worst workspace. */
  measure (from = 2000): { readonly all: number, readonly worst: number, readonly refused: number, readonly toFull: number, readonly calls: number } {
    const counted = this.calls.filter(({ request: { arrivedAt } }) => arrivedAt >= from && arrivedAt < this.#shape.lengthMs - timeoutMs)
    const rate = (calls: readonly ModelCall[]): number => calls.filter(one => one.isInTime).length / Math.max(1, calls.length)
    const worst = Math.min(...Array.from({ length: workspaces }, (_, i) => rate(counted.filter(one => one.workspace === i))))
    return { all: rate(counted), worst, refused: counted.filter(one => one.refusedAt !== null).length, toFull: this.sendsToFull, calls: counted.length }
  }

  /** Takes a call at an endpoint, or refuses it after a round trip. */
  send (call: ModelCall, box: ModelBox, view: EndpointView, placed: PlacedRequest): void {
    const entry: Running = { call, box, view, placed, leftMs: this.#shape.answerMs * (0.6 + 0.8 * this.#random()) }
    const isFull = this.#running.filter(one => one.view.id === view.id).length >= this.#shape.slots
    if (isFull) this.sendsToFull += 1
    if (isFull) return void this.#refusals.push(entry)
    call.runs += 1
    this.#running.push(entry)
  }

  #arrive (): void {
    const local = this.#boxes.filter(({ zone }) => zone === this.#boxes[0].zone)
    const others = this.#boxes.filter(({ zone }) => zone !== this.#boxes[0].zone)
    const among = others.length === 0 || this.#random() < this.#shape.firstZoneShare ? local : others
    const box = among[Math.floor(this.#random() * among.length)]
    const work = createWork({ targetMs: this.#shape.targetMs, priority: 2 })
    const isOnce = this.#random() < this.#shape.onceShare
    const route = { kind: isOnce ? 'once' : 'repeatable', mostAttempts: isOnce ? 1 : 2, pauseMs: null, resumable: false } as unknown as Route
    const request = { work, route, service: desk, arrivedAt: this.at, deadlineAt: this.at + timeoutMs } as unknown as AdmittedRequest
    box.retries.noteRequest(this.at)
    box.fleet.noteArrival(work, this.at)
    const call = new ModelCall(this, box, request, Math.floor(this.#random() * workspaces), () => box.retries.tryConsume(this.at, this.#shape.boxes))
    this.calls.push(call)
    call.search.start()
    box.queue.retry()
  }

  #finishRefusals (): void {
    const refusals = this.#refusals.splice(0)
    for (const { call, box, view, placed } of refusals) {
      view.health.noteGood()
      view.remove(placed, this.at)
      call.search.noteFull(view)
      call.fail({ type: 'not-run', isMisdirected: false, availableInMs: 0 })
      box.queue.retry()
    }
  }

  #advance (): void {
    for (const one of this.#running) one.leftMs -= tickMs * this.#findSpeed(one.view.id)
    const done = this.#running.filter(one => one.leftMs <= 0)
    this.#running = this.#running.filter(one => one.leftMs > 0)
    this.#lost.push(...done.filter(one => this.#isCut(one)))
    for (const one of this.#lost.filter(({ box, view }) => box.fleet.zones.isUnreachable(view.record.zone, this.at))) this.#failOver(one)
    for (const { call, box, view, placed } of done.filter(one => !this.#isCut(one))) {
      view.health.noteGood()
      view.noteFirst(placed, this.at)
      view.remove(placed, this.at)
      call.isEnded = true
      call.answeredAt = this.at
      box.queue.retry()
    }
  }

  #failOver (one: Running): void {
    this.#lost = this.#lost.filter(other => other !== one)
    one.view.health.noteBroken(this.at)
    one.view.remove(one.placed, this.at)
    one.call.fail({ type: 'broke', failure: 'broken', reason: 'the zone is unreachable' })
    one.box.queue.retry()
  }

  #isCut ({ box, view }: Pick<Running, 'box' | 'view'>): boolean {
    return this.#isApart(box.zone, this.#zoneOf.get(view.id) as ZoneName)
  }

  // Before the cut, no two zones are apart.
  #isApart (a: ZoneName, b: ZoneName): boolean {
    const last = nameZone(`zone-${this.#shape.zones - 1}`)
    return this.at >= this.#shape.cutAt && (a === last) !== (b === last)
  }

  #findSpeed (id: EndpointId): number {
    const { speed, phaseMs } = this.#speeds.get(id) as { speed: number, phaseMs: number }
    const { slow } = this.#shape
    return slow !== null && (this.at + phaseMs) % slow.everyMs < slow.ms ? speed / slow.factor : speed
  }

  #deliverTotals (): void {
    const { lagMs } = this.#shape
    if (lagMs === Infinity) return
    this.#reports.push({ at: this.at, loads: this.#boxes.map(({ fleet }) => fleet.composeLoad(this.at)) })
    while (this.#reports.length > 1 && this.at - this.#reports[1].at >= lagMs) this.#reports.shift()
    const [{ at, loads }] = this.#reports
    if (this.at - at < lagMs) return
    this.#boxes.forEach((box, i) => {
      const table = new LoadTable()
      loads.forEach((load, j) => { if (!this.#isApart(box.zone, this.#boxes[j].zone)) table.note(brandId(`box-${j}`), this.#boxes[j].zone, load, this.at) })
      box.fleet.noteOthers({ ...noTotals, ...subtractOwn(table.sumOwn(this.at), loads[i]) }, this.at, this.at - at)
      box.queue.retry()
    })
  }

  #createHost (box: ModelBox): ExchangeHost<ModelCall> {
    const host: Partial<ExchangeHost<ModelCall>> = {
      fleet: box.fleet,
      guard: { decide: () => ({ type: 'free' }), composeFilter: () => null } as unknown as ExchangeHost<ModelCall>['guard'],
      now: () => this.at,
      draw: this.#random,
      canFinish: () => true,
      hasRetry: () => true,
      noteLoad: () => {},
      enqueue: call => {
        box.queue.add(call)
        box.fleet.noteQueued(call.request.work, true)
      },
      dequeue: call => {
        box.queue.remove(call)
        box.fleet.noteQueued(call.request.work, false)
      }
    }
    return host as ExchangeHost<ModelCall>
  }
}
