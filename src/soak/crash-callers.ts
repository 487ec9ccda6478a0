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
import { holdMs } from './guarantee-checker.js'
import type { GuaranteeChecker } from './guarantee-checker.js'
import { callerPort } from './soak-stage.js'
import type { SoakStage } from './soak-stage.js'

/** What these callers need of their history. */
export interface CrashCallersOptions {
  readonly seed: number
  readonly testbed: SoakStage
  readonly checker: GuaranteeChecker
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
interface HarmfulRequest {
  readonly id: string
  readonly body: string
  readonly at: number
  readonly wasUndisturbed: boolean
}

const paths = ['/again/harmful', '/once/harmful', '/resume/events-200']
/** A harmful request comes again so long after its last answer, ms. */
const minPauseMs = 150
const maxPauseMs = 650
const harmlessPauseMs = 100
/** What one box has learned all in touch act on within this, ms; a box counts as in touch once nothing disturbed it for as long. */
const propagationMs = 3000
/** Sends of a harmful request that are borne after that. */
const maxLateSends = 3

export class CrashCallers {
  #options: CrashCallersOptions
  #harmfulRequests: HarmfulRequest[] = []
  #sent = 0
  #asked = 0
  #served = 0
  #isStopping = false
  #running: Promise<void>[] = []
  #bodies: string[]

  constructor (options: CrashCallersOptions, count: number) {
    this.#options = options
    this.#bodies = Array.from({ length: count }, (_, i) => `${crashMark} ${options.seed}-${i}`)
  }

  get summary (): CrashSummary {
    const backMs = this.#options.testbed.endpoints.flatMap(({ standin }) => standin.backMs).sort((a, b) => a - b)
    return { backMs, ended: this.#bodies.map(body => this.#listCrashTimes(body).length), asked: this.#asked, served: this.#served }
  }

  start (): void {
    this.#running = [...this.#bodies.map((body, i) => this.#sendHarmfulRepeatedly(body, paths[i % paths.length])), this.#sendHarmlessRepeatedly()]
  }

  /** Resolves once no more will come. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  /** Checks how often each harmful request reached endpoints once boxes in touch had to know it, and that no other was refused for it. */
  check (): void {
    const refused = this.#options.checker.calls.filter(({ result }) => result.body.includes('quarantined'))
    if (refused.length > 0) this.#options.checker.reportViolation('requests that harm nobody were refused for others', `${refused.length}, ${refused[0].id} first`)
    const ran = new Set(this.#options.testbed.endpoints.flatMap(({ standin }) => standin.runs.map(run => run.requestId)))
    for (const body of this.#bodies) {
      const thirdCrashAt = this.#listCrashTimes(body).sort((a, b) => a - b)[2] ?? Infinity
      const lateSends = this.#harmfulRequests.filter(({ id, body: sentBody, at, wasUndisturbed }) => sentBody === body && wasUndisturbed && at > thirdCrashAt + propagationMs && ran.has(id))
      if (lateSends.length > maxLateSends) this.#options.checker.reportViolation('a request that ends its endpoints was sent on', `${body}: ${lateSends.length} more`)
    }
  }

  #listCrashTimes (body: string): number[] {
    return this.#options.testbed.endpoints.flatMap(({ standin }) => standin.ends.flatMap((crashBody, i) => crashBody === body ? [standin.endedAt[i]] : []))
  }

  async #sendHarmfulRepeatedly (body: string, path: string): Promise<void> {
    const { random } = this.#options
    while (!this.#isStopping) {
      await sleep(minPauseMs + random() * (maxPauseMs - minPauseMs))
      await this.#sendHarmful(body, path)
    }
  }

  async #sendHarmful (body: string, path: string): Promise<void> {
    const { testbed, random } = this.#options
    const gateway = Math.floor(random() * testbed.gateways.length)
    const at = performance.now()
    const id = this.#createId()
    await this.#send(gateway, id, path, body)
    this.#harmfulRequests.push({ id, body, at, wasUndisturbed: this.#isUndisturbed(testbed.gateways[gateway].name, at - propagationMs, performance.now()) })
  }

  // A gateway that nothing disturbed, and most registries with their links.
  #isUndisturbed (gateway: string, from: number, to: number): boolean {
    const { disturbances, testbed: { registries } } = this.#options
    if (disturbances.wasDisturbed([gateway], from, to)) return false
    const disturbed = registries.filter(({ name }, i) => disturbances.wasDisturbed([name, `link ${i}`], from, to))
    return 2 * disturbed.length < registries.length
  }

  async #sendHarmlessRepeatedly (): Promise<void> {
    const { testbed, random, checker } = this.#options
    while (!this.#isStopping) {
      await sleep(harmlessPauseMs)
      const { status, body } = await this.#send(Math.floor(random() * testbed.gateways.length), this.#createId(), paths[0], 'harms nobody')
      this.#asked += 1
      if (status === 200) this.#served += 1
      if (body.includes('quarantined')) checker.reportViolation('a request that harms nobody was refused for others', body)
    }
  }

  #send (gateway: number, id: string, path: string, body: string): ReturnType<typeof callHttp> {
    const { host } = this.#options.testbed.gateways[gateway]
    return callHttp({ host, port: callerPort, method: 'POST', path, headers: composeCaller(id), timeout: 4 * holdMs }, body)
  }

  #createId (): string {
    this.#sent += 1
    return `crash-${this.#options.seed}-${this.#sent}`
  }
}
