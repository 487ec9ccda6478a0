import type { EngineId, LoadReport, ZoneName } from '../core/index.js'
import { EngineModel } from '../standin/index.js'
import type { EngineShape } from '../standin/index.js'
import type { EventQueue } from './event-queue.js'
import type { SimRequest } from './sim-request.js'

/** Receives the events of a simulated engine. */
export interface SimEngineHost {
  noteToken (request: SimRequest): void
  noteFinished (request: SimRequest, engine: EngineId): void
  noteFailed (request: SimRequest, engine: EngineId, wasReached: boolean): void
}

/** Engine effort of a prompt token, in generated tokens. */
const promptTokenEffort = 0.015
const connectionRefusedMs = 1

/** An engine in virtual time. */
export class SimEngine {
  readonly id: EngineId
  readonly zone: ZoneName
  #model: EngineModel
  #queue: EventQueue
  #host: SimEngineHost
  #streams = new Map<string, SimRequest>()
  #isStepping = false
  #isDown = false
  #lastStepMs = 0

  constructor (id: EngineId, zone: ZoneName, shape: EngineShape, queue: EventQueue, host: SimEngineHost) {
    this.id = id
    this.zone = zone
    this.#model = new EngineModel(shape)
    this.#queue = queue
    this.#host = host
  }

  set slowFactor (factor: number) { this.#model.slowFactor = factor }
  get slowFactor (): number { return this.#model.slowFactor }

  /** Starts a request. While the engine is down, it fails after `connectionRefusedMs` as not reached. */
  add (request: SimRequest, priority: number): void {
    if (this.#isDown) return this.#queue.schedule(connectionRefusedMs, () => this.#host.noteFailed(request, this.id, false))
    this.#streams.set(request.id, request)
    request.effort += request.promptTokens * promptTokenEffort
    this.#model.add({ id: request.id, priority, promptTokens: request.promptTokens + request.receivedTokens, prefix: request.prefix, tokens: request.tokens - request.receivedTokens })
    this.#runNextStep()
  }

  cancel (request: SimRequest): void {
    this.#streams.delete(request.id)
    this.#model.remove(request.id)
  }

  /** Fails every stream. The engine refuses requests until `recover`. */
  crash (): void {
    this.#isDown = true
    const interrupted = [...this.#streams.values()]
    for (const request of interrupted) this.cancel(request)
    for (const request of interrupted) this.#host.noteFailed(request, this.id, true)
  }

  recover (): void {
    this.#isDown = false
  }

  report (): LoadReport {
    return { running: this.#model.running, waiting: this.#model.waiting, kvUsed: this.#model.kvUsed, stepMs: this.#lastStepMs, leaving: false }
  }

  #runNextStep (): void {
    if (this.#isStepping || this.#model.isIdle || this.#isDown) return
    this.#isStepping = true
    const { ms, tokens, finished } = this.#model.step()
    this.#lastStepMs = ms
    this.#queue.schedule(ms, () => {
      this.#isStepping = false
      for (const id of tokens) this.#deliverToken(id)
      for (const id of finished) this.#finishStream(id)
      this.#runNextStep()
    })
  }

  #deliverToken (id: string): void {
    const request = this.#streams.get(id)
    if (request === undefined) return
    request.effort += 1
    this.#host.noteToken(request)
  }

  #finishStream (id: string): void {
    const request = this.#streams.get(id)
    if (request === undefined) return
    this.#streams.delete(id)
    this.#host.noteFinished(request, this.id)
  }
}
