/** Open-loop callers of several workspaces that compete for the slots of one service. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { composeKey, drawSurge, workspaceCount } from './contention-plan.js'
import type { Surge } from './contention-plan.js'
import { pickIndex } from './fault-draw.js'
import { callGateway } from './soak-callers.js'
import type { SoakCallersOptions } from './soak-callers.js'

/** Usual rate of a workspace, requests/s. */
const usualRate = 8
/** Time between the recovery and the calm surge, ms: back-offs and estimates from the faults have expired by then. */
const calmLeadMs = 3000
/** Duration of the calm surge, ms, and of its beginning that is not checked, as gateways measure rates over 2 s. */
const calmSurgeMs = 4500
const uncheckedMs = 2000
/** Fraction of the calls of each workspace at its usual rate that must be served in the calm surge. */
const minServedShare = 0.5

export class SurgeCallers {
  /** Served and sent calls in the checked part of the calm surge, by workspace; `*` marks those that sent more than usual. */
  summary = 'surge=-'
  #options: SoakCallersOptions
  #surges: readonly Surge[]
  #startedAt = 0
  #sent = 0
  #isStopping = false
  #calls: { readonly workspace: number, readonly sentAt: number, readonly isServed: boolean }[] = []
  #pending = new Set<Promise<void>>()
  #running: Promise<void>[] = []

  constructor (options: SoakCallersOptions, surges: readonly Surge[]) {
    this.#options = options
    this.#surges = surges
  }

  start (): void {
    this.#startedAt = performance.now()
    this.#running = Array.from({ length: workspaceCount }, (_, i) => this.#sendRepeatedly(i))
  }

  /** To be called after the faults: runs one more surge, which is checked; resolves once all calls have ended. */
  async finish (): Promise<void> {
    await sleep(calmLeadMs)
    const surge = { ...drawSurge(this.#options.random, performance.now() - this.#startedAt), ms: calmSurgeMs }
    this.#surges = [surge]
    await sleep(calmSurgeMs)
    this.#isStopping = true
    await Promise.all(this.#running)
    await Promise.all(this.#pending)
    this.#checkCalmSurge(surge)
  }

  #checkCalmSurge (surge: Surge): void {
    const from = this.#startedAt + surge.at + uncheckedMs
    const counts = Array.from({ length: workspaceCount }, (_, i) => {
      const calls = this.#calls.filter(({ workspace, sentAt }) => workspace === i && sentAt >= from)
      return { isLoud: surge.workspaces.includes(i), served: calls.filter(call => call.isServed).length, sent: calls.length }
    })
    this.summary = `surge=${counts.map(({ isLoud, served, sent }) => `${isLoud ? '*' : ''}${served}/${sent}`).join()}`
    const isStarved = counts.some(({ isLoud, served, sent }) => !isLoud && served < minServedShare * sent)
    if (isStarved && counts.some(({ served }) => served > 0)) this.#options.checker.reportViolation('a workspace at its usual rate was starved', this.summary)
  }

  async #sendRepeatedly (workspace: number): Promise<void> {
    while (!this.#isStopping) {
      await sleep(-Math.log(1 - this.#options.random()) * 1000 / (usualRate * this.#findFactor(workspace)))
      const call = this.#call(workspace).finally(() => this.#pending.delete(call))
      this.#pending.add(call)
    }
  }

  #findFactor (workspace: number): number {
    const now = performance.now() - this.#startedAt
    return this.#surges.find(({ at, ms, workspaces }) => now >= at && now < at + ms && workspaces.includes(workspace))?.factor ?? 1
  }

  async #call (workspace: number): Promise<void> {
    const { seed, testbed, checker, random } = this.#options
    this.#sent += 1
    const kind = random() < 0.5 ? 'once' : 'again'
    const call = await callGateway(this.#options, pickIndex(random, testbed.gateways.length), { id: `surge-${seed}-${this.#sent}`, kind, path: `/counter-${kind}/${this.#sent}`, version: 0 }, { key: composeKey(workspace) })
    checker.check(call)
    this.#calls.push({ workspace, sentAt: call.sentAt, isServed: call.result.status === 200 && call.result.isComplete })
  }
}
