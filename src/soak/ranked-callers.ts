/**
 * Callers of a language-model service: kinds of request of unlike rank, target
 * and size, that arrive by themselves whether or not those before them were
 * served, and in bursts. Who is told to come back does so once, as told.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHost, composeCaller } from './caller-words.js'
import { callHttp } from './http-call.js'
import type { HttpResult } from './http-call.js'
import type { PrecedenceChecker } from './precedence-checker.js'
import { rankedKinds } from './ranked-kind.js'
import type { RankedKind } from './ranked-kind.js'
import { callerPort } from './soak-stage.js'
import type { SoakStage } from './soak-stage.js'

/** A time in which more comes than usual. */
export interface Burst {
  readonly at: number
  readonly ms: number
  /** So many times the usual. */
  readonly factor: number
  /** One kind's name; null for all kinds. */
  readonly kind: string | null
}

/** What the callers need of their history. */
export interface RankedCallersOptions {
  readonly seed: number
  readonly testbed: SoakStage
  readonly checker: PrecedenceChecker
  /** Gives numbers from 0 up to 1. */
  readonly random: () => number
}

/** Requests come in clumps of up to so many. */
const maxInClump = 5
/** Pauses between bursts, and their lengths, ms, and how strong they are: in the strongest, what goes first still finds room at the engines. */
const minPauseMs = 1500
const maxPauseMs = 4000
const minBurstMs = 1500
const maxBurstMs = 5000
const minFactor = 1.5
const maxFactor = 2.5
/** Part of the bursts that are of one kind alone. */
const singleKindShare = 0.3
/** A caller leaves where nothing came for this, for four targets or for eight pauses, whichever is longest, ms. */
const minTimeoutMs = 2000
/** A caller comes back where the time named is at most this part of what is left to it. */
const maxRetryShare = 1 / 3

export class RankedCallers {
  #options: RankedCallersOptions
  #bursts: readonly Burst[]
  #startedAt = 0
  #sent = 0
  #isStopping = false
  #calls = new Set<Promise<void>>()
  #running: Promise<void>[] = []

  constructor (options: RankedCallersOptions, bursts: readonly Burst[]) {
    this.#options = options
    this.#bursts = bursts
  }

  start (): void {
    this.#startedAt = performance.now()
    this.#running = rankedKinds.map(kind => this.#sendRepeatedly(kind))
  }

  /** Resolves once no more come and those under way have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
    await Promise.all(this.#calls)
  }

  async #sendRepeatedly (kind: RankedKind): Promise<void> {
    const { random, testbed } = this.#options
    const clumpRate = kind.rate * testbed.engines.length / ((1 + maxInClump) / 2)
    while (!this.#isStopping) {
      await sleep(-Math.log(1 - random()) * 1000 / (clumpRate * this.#findFactor(kind)))
      const clump = 1 + Math.floor(random() * maxInClump)
      for (let i = 0; i < clump && !this.#isStopping; i++) this.#startCall(kind)
    }
  }

  #findFactor ({ name }: RankedKind): number {
    const at = performance.now() - this.#startedAt
    const active = this.#bursts.filter(burst => at >= burst.at && at < burst.at + burst.ms && (burst.kind ?? name) === name)
    return active.reduce((factor, burst) => factor * burst.factor, 1)
  }

  #startCall (kind: RankedKind): void {
    const call = this.#callWithRetry(kind).finally(() => this.#calls.delete(call))
    this.#calls.add(call)
  }

  async #callWithRetry (kind: RankedKind): Promise<void> {
    const { random, testbed } = this.#options
    const tokens = Math.round(kind.promptTokens * (0.2 + 1.8 * random()))
    const gateway = Math.floor(random() * testbed.gateways.length)
    const until = performance.now() + kind.timeoutMs
    const { status, retryAfterMs } = await this.#call(kind, tokens, gateway, until)
    if (status !== 503 || retryAfterMs === null || retryAfterMs > (until - performance.now()) * maxRetryShare) return
    await sleep(retryAfterMs)
    await this.#call(kind, tokens, (gateway + 1) % testbed.gateways.length, until)
  }

  async #call (kind: RankedKind, tokens: number, gateway: number, until: number): Promise<HttpResult> {
    this.#sent += 1
    const id = `${this.#options.seed}-${kind.name}-${this.#sent}`
    const box = this.#options.testbed.gateways[gateway]
    const sentAt = performance.now()
    const headers = {
      ...composeCaller(id, Math.max(1, Math.round(until - sentAt))),
      'x-wrenlane-tokens': `${tokens},${kind.events * 10}`,
      'x-wrenlane-prompt-parts': `${id}:${tokens}`
    }
    const timeout = Math.max(minTimeoutMs, 4 * kind.targetMs, 8 * kind.pauseMs)
    const result = await callHttp({ host: box.host, port: callerPort, method: 'POST', path: `/${kind.name}/events-${kind.events}`, headers, agent: new Agent(), timeout }, `body of ${id}`)
    this.#options.checker.record({ id, kind, tokens, gateway: box.name, sentAt, endedAt: performance.now(), firstByteAt: result.status === 200 ? result.firstByteAt : null, status: result.status })
    return result
  }
}

/** Draws the bursts of a history of `lengthMs`. */
export function drawBursts (random: () => number, lengthMs: number): Burst[] {
  const bursts: Burst[] = []
  let at = minPauseMs
  while (at < lengthMs) {
    const ms = minBurstMs + random() * (maxBurstMs - minBurstMs)
    const factor = minFactor + random() * (maxFactor - minFactor)
    const kind = random() < singleKindShare ? rankedKinds[Math.floor(random() * rankedKinds.length)].name : null
    bursts.push({ at, ms, factor, kind })
    at += ms + minPauseMs + random() * (maxPauseMs - minPauseMs)
  }
  return bursts
}

/** The routes that the kinds take, and their service. */
export function composeRankedRoutes (service: string): object[] {
  return rankedKinds.map(({ name, priority, targetMs, pauseMs, timeoutMs }) => ({
    name, host: callerHost, prefix: `/${name}/`, kind: 'events', timeoutMs, targetMs, pauseMs, priority, mostAttempts: 1, services: [{ service }]
  }))
}
