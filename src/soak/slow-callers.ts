/** Callers of large plain answers and long streams, which read slowly but steadily, or stop reading for seconds; and the check of the gateways' memory. */
import { existsSync, readFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { archiveTimeoutMs } from './contention-plan.js'
import type { ContentionPlan } from './contention-plan.js'
import type { Disturbances } from './disturbances.js'
import { drawBetween } from './fault-draw.js'
import type { ReadPacer } from './http-call.js'
import { callGateway } from './soak-callers.js'
import type { SoakCallersOptions } from './soak-callers.js'

/** Callers per gateway, and sizes of their answers, bytes. The system's own buffers hold some MB of an answer that is not read. */
const stallingPerGateway = 5
const steadyPerGateway = 2
const stallingBytes = 24 * 2 ** 20
const steadyBytes = 10 * 2 ** 20
const eventBytes = 16 * 1024
/** Bounds of stalls and of the pauses between calls, ms, and of the pace of steady callers, bytes/ms, who finish within the drain time of a gateway. */
const stallsMs = [1000, 4000] as const
const pausesMs = [100, 1000] as const
const paces = [2000, 4000] as const
/** Time within which a call must have ended, ms: the timeout of its route, and time to read what had arrived by then. */
const maxCallMs = archiveTimeoutMs + 4000
/** A longer call may exceed the drain time of a gateway, ms; an answer is only expected to be whole if nothing was disturbed for `undisturbedMs` before. */
const maxDrainedMs = 5500
const undisturbedMs = 4000
/** Interval between samples of memory, and the delay from which the callers, in the same process, count as disturbed, ms: one that does not read for 1 s may lose its answer. */
const sampleMs = 100
const maxDelayMs = 400
/** Bound on memory, MB: `baseMb` (some 105 without slow callers), and per MB of the budget `budgetFactor`, as buffers that were freed are collected later. */
const baseMb = 150
const budgetFactor = 4
const defaultBudgetMb = 64

export class SlowCallers {
  #options: SoakCallersOptions
  #disturbances: Disturbances
  #settings: ContentionPlan['settings']
  /** Highest resident memory by gateway, MB. */
  #peaksMb: number[]
  #outcomes = { whole: 0, ended: 0, refused: 0 }
  #sent = 0
  #isStopping = false
  #running: Promise<void>[] = []

  constructor (options: SoakCallersOptions, disturbances: Disturbances, settings: ContentionPlan['settings']) {
    this.#options = options
    this.#disturbances = disturbances
    this.#settings = settings
    this.#peaksMb = settings.map(() => 0)
  }

  /** Calls by outcome (whole, ended, refused), and the highest resident memory by gateway. */
  get summary (): string { return `slow=${Object.values(this.#outcomes).join('/')} memoryMb=${this.#peaksMb.map(Math.round).join('/')}` }

  start (): void {
    const callers = this.#settings.flatMap((_, gateway) => Array.from({ length: stallingPerGateway + steadyPerGateway }, (_, i) => this.#callRepeatedly(gateway, i < steadyPerGateway)))
    this.#running = [...callers, this.#sampleRepeatedly()]
  }

  /** Stops; resolves once the calls in flight have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
    for (const [i, peakMb] of this.#peaksMb.entries()) {
      const boundMb = baseMb + budgetFactor * (this.#settings[i]?.budgetMb ?? defaultBudgetMb)
      if (peakMb > boundMb) this.#options.checker.reportViolation('a gateway used more memory than its settings allow', `gateway-${i}: ${Math.round(peakMb)} of ${boundMb} MB`)
    }
  }

  async #callRepeatedly (gateway: number, isSteady: boolean): Promise<void> {
    while (!this.#isStopping) {
      await sleep(drawBetween(this.#options.random, ...pausesMs))
      await this.#call(gateway, isSteady)
    }
  }

  async #call (gateway: number, isSteady: boolean): Promise<void> {
    const { seed, checker, random } = this.#options
    this.#sent += 1
    const bytes = isSteady ? steadyBytes : stallingBytes
    const kind = random() < 0.5 ? 'again' : 'stream'
    const path = kind === 'again' ? `/archive-again/bytes-${bytes}/${this.#sent}` : `/archive-stream/events-${bytes / eventBytes}/bytes-${eventBytes}/${this.#sent}`
    const pacer = isSteady ? createPacer(0, drawBetween(random, ...paces)) : createPacer(drawBetween(random, ...stallsMs), Infinity)
    const call = await callGateway(this.#options, gateway, { id: `slow-${seed}-${this.#sent}`, kind, path, version: 0 }, { deadlineMs: archiveTimeoutMs, timeoutMs: maxCallMs, pacer })
    checker.check({ ...call, isStalling: !isSteady }, maxCallMs)
    const { status, isComplete, body } = call.result
    const outcome = status !== 200 ? 'refused' : isComplete ? 'whole' : 'ended'
    this.#outcomes[outcome] += 1
    const parts = [call.gateway, 'callers', 'proxy', 'endpoint', ...call.endedAt - call.sentAt > maxDrainedMs ? [`stop ${call.gateway}`] : []]
    if (isSteady && outcome === 'ended' && !this.#disturbances.wasDisturbed(parts, call.sentAt - undisturbedMs, call.endedAt)) checker.reportViolation('a caller that reads lost its answer', `${call.id} at ${call.gateway}: ${body.length} bytes in ${Math.round(call.endedAt - call.sentAt)} ms`)
  }

  async #sampleRepeatedly (): Promise<void> {
    while (!this.#isStopping) {
      const from = performance.now()
      await sleep(sampleMs)
      const now = performance.now()
      if (now - from > sampleMs + maxDelayMs) this.#disturbances.begin('callers', from)(now)
      for (const [i, { process }] of this.#options.testbed.gateways.entries()) this.#peaksMb[i] = Math.max(this.#peaksMb[i], readResidentMb(process.pid))
    }
  }
}

// Reads one chunk, then nothing for `stallMs`, then at most `bytesPerMs`.
function createPacer (stallMs: number, bytesPerMs: number): ReadPacer {
  let isFirst = true
  return (response, bytes) => {
    response.pause()
    setTimeout(() => response.resume(), isFirst ? stallMs : bytes / bytesPerMs)
    isFirst = false
  }
}

// Resident memory of a process, MB; 0 if it isn't running.
function readResidentMb (pid: number | null): number {
  const path = `/proc/${pid}/status`
  return Number(/VmRSS:\s+(\d+) kB/.exec(existsSync(path) ? readFileSync(path, 'utf8') : '')?.[1] ?? 0) / 1024
}
