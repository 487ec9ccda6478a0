/**
 * Callers of requests that share a harmful part of their prompts, no two alike, and of sound ones that share all their other
 * parts. Few harmful ones may reach endpoints once five have crashed, and no sound one may be quarantined.
 */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { crashBodyPrefix } from '../standin/index.js'
import { composeCallerHeaders } from './caller-headers.js'
import type { CrashCallersOptions } from './crash-callers.js'
import { callHttp } from './http-call.js'
import { isInTouch } from './in-touch.js'
import { routeTimeoutMs } from './guarantee-checker.js'
import { callerPort } from './soak-testbed.js'

/** Results of the requests; of the sound ones, before and after the fifth crash. */
export interface PartSummary {
  /** Endpoint crashes under each part, and the sends later than is allowed without limit. */
  readonly crashes: readonly number[]
  readonly lateSends: readonly number[]
  readonly served: readonly [before: number, after: number]
  readonly sent: readonly [before: number, after: number]
}

interface SentRequest {
  readonly id: string
  readonly at: number
  readonly parts: readonly number[]
  readonly wasInTouch: boolean
}

const harmfulPauseMs = 350
const soundPauseMs = 40
const camps = 6
/** Share of harmful requests with all harmful parts. */
const combinedShare = 0.3
/** Time within which all gateways in touch know of a crash, ms. */
const propagationMs = 3000
/** The crash from which sends count as late, and how many of them are allowed. */
const decisiveCrash = 5
const maxLateSends = 3
const paths = ['/again/part', '/once/part', '/resume/events-20']

export class PartCallers {
  #options: CrashCallersOptions
  #count: number
  #harmful: SentRequest[] = []
  #sound: { readonly at: number, readonly isServed: boolean }[] = []
  #sent = 0
  #isStopping = false
  #running: Promise<void>[] = []

  constructor (options: CrashCallersOptions, count: number) {
    this.#options = options
    this.#count = count
  }

  start (): void { this.#running = [this.#sendHarmful(), this.#sendSound()] }

  /** Stops sending; resolves once all requests have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  /** Reports late sends of each part; returns the results. */
  check (): PartSummary {
    const numbers = Array.from({ length: this.#count }, (_, i) => i)
    const crashes = numbers.map(part => this.#listCrashTimes(part))
    const lateSends = numbers.map(part => this.#countLateSends(part, crashes[part][decisiveCrash - 1] ?? Infinity))
    for (const part of numbers) {
      if (lateSends[part] > maxLateSends) this.#options.checker.reportViolation('requests with a harmful part were still sent to endpoints', `part ${part}: ${lateSends[part]} sends after ${crashes[part].length} crashes`)
    }
    const fifthAt = Math.min(Infinity, ...crashes.map(times => times[decisiveCrash - 1] ?? Infinity))
    const before = this.#sound.filter(({ at }) => at <= fifthAt)
    const after = this.#sound.filter(({ at }) => at > fifthAt + propagationMs)
    const countServed = (calls: typeof before): number => calls.filter(({ isServed }) => isServed).length
    return { crashes: crashes.map(times => times.length), lateSends, served: [countServed(before), countServed(after)], sent: [before.length, after.length] }
  }

  #listCrashTimes (part: number): number[] {
    const { testbed: { endpoints } } = this.#options
    return endpoints.flatMap(({ standin }) => standin.crashBodies.flatMap((body, i) => body.includes(`<${part}>`) ? [standin.crashedAt[i]] : [])).sort((a, b) => a - b)
  }

  #countLateSends (part: number, fifthAt: number): number {
    const late = new Set(this.#harmful.filter(one => one.parts.includes(part) && one.wasInTouch && one.at > fifthAt + propagationMs).map(({ id }) => id))
    return this.#options.testbed.endpoints.flatMap(({ standin }) => standin.runs).filter(run => late.has(run.requestId)).length
  }

  async #sendHarmful (): Promise<void> {
    const { random, testbed, disturbances } = this.#options
    const calls: Promise<void>[] = []
    while (!this.#isStopping) {
      await sleep(harmfulPauseMs)
      const all = Array.from({ length: this.#count }, (_, i) => i)
      const parts = random() < combinedShare ? all : [Math.floor(random() * this.#count)]
      const gateway = Math.floor(random() * testbed.gateways.length)
      const id = this.#createId()
      const at = performance.now()
      calls.push(this.#send(gateway, id, parts, paths[Math.floor(random() * paths.length)]).then(() => {
        const wasInTouch = isInTouch(disturbances, testbed, testbed.gateways[gateway].name, at - propagationMs, performance.now())
        this.#harmful.push({ id, at, parts, wasInTouch })
      }))
    }
    await Promise.all(calls)
  }

  async #sendSound (): Promise<void> {
    const { random, testbed, checker } = this.#options
    const calls: Promise<void>[] = []
    while (!this.#isStopping) {
      await sleep(soundPauseMs)
      const id = this.#createId()
      const at = performance.now()
      calls.push(this.#send(Math.floor(random() * testbed.gateways.length), id, [], paths[0]).then(({ status, body }) => {
        this.#sound.push({ at, isServed: status === 200 })
        if (body.includes('quarantined')) checker.reportViolation('a sound request was quarantined for its parts', id)
      }))
    }
    await Promise.all(calls)
  }

  // The harmful parts stand at any place but the last.
  #send (gateway: number, id: string, harmful: readonly number[], path: string): ReturnType<typeof callHttp> {
    const { testbed, random, seed } = this.#options
    const parts = ['system', `camp${Math.floor(random() * camps)}`]
    for (const part of harmful) parts.splice(Math.floor(random() * (parts.length + 1)), 0, `harmful-${seed}-${part}`)
    const listed = [...parts, id].map(part => `${part}:40`).join(',')
    const headers = { ...composeCallerHeaders(id), 'x-wrenlane-tokens': `${40 * (parts.length + 1)},20`, 'x-wrenlane-prompt-parts': listed }
    const body = `${harmful.length === 0 ? 'sound' : crashBodyPrefix} ${harmful.map(part => `<${part}>`).join('')} ${id}`
    return callHttp({ host: testbed.gateways[gateway].host, port: callerPort, method: 'POST', path, headers, timeout: 4 * routeTimeoutMs }, body)
  }

  #createId (): string {
    this.#sent += 1
    return `parts-${this.#options.seed}-${this.#sent}`
  }
}
