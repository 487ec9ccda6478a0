/**
 * Callers of a language-model service: open-loop load with bursts, of kinds of
 * request with different priorities, targets and sizes. A caller that gets a
 * Retry-After header retries once after that delay.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHost, composeCallerHeaders } from './caller-headers.js'
import { callHttp } from './http-call.js'
import type { HttpResult } from './http-call.js'
import type { PrecedenceChecker } from './precedence-checker.js'
import { rankedKinds } from './ranked-kind.js'
import type { RankedKind } from './ranked-kind.js'
import { callerPort } from './soak-testbed.js'
import type { SoakTestbed } from './soak-testbed.js'

/** A period of higher load. */
export interface Burst {
  /** Start of the burst, ms after the start of the callers. */
  readonly at: number
  readonly ms: number
  /** Factor on the usual request rate. */
  readonly factor: number
  /** Name of the kind; null for all kinds. */
  readonly kind: string | null
}

/** Dependencies of the callers. */
export interface RankedCallersOptions {
  readonly seed: number
  readonly testbed: SoakTestbed
  readonly checker: PrecedenceChecker
  /** Returns a number in [0, 1). */
  readonly random: () => number
}

/** Maximum number of requests of a kind that are sent at once. */
const maxBatchSize = 5
/**
 * Bounds of the pauses between bursts, of the durations of bursts, ms, and of their factors. Even in the strongest burst, the
 * engines have capacity for the most urgent kind.
 */
const minPauseMs = 1500
const maxPauseMs = 4000
const minBurstMs = 1500
const maxBurstMs = 5000
const minFactor = 1.5
const maxFactor = 2.5
/** Fraction of the bursts that consist of a single kind. */
const singleKindShare = 0.3
/** Minimum inactivity timeout of a caller, ms; longer if `targetMs` of its kind times four, or `pauseMs` times eight, is longer. */
const minTimeoutMs = 2000
/** A caller retries only if the delay is at most this fraction of its remaining time. */
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

  /** Stops sending; resolves once all requests have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
    await Promise.all(this.#calls)
  }

  async #sendRepeatedly (kind: RankedKind): Promise<void> {
    const { random, testbed } = this.#options
    const batchRate = kind.rate * testbed.engines.length / ((1 + maxBatchSize) / 2)
    while (!this.#isStopping) {
      await sleep(-Math.log(1 - random()) * 1000 / (batchRate * this.#findFactor(kind)))
      const batchSize = 1 + Math.floor(random() * maxBatchSize)
      for (let i = 0; i < batchSize && !this.#isStopping; i++) this.#startCall(kind)
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
      ...composeCallerHeaders(id, Math.max(1, Math.round(until - sentAt))),
      'x-wrenlane-tokens': `${tokens},${kind.events * 10}`,
      'x-wrenlane-prompt-parts': `${id}:${tokens}`
    }
    const timeout = Math.max(minTimeoutMs, 4 * kind.targetMs, 8 * kind.pauseMs)
    const result = await callHttp({ host: box.host, port: callerPort, method: 'POST', path: `/${kind.name}/events-${kind.events}`, headers, agent: new Agent(), timeout }, `body of ${id}`)
    this.#options.checker.record({ id, kind, tokens, gateway: box.name, sentAt, endedAt: performance.now(), firstByteAt: result.status === 200 ? result.firstByteAt : null, status: result.status })
    return result
  }
}

/** Draws the bursts of a run of `lengthMs`. */
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

/** Composes the routes of all kinds to a service. */
export function composeRankedRoutes (service: string): object[] {
  return rankedKinds.map(({ name, priority, targetMs, pauseMs, timeoutMs }) => ({
    name, host: callerHost, prefix: `/${name}/`, kind: 'events', timeoutMs, targetMs, pauseMs, priority, mostAttempts: 1, services: [{ service }]
  }))
}
