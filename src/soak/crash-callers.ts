/**
 * Callers of requests that end each endpoint which runs them, and beside them
 * one of a request that harms nobody and shares their path and caller. What
 * becomes of each is checked against what the product promises.
 */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { crashMark } from '../standin/index.js'
import { composeCaller } from './caller-words.js'
import type { Disturbances } from './disturbances.js'
import { callHttp } from './http-call.js'
import { holdMs } from './promise-watch.js'
import type { PromiseWatch } from './promise-watch.js'
import { callerPort } from './soak-stage.js'
import type { SoakStage } from './soak-stage.js'

/** What these callers need of their history. */
export interface CrashHost {
  readonly seed: number
  readonly stage: SoakStage
  readonly watch: PromiseWatch
  readonly disturbances: Disturbances
  /** Gives numbers from 0 up to 1. */
  readonly random: () => number
}

/** What became of these requests. */
export interface CrashSummary {
  /** Endpoints that ended under each of the harmful ones. */
  readonly ended: readonly number[]
  /** For each endpoint that started again, from its new life's first word until it had work, ms. */
  readonly backMs: readonly number[]
  /** Of the harmless one: asked and served. */
  readonly asked: number
  readonly served: number
}

/** A harmful request that was sent, through a gateway that was in touch or not. */
interface Arrival {
  readonly id: string
  readonly body: string
  readonly at: number
  readonly wasInTouch: boolean
}

const paths = ['/again/harmful', '/once/harmful', '/resume/events-200']
/** A harmful request comes again so long after its last answer, ms. */
const leastPauseMs = 150
const mostPauseMs = 650
const harmlessPauseMs = 100
/** What one box has learned all in touch act on within this, ms; a box counts as in touch once nothing disturbed it for as long. */
const contactMs = 3000
/** Sends of a harmful request that are borne after that. */
const mostLater = 3

export class CrashCallers {
  #host: CrashHost
  #arrivals: Arrival[] = []
  #sent = 0
  #asked = 0
  #served = 0
  #isOver = false
  #running: Promise<void>[] = []
  #bodies: string[]

  constructor (host: CrashHost, count: number) {
    this.#host = host
    this.#bodies = Array.from({ length: count }, (_, i) => `${crashMark} ${host.seed}-${i}`)
  }

  get summary (): CrashSummary {
    const backMs = this.#host.stage.endpoints.flatMap(({ standin }) => standin.backMs).sort((a, b) => a - b)
    return { backMs, ended: this.#bodies.map(body => this.#listEnds(body).length), asked: this.#asked, served: this.#served }
  }

  start (): void {
    this.#running = [...this.#bodies.map((body, i) => this.#keepHarming(body, paths[i % paths.length])), this.#keepHarmless()]
  }

  /** Resolves once no more will come. */
  async finish (): Promise<void> {
    this.#isOver = true
    await Promise.all(this.#running)
  }

  /** Checks how often each harmful request reached endpoints once boxes in touch had to know it, and that no other was refused for it. */
  check (): void {
    const refused = this.#host.watch.calls.filter(({ end }) => end.body.includes('quarantined'))
    if (refused.length > 0) this.#host.watch.violate('requests that harm nobody were refused for others', `${refused.length}, ${refused[0].id} first`)
    const ran = new Set(this.#host.stage.endpoints.flatMap(({ standin }) => standin.runs.map(run => run.requestId)))
    for (const body of this.#bodies) {
      const third = this.#listEnds(body).sort((a, b) => a - b)[2] ?? Infinity
      const later = this.#arrivals.filter(({ id, body: own, at, wasInTouch }) => own === body && wasInTouch && at > third + contactMs && ran.has(id))
      if (later.length > mostLater) this.#host.watch.violate('a request that ends its endpoints was sent on', `${body}: ${later.length} more`)
    }
  }

  #listEnds (body: string): number[] {
    return this.#host.stage.endpoints.flatMap(({ standin }) => standin.ends.flatMap((ended, i) => ended === body ? [standin.endedAt[i]] : []))
  }

  async #keepHarming (body: string, path: string): Promise<void> {
    const { random } = this.#host
    while (!this.#isOver) {
      await sleep(leastPauseMs + random() * (mostPauseMs - leastPauseMs))
      await this.#harm(body, path)
    }
  }

  async #harm (body: string, path: string): Promise<void> {
    const { stage, random } = this.#host
    const gateway = Math.floor(random() * stage.gateways.length)
    const at = performance.now()
    const id = this.#nextId()
    await this.#ask(gateway, id, path, body)
    this.#arrivals.push({ id, body, at, wasInTouch: this.#isInTouch(stage.gateways[gateway].name, at - contactMs, performance.now()) })
  }

  // A gateway that nothing disturbed, and most registries with their links.
  #isInTouch (gateway: string, from: number, to: number): boolean {
    const { disturbances, stage: { registries } } = this.#host
    if (disturbances.hasTouched([gateway], from, to)) return false
    const touched = registries.filter(({ name }, i) => disturbances.hasTouched([name, `link ${i}`], from, to))
    return 2 * touched.length < registries.length
  }

  async #keepHarmless (): Promise<void> {
    const { stage, random, watch } = this.#host
    while (!this.#isOver) {
      await sleep(harmlessPauseMs)
      const { status, body } = await this.#ask(Math.floor(random() * stage.gateways.length), this.#nextId(), paths[0], 'harms nobody')
      this.#asked += 1
      if (status === 200) this.#served += 1
      if (body.includes('quarantined')) watch.violate('a request that harms nobody was refused for others', body)
    }
  }

  #ask (gateway: number, id: string, path: string, body: string): ReturnType<typeof callHttp> {
    const { host } = this.#host.stage.gateways[gateway]
    return callHttp({ host, port: callerPort, method: 'POST', path, headers: composeCaller(id), timeout: 4 * holdMs }, body)
  }

  #nextId (): string {
    this.#sent += 1
    return `crash-${this.#host.seed}-${this.#sent}`
  }
}
