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
import type { HttpEnd } from './http-call.js'
import type { PrecedenceWatch } from './precedence-watch.js'
import { rankedKinds } from './ranked-kind.js'
import type { RankedKind } from './ranked-kind.js'
import { callerPort } from './soak-stage.js'
import type { SoakStage } from './soak-stage.js'

/** A time in which more comes than usual. */
export interface Burst {
  readonly at: number
  readonly ms: number
  /** So many times the usual. */
  readonly times: number
  /** One kind's name; null for all kinds. */
  readonly kind: string | null
}

/** What the callers need of their history. */
export interface RankedCallersHost {
  readonly seed: number
  readonly stage: SoakStage
  readonly watch: PrecedenceWatch
  /** Gives numbers from 0 up to 1. */
  readonly random: () => number
}

/** Requests come in clumps of up to so many. */
const mostInClump = 5
/** Pauses between bursts, and their lengths, ms, and how strong they are: in the strongest, what goes first still finds room at the engines. */
const leastCalmMs = 1500
const mostCalmMs = 4000
const leastBurstMs = 1500
const mostBurstMs = 5000
const leastTimes = 1.5
const mostTimes = 2.5
/** Part of the bursts that are of one kind alone. */
const singleShare = 0.3
/** A caller leaves where nothing came for this, for four targets or for eight pauses, whichever is longest, ms. */
const leastPatienceMs = 2000
/** A caller comes back where the time named is at most this part of what is left to it. */
const returnShare = 1 / 3

export class RankedCallers {
  #host: RankedCallersHost
  #bursts: readonly Burst[]
  #startedAt = 0
  #sent = 0
  #isOver = false
  #calls = new Set<Promise<void>>()
  #running: Promise<void>[] = []

  constructor (host: RankedCallersHost, bursts: readonly Burst[]) {
    this.#host = host
    this.#bursts = bursts
  }

  start (): void {
    this.#startedAt = performance.now()
    this.#running = rankedKinds.map(kind => this.#keepComing(kind))
  }

  /** Resolves once no more come and those under way have ended. */
  async finish (): Promise<void> {
    this.#isOver = true
    await Promise.all(this.#running)
    await Promise.all(this.#calls)
  }

  async #keepComing (kind: RankedKind): Promise<void> {
    const { random, stage } = this.#host
    const usual = kind.rate * stage.engines.length / ((1 + mostInClump) / 2)
    while (!this.#isOver) {
      await sleep(-Math.log(1 - random()) * 1000 / (usual * this.#findTimes(kind)))
      const clump = 1 + Math.floor(random() * mostInClump)
      for (let i = 0; i < clump && !this.#isOver; i++) this.#begin(kind)
    }
  }

  #findTimes ({ name }: RankedKind): number {
    const at = performance.now() - this.#startedAt
    const on = this.#bursts.filter(burst => at >= burst.at && at < burst.at + burst.ms && (burst.kind ?? name) === name)
    return on.reduce((times, burst) => times * burst.times, 1)
  }

  #begin (kind: RankedKind): void {
    const call = this.#askTwice(kind).finally(() => this.#calls.delete(call))
    this.#calls.add(call)
  }

  async #askTwice (kind: RankedKind): Promise<void> {
    const { random, stage } = this.#host
    const tokens = Math.round(kind.promptTokens * (0.2 + 1.8 * random()))
    const gateway = Math.floor(random() * stage.gateways.length)
    const until = performance.now() + kind.timeoutMs
    const { status, retryAfterMs } = await this.#ask(kind, tokens, gateway, until)
    if (status !== 503 || retryAfterMs === null || retryAfterMs > (until - performance.now()) * returnShare) return
    await sleep(retryAfterMs)
    await this.#ask(kind, tokens, (gateway + 1) % stage.gateways.length, until)
  }

  async #ask (kind: RankedKind, tokens: number, gateway: number, until: number): Promise<HttpEnd> {
    this.#sent += 1
    const id = `${this.#host.seed}-${kind.name}-${this.#sent}`
    const box = this.#host.stage.gateways[gateway]
    const sentAt = performance.now()
    const headers = {
      ...composeCaller(id, Math.max(1, Math.round(until - sentAt))),
      'x-wrenlane-tokens': `${tokens},${kind.events * 10}`,
      'x-wrenlane-prompt-parts': `${id}:${tokens}`
    }
    const timeout = Math.max(leastPatienceMs, 4 * kind.targetMs, 8 * kind.pauseMs)
    const end = await callHttp({ host: box.host, port: callerPort, method: 'POST', path: `/${kind.name}/events-${kind.events}`, headers, agent: new Agent(), timeout }, `body of ${id}`)
    this.#host.watch.note({ id, kind, tokens, gateway: box.name, sentAt, endedAt: performance.now(), firstAt: end.status === 200 ? end.firstAt : null, status: end.status })
    return end
  }
}

/** Draws the bursts of a history of `lengthMs`. */
export function drawBursts (random: () => number, lengthMs: number): Burst[] {
  const bursts: Burst[] = []
  let at = leastCalmMs
  while (at < lengthMs) {
    const ms = leastBurstMs + random() * (mostBurstMs - leastBurstMs)
    const times = leastTimes + random() * (mostTimes - leastTimes)
    const kind = random() < singleShare ? rankedKinds[Math.floor(random() * rankedKinds.length)].name : null
    bursts.push({ at, ms, times, kind })
    at += ms + leastCalmMs + random() * (mostCalmMs - leastCalmMs)
  }
  return bursts
}

/** The routes that the kinds take, and their service. */
export function composeRankedRoutes (service: string): object[] {
  return rankedKinds.map(({ name, priority, targetMs, pauseMs, timeoutMs }) => ({
    name, host: callerHost, prefix: `/${name}/`, kind: 'events', timeoutMs, targetMs, pauseMs, priority, mostAttempts: 1, services: [{ service }]
  }))
}
