/**
 * Callers of streams that may outlast the drain of a gateway. They keep their
 * connections until the process is gone, and go on sending while it stops.
 */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { drawBetween, pick } from './fault-draw.js'
import type { CheckedCall } from './guarantee-checker.js'
import { callGateway } from './soak-callers.js'
import type { SoakCallersOptions } from './soak-callers.js'
import { tokensPerEvent, writerEvents, writerTimeoutMs } from './stop-plan.js'

/** Number of callers per gateway. */
const callersPerGateway = 5
/** Pause of a caller between its calls, ms. */
const callerPauseMs = 100
/** Tokens of the prompt that a stream declares. */
const promptTokens = 100
const kinds: readonly CheckedCall['kind'][] = ['stream', 'stream', 'stream', 'resume', 'resume', 'once', 'again']

/** Results of the callers. `late`: calls sent while their gateway was stopping. */
export interface StopSummary {
  readonly late: number
  readonly served: number
  readonly sent: number
}

export class StopCallers {
  #options: SoakCallersOptions
  #late = 0
  #served = 0
  #sent = 0
  #isStopping = false
  #running: Promise<void>[] = []

  constructor (options: SoakCallersOptions) {
    this.#options = options
  }

  get summary (): StopSummary { return { late: this.#late, served: this.#served, sent: this.#sent } }

  start (): void {
    this.#running = this.#options.testbed.gateways.flatMap((_, i) => Array.from({ length: callersPerGateway }, () => this.#callRepeatedly(i)))
  }

  /** Stops; resolves once the calls in flight have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  async #callRepeatedly (gateway: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isStopping) {
      await this.#call(gateway, agent)
      await sleep(callerPauseMs)
    }
    agent.destroy()
  }

  async #call (gateway: number, agent: Agent): Promise<void> {
    const { seed, checker, random } = this.#options
    this.#sent += 1
    const kind = pick(random, kinds)
    const events = Math.round(drawBetween(random, ...writerEvents))
    const isStream = kind === 'stream' || kind === 'resume'
    const path = `/writer-${kind}/${isStream ? `events-${events}` : this.#sent}`
    const call = await callGateway(this.#options, gateway, { id: `stop-${seed}-${this.#sent}`, kind, path, version: 0 }, {
      agent, deadlineMs: writerTimeoutMs, timeoutMs: 2 * writerTimeoutMs, headers: isStream ? { 'x-wrenlane-tokens': `${promptTokens},${events * tokensPerEvent}` } : {}
    })
    checker.check(call, writerTimeoutMs)
    if (checker.checkLateCall(call, writerTimeoutMs)) this.#late += 1
    if (call.result.status === 200 && call.result.isComplete) this.#served += 1
  }
}
