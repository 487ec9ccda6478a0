/**
 * The duties that one registry carries out for all boxes: the leader of the log
 * holds the lease on them while it leads. Everything that goes out bears the
 * lease's number, and goes out only while the lease lasts by every clock.
 */
import { parseAddress } from '../config/index.js'
import type { DutySettings } from '../config/index.js'
import { LeaseHolder, planLeaseTiming } from '../coordination/index.js'
import type { ClockReading, KeeperCommand, KeeperLog, KeeperResult, LeaseCommand, LeaseResult, UsageResult, UsageTelling } from '../coordination/index.js'
import type { Dialect, DutyCall, Link, RouteMessage } from '../protocol/index.js'
import { DayClock, waitUntil } from '../runtime/index.js'
import { DutyClient } from './duty-client.js'
import type { DutyCallResult } from './duty-client.js'
import { EndpointScaler } from './endpoint-scaler.js'
import type { EndpointScalerHost } from './endpoint-scaler.js'
import { UsageReporter } from './usage-reporter.js'

/** What the desk needs of its box. */
export interface DutyRunnerHost extends EndpointScalerHost {
  readonly id: string
  readonly dialect: Dialect
  readonly keeper: KeeperLog
  /** The link to the registry that leads; undefined where it is not known or not reached. */
  findLeader (): Link<RouteMessage> | undefined
}

/** One lease stands for all calls to the platform. */
const duty = 'platform'
/** How often the lease and what is due are looked at, ms: well within the time between renewals. */
const tickMs = 100
/** How often the leader is told what gateways told here, in ticks. */
const forwardEveryTicks = 4
/** Calls under way at most. */
const maxConcurrentCalls = 8

export class DutyRunner {
  #host: DutyRunnerHost
  #lease: LeaseHolder
  #client: DutyClient
  #usage: UsageReporter
  #orders: EndpointScaler
  #leaseMs: number
  #heldFence: number | null = null
  #ticks = 0
  #lastLeader: Link<RouteMessage> | undefined
  #isStopping = false
  #timer: NodeJS.Timeout | null = null

  constructor (settings: DutySettings, host: DutyRunnerHost) {
    this.#host = host
    this.#leaseMs = settings.leaseMs
    const timing = planLeaseTiming(settings.leaseMs)
    this.#lease = new LeaseHolder(duty, host.id, timing, this.#readClocks())
    this.#client = new DutyClient(parseAddress(settings.address), timing.callMs)
    this.#orders = new EndpointScaler(host)
    const dayClock = new DayClock(host.now, Date.now)
    this.#usage = new UsageReporter({
      log: host.log,
      metrics: host.metrics,
      windowMs: settings.usageWindowSeconds * 1000,
      reportDeadlineMs: settings.usageLateSeconds * 1000,
      get ledger () { return host.keeper.state.usage },
      now: host.now,
      readTimeOfDay: () => dayClock.read(),
      propose: async command => await this.#propose({ part: 'usage', command }) as UsageResult | null,
      call: call => this.#call(call)
    })
  }

  start (): void { this.#timer = setInterval(() => this.#tick(), tickMs) }

  /** Takes what gateways began, from them or from other registries. */
  mergeUsage (reports: readonly UsageTelling[]): void { this.#usage.merge(reports) }

  /** Makes no more calls, and gives the lease back once none is under way, so that the next holder need not wait for its end. */
  async stop (): Promise<void> {
    this.#isStopping = true
    await waitUntil(() => this.#client.openCount === 0, this.#client.maxDurationMs)
    // What may still be under way must not arrive after the next holder's first call: then the lease has to run out.
    const canRelease = this.#client.openCount === 0 && this.#host.now() - this.#client.lastUnknownOutcomeAt > this.#leaseMs
    const command = canRelease ? this.#lease.release() : null
    if (command === null) return
    await this.#propose({ part: 'leases', command })
    this.#host.log.info('lease', { duty, state: 'released', fence: command.type === 'release' ? command.fence : 0 })
  }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#client.close()
  }

  #readClocks (): ClockReading { return { steady: this.#host.now(), wall: Date.now() } }

  #tick (): void {
    this.#ticks += 1
    const { keeper } = this.#host
    const now = this.#readClocks()
    this.#lease.observe(keeper.state.leases.find(duty), now)
    const command = this.#lease.decide(now, keeper.isLeader && !this.#isStopping)
    if (command !== null) void this.#requestLease(command)
    if (this.#ticks % forwardEveryTicks === 0) this.#forward()
    this.#updateFence(this.#lease.findFence(now, this.#client.callTimeoutMs))
    if (this.#heldFence === null || !keeper.isLeader || this.#isStopping) return
    this.#usage.step()
    this.#orders.step(call => this.#call(call))
  }

  #updateFence (fence: number | null): void {
    if (fence === this.#heldFence) return
    if (fence === null) this.#host.log.warn('lease', { duty, state: 'run-out', fence: this.#heldFence ?? 0 })
    else this.#noteAcquired(fence)
    this.#heldFence = fence
  }

  #noteAcquired (fence: number): void {
    this.#host.log.info('lease', { duty, state: 'held', fence })
    this.#orders.reset()
  }

  async #requestLease (command: LeaseCommand): Promise<void> {
    this.#lease.noteEnd(await this.#propose({ part: 'leases', command }) as LeaseResult | null)
  }

  async #propose (command: KeeperCommand): Promise<KeeperResult | null> {
    const outcome = await this.#host.keeper.propose(command)
    return outcome.type === 'applied' ? outcome.result as KeeperResult : null
  }

  async #call (call: DutyCall): Promise<DutyCallResult> {
    if (this.#isStopping) return { type: 'not-held' }
    if (this.#client.openCount >= maxConcurrentCalls) return { type: 'failed', reason: 'too many calls are under way' }
    const startedAt = this.#host.now()
    const result = await this.#client.call(() => {
      const fence = this.#isStopping ? null : this.#lease.findFence(this.#readClocks(), this.#client.callTimeoutMs)
      return fence === null ? null : this.#host.dialect.composeDuty(call, { holder: this.#host.id, fence })
    })
    this.#host.metrics.time('duty-call', this.#host.now() - startedAt, { call: call.type, end: result.type === 'answered' ? String(result.status) : result.type })
    return result
  }

  // A leader that is new to this box may know nothing of what it told before.
  #forward (): void {
    this.#usage.prune()
    const leader = this.#host.keeper.isLeader ? undefined : this.#host.findLeader()
    const isNewLeader = leader !== this.#lastLeader
    this.#lastLeader = leader
    if (leader === undefined) return
    const reports = this.#usage.takeUnsent(isNewLeader)
    if (reports.length > 0) leader.send({ type: 'usage', tellings: reports })
  }
}
