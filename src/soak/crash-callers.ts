/**
 * Callers of harmful requests, which crash every endpoint that runs them, and one
 * caller of a harmless request with the same path and workspace. The outcomes are
 * checked against the documented guarantees: harmful requests are quarantined,
 * and harmless ones are not.
 */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { crashBodyPrefix } from '../standin/index.js'
import { composeCallerHeaders } from './caller-headers.js'
import type { Disturbances } from './disturbances.js'
import { callHttp } from './http-call.js'
import { isInTouch } from './in-touch.js'
import { routeTimeoutMs } from './guarantee-checker.js'
import type { GuaranteeChecker } from './guarantee-checker.js'
import { callerPort } from './soak-testbed.js'
import type { SoakTestbed } from './soak-testbed.js'

/** Dependencies of the callers. */
export interface CrashCallersOptions {
  readonly seed: number
  readonly testbed: SoakTestbed
  readonly checker: GuaranteeChecker
  readonly disturbances: Disturbances
  /** Returns a number in [0, 1). */
  readonly random: () => number
}

/** Outcome of the requests. */
export interface CrashSummary {
  /** Number of endpoint crashes caused by each harmful request. */
  readonly crashCounts: readonly number[]
  /** For each restarted endpoint, the time from its first registration to its first request, ms; ascending. */
  readonly recoveryMs: readonly number[]
  /** Number of harmless requests sent, and how many of them were served. */
  readonly sent: number
  readonly served: number
}

/** One send of a harmful request. */
interface HarmfulRequest {
  readonly id: string
  readonly body: string
  readonly at: number
  /** Whether its gateway was undisturbed and connected to a majority of undisturbed registries. */
  readonly wasUndisturbed: boolean
}

const paths = ['/again/harmful', '/once/harmful', '/resume/events-200']
/** Bounds of the pause between the answer to a harmful request and its next send, ms. */
const minPauseMs = 150
const maxPauseMs = 650
const harmlessPauseMs = 100
/** Time within which all undisturbed gateways apply what one box has learned, ms; a gateway counts as undisturbed if no fault affected it for as long. */
const propagationMs = 3000
/** Number of sends of a harmful request to endpoints that are tolerated after that. */
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
    this.#bodies = Array.from({ length: count }, (_, i) => `${crashBodyPrefix} ${options.seed}-${i}`)
  }

  get summary (): CrashSummary {
    const recoveryMs = this.#options.testbed.endpoints.flatMap(({ standin }) => standin.recoveryMs).sort((a, b) => a - b)
    return { recoveryMs, crashCounts: this.#bodies.map(body => this.#listCrashTimes(body).length), sent: this.#asked, served: this.#served }
  }

  start (): void {
    this.#running = [...this.#bodies.map((body, i) => this.#sendHarmfulRepeatedly(body, paths[i % paths.length])), this.#sendHarmlessRepeatedly()]
  }

  /** Stops sending; resolves once all requests have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  /** Checks how often each harmful request reached an endpoint after its third crash had propagated, and that no other request was quarantined. */
  check (): void {
    const refused = this.#options.checker.calls.filter(({ result }) => result.body.includes('quarantined'))
    if (refused.length > 0) this.#options.checker.reportViolation('harmless requests were quarantined', `${refused.length} requests, the first is ${refused[0].id}`)
    const ran = new Set(this.#options.testbed.endpoints.flatMap(({ standin }) => standin.runs.map(run => run.requestId)))
    for (const body of this.#bodies) {
      const thirdCrashAt = this.#listCrashTimes(body).sort((a, b) => a - b)[2] ?? Infinity
      const lateSends = this.#harmfulRequests.filter(({ id, body: sentBody, at, wasUndisturbed }) => sentBody === body && wasUndisturbed && at > thirdCrashAt + propagationMs && ran.has(id))
      if (lateSends.length > maxLateSends) this.#options.checker.reportViolation('a harmful request was still sent to endpoints after its quarantine', `${body}: ${lateSends.length} sends`)
    }
  }

  #listCrashTimes (body: string): number[] {
    return this.#options.testbed.endpoints.flatMap(({ standin }) => standin.crashBodies.flatMap((crashBody, i) => crashBody === body ? [standin.crashedAt[i]] : []))
  }

  async #sendHarmfulRepeatedly (body: string, path: string): Promise<void> {
    const { random } = this.#options
    while (!this.#isStopping) {
      await sleep(minPauseMs + random() * (maxPauseMs - minPauseMs))
      await this.#sendHarmful(body, path)
    }
  }

  async #sendHarmful (body: string, path: string): Promise<void> {
    const { testbed, random, disturbances } = this.#options
    const gateway = Math.floor(random() * testbed.gateways.length)
    const at = performance.now()
    const id = this.#createId()
    await this.#send(gateway, id, path, body)
    this.#harmfulRequests.push({ id, body, at, wasUndisturbed: isInTouch(disturbances, testbed, testbed.gateways[gateway].name, at - propagationMs, performance.now()) })
  }

  async #sendHarmlessRepeatedly (): Promise<void> {
    const { testbed, random, checker } = this.#options
    while (!this.#isStopping) {
      await sleep(harmlessPauseMs)
      const { status, body } = await this.#send(Math.floor(random() * testbed.gateways.length), this.#createId(), paths[0], 'harms nobody')
      this.#asked += 1
      if (status === 200) this.#served += 1
      if (body.includes('quarantined')) checker.reportViolation('a harmless request was quarantined', body)
    }
  }

  #send (gateway: number, id: string, path: string, body: string): ReturnType<typeof callHttp> {
    const { host } = this.#options.testbed.gateways[gateway]
    return callHttp({ host, port: callerPort, method: 'POST', path, headers: composeCallerHeaders(id), timeout: 4 * routeTimeoutMs }, body)
  }

  #createId (): string {
    this.#sent += 1
    return `crash-${this.#options.seed}-${this.#sent}`
  }
}
